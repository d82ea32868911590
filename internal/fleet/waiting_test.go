package fleet

import (
	"fmt"
	"testing"
	"time"
)

func configuredServices(names ...string) func(string) bool {
	return func(service string) bool {
		for _, n := range names {
			if n == service {
				return true
			}
		}
		return false
	}
}

// serverOf returns a server of a service at the address that newServer uses.
func serverOf(service, id string, incarnation int64, sequence uint64) Server {
	s := newServer(id, incarnation, sequence)
	s.Service = service
	return s
}

// Guards against an announcement of a service that is not configured that hides the server with its address or ID, in
// whichever order the two arrive.
func TestUnconfiguredServiceHidesNoServer(t *testing.T) {
	for name, odd := range map[string]Server{
		"new ID":           serverOf("other", "odd", 20, 1),
		"ID of the server": serverOf("other", "good", 20, 100),
		"same start":       serverOf("other", "good", 10, 100),
		"leaving":          {ID: "good", Service: "other", Address: "10.0.0.1:80", Incarnation: 20, Sequence: 1, Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(interval)
			r.ConfigureServices(configuredServices("llm"))
			check := func(when string) {
				t.Helper()
				if list := r.List("", 0); len(list) != 1 || list[0].ID != "good" || list[0].Service != "llm" || list[0].Leaving {
					t.Errorf("%s: got %+v", when, list)
				}
			}
			if c := r.Announce(odd, 0); c != StartedWaiting {
				t.Errorf("first odd announcement: %v", c)
			}
			if c := r.Announce(newServer("good", 10, 1), 0); c != NewIncarnation {
				t.Errorf("announcement after the odd one: %v", c)
			}
			check("odd announcement first")
			if c := r.Announce(odd, 0); c != StillWaiting {
				t.Errorf("repeated odd announcement: %v", c)
			}
			check("odd announcement repeated")
			if c := r.Announce(newServer("good", 10, 2), interval); c != NoChange {
				t.Errorf("next announcement: %v", c)
			}
			if c := r.Announce(newServer("good", 30, 1), interval); c != NewIncarnation {
				t.Errorf("restart at the same address: %v", c)
			}
			check("after a restart")
		})
	}
}

// Guards against an entry of a service that is not configured, in the list or the state of an earlier build, that hides a
// server for as long as the entry is kept.
func TestServerTakesItsPlaceFromUnconfiguredEntry(t *testing.T) {
	for name, odd := range map[string]Server{"its address": serverOf("other", "odd", 20, 1), "its ID": serverOf("other", "good", 20, 9)} {
		r := NewRegistry(interval)
		r.Merge([]Server{odd}, 0)
		r.ConfigureServices(configuredServices("llm"))
		if c := r.Announce(newServer("good", 10, 1), 0); c != NewIncarnation {
			t.Errorf("%s: announcement: %v", name, c)
		}
		r.Announce(odd, 0) // a known entry whose service is not configured is only kept up to date
		if list := r.List("llm", 0); len(list) != 1 || list[0].ID != "good" {
			t.Errorf("%s: got %+v", name, list)
		}
	}
}

// Guards against servers that are lost because they announced themselves before their service was configured, and against
// removing servers whose service is dropped from the configuration.
func TestServersAreListedOnceTheirServiceIsConfigured(t *testing.T) {
	r := NewRegistry(interval)
	r.ConfigureServices(configuredServices())
	left := serverOf("llm", "left", 10, 1)
	left.Address = "10.0.0.2:80"
	r.Announce(newServer("good", 10, 1), 0)
	r.Announce(left, 0)
	r.isConfigured = configuredServices("llm")
	listed := r.ListConfigured(func(s Server) bool { return s.ID == "left" })
	if len(listed) != 2 || r.MustWait(newServer("good", 10, 2)) {
		t.Errorf("listed %+v", listed)
	}
	if s, _ := r.Get("left"); !s.Leaving {
		t.Error("a server that left while it waited counts as available")
	}
	r.isConfigured = configuredServices()
	if c := r.Announce(newServer("good", 10, 2), 0); c != NoChange || len(r.List("llm", 0)) != 2 {
		t.Errorf("after the service was dropped: %v, %+v", c, r.List("llm", 0))
	}
}

// Guards against an odd announcement whose service is configured later: it must not replace the server that went on to
// announce the same ID or address, but a server that moved to the address must.
func TestWaitingServerReplacesOnlySilentServer(t *testing.T) {
	for name, tc := range map[string]struct {
		waitingID string
		heardOf   time.Duration // last announcement of the listed server
		want      string
	}{
		"address of a running server": {"odd", 2 * interval, "good"},
		"ID of a running server":      {"good", 2 * interval, "good"},
		"address of a silent server":  {"new", 0, "new"},
	} {
		r := NewRegistry(interval)
		r.ConfigureServices(configuredServices("llm"))
		r.Announce(newServer("good", 10, 1), 0)
		r.Announce(serverOf("other", tc.waitingID, 20, 1), interval)
		r.Announce(newServer("good", 10, 2), tc.heardOf)
		r.isConfigured = configuredServices("llm", "other")
		r.ListConfigured(func(Server) bool { return false })
		if list := r.List("", 0); len(list) != 1 || list[0].ID != tc.want {
			t.Errorf("%s: got %+v", name, list)
		}
	}
}

// Guards against a flood of odd announcements that takes memory, or that keeps out servers.
func TestOddAnnouncementsAreBounded(t *testing.T) {
	r := NewRegistry(interval)
	r.ConfigureServices(configuredServices("llm"))
	for i := range 2 * maxWaiting {
		r.Announce(serverOf("other", fmt.Sprint("odd", i), 20, 1), time.Duration(i))
	}
	if len(r.waiting) != maxWaiting {
		t.Errorf("%d servers wait, want %d", len(r.waiting), maxWaiting)
	}
	if c := r.Announce(newServer("good", 10, 1), interval); c != NewIncarnation {
		t.Errorf("server after the flood: %v", c)
	}
	late := serverOf("late", "late", 10, 1)
	late.Address = "10.0.0.2:80"
	r.Announce(late, interval)
	r.isConfigured = configuredServices("llm", "late")
	if listed := r.ListConfigured(func(Server) bool { return false }); len(listed) != 1 || listed[0].ID != "late" {
		t.Errorf("listed %+v", listed)
	}
	if r.Expire(expireAfter+2*interval, interval); len(r.waiting) != 0 {
		t.Errorf("%d servers wait after their time", len(r.waiting))
	}
}
