package gateway

import (
	"testing"

	"filbertledge/internal/coordinator"
)

// Guards against a body that is wrong after a change of the leader while it is read: a leader of an earlier build always sends the
// whole body.
func TestPartOfBodyFromEarlierBuild(t *testing.T) {
	for name, tc := range map[string]struct {
		reply  coordinator.ItemBodyReply
		offset int
		want   string
		length int
	}{
		"first part":                {coordinator.ItemBodyReply{Found: true, Body: []byte("abc"), Length: 6}, 0, "abc", 6},
		"next part":                 {coordinator.ItemBodyReply{Found: true, Body: []byte("def"), Length: 6}, 3, "def", 6},
		"first part, earlier build": {coordinator.ItemBodyReply{Found: true, Body: []byte("abcdef")}, 0, "abcdef", 6},
		"next part, earlier build":  {coordinator.ItemBodyReply{Found: true, Body: []byte("abcdef")}, 3, "def", 6},
		"empty body":                {coordinator.ItemBodyReply{Found: true}, 0, "", 0},
		"not open":                  {coordinator.ItemBodyReply{}, 3, "", 0},
	} {
		part, length := partOf(tc.reply, tc.offset)
		if string(part) != tc.want || length != tc.length {
			t.Errorf("%s: got %q of %d bytes", name, part, length)
		}
	}
}
