package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
)

// Guards against a backend server that keeps announcing to an unreachable configured entry VM and never uses the
// entry VMs listed in responses. The second server is known only from the response of the first.
func TestAnnouncerUsesLearnedEntriesAndAnnouncesLeaving(t *testing.T) {
	got := make(chan api.Announcement, 100)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a api.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		got <- a
		fmt.Fprint(w, `{"vms":[]}`)
	}))
	defer second.Close()
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"vms":[%q]}`, strings.TrimPrefix(second.URL, "http://"))
	}))
	defer first.Close()
	a := StartAnnouncer(AnnouncerOptions{
		Token:    "t",
		Entries:  []string{"127.0.0.1:1", strings.TrimPrefix(first.URL, "http://")},
		Describe: func() api.Announcement { return api.Announcement{ID: "e"} },
	})
	defer a.Close()
	limit := time.After(20 * time.Second)
	var last uint64
	for state := api.ServerServing; ; {
		a.AnnounceNow()
		select {
		case msg := <-got:
			if msg.Sequence <= last {
				t.Errorf("sequence %d after %d", msg.Sequence, last)
			}
			last = msg.Sequence
			if msg.State == api.ServerLeaving {
				return
			}
			if state == api.ServerServing {
				state = api.ServerLeaving
				a.Leave()
			}
		case <-limit:
			t.Fatal("the learned entry VM got no announcement that the server is leaving")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
