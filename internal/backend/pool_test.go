package backend

import (
	"net"
	"testing"
	"time"
)

// TestPoolKeepsConnectionsAsLongAsServersState guards against connections that are closed long before the server would
// close them, so that each step of a trainer opens new ones, and against connections that are used later than that.
func TestPoolKeepsConnectionsAsLongAsServersState(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const defaultTimeout = 4 * time.Second
	for _, tc := range []struct {
		name          string
		stated, rests time.Duration
		kept          bool
	}{
		{"stated, shorter rest", 9 * time.Second, 8 * time.Second, true},
		{"stated, longer rest", 9 * time.Second, 10 * time.Second, false},
		{"stated, less than the default", time.Second, 2 * time.Second, false},
		{"not stated, shorter rest", 0, 3 * time.Second, true},
		{"not stated, longer rest", 0, 5 * time.Second, false},
	} {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		p := connPool{idle: map[poolKey][]*conn{}}
		c := newConn(nc, poolKey{addr: "a"})
		c.serverIdleTimeout = tc.stated
		p.put(c)
		c.idleSince = time.Now().Add(-tc.rests)
		if got := p.get(poolKey{addr: "a"}, "", defaultTimeout) != nil; got != tc.kept {
			t.Errorf("%s: kept %t", tc.name, got)
		}
	}
}
