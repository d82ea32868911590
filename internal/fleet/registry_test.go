package fleet

import (
	"testing"
	"time"
)

const interval = time.Second

func server(id string, born int64, sequence uint64) Server {
	return Server{ID: id, Service: "llm", Address: "10.0.0.1:80", FailureDomain: "a", Incarnation: born, Sequence: sequence, Slots: 4}
}

func TestLateAnnouncementsChangeNothing(t *testing.T) {
	r := NewRegistry(interval)
	if c := r.Announce(server("s", 10, 5), 0); c != NewIncarnation {
		t.Fatalf("first announcement: %v", c)
	}
	leaving := server("s", 10, 6)
	leaving.Leaving = true
	if c := r.Announce(leaving, 0); c != StartedLeaving {
		t.Fatalf("leaving: %v", c)
	}
	// An announcement from before the notice arrives late.
	if c := r.Announce(server("s", 10, 4), 0); c != StaleAnnouncement {
		t.Fatalf("late announcement: %v", c)
	}
	// A newer one of the same incarnation does not bring the server back either.
	r.Announce(server("s", 10, 7), 0)
	if s, _ := r.Get("s"); !s.Leaving {
		t.Fatal("a server that left came back in the same incarnation")
	}
	// A restart under the same ID does, with counts that begin again.
	if c := r.Announce(server("s", 20, 1), 0); c != NewIncarnation {
		t.Fatalf("restart: %v", c)
	}
	if s, _ := r.Get("s"); s.Leaving {
		t.Fatal("the new incarnation counts as leaving")
	}
	// A delayed announcement of the old incarnation does not replace the new one.
	if c := r.Announce(server("s", 10, 9), 0); c != StaleAnnouncement {
		t.Fatalf("old incarnation: %v", c)
	}
}

func TestAnAddressBelongsToTheNewestServer(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(server("old", 10, 1), 0)
	r.Announce(server("new", 20, 1), 0)
	if _, known := r.Get("old"); known {
		t.Fatal("two servers hold one address")
	}
	if c := r.Announce(server("old", 10, 2), 0); c != StaleAnnouncement {
		t.Fatalf("announcement of the former holder: %v", c)
	}
}

func TestSilenceAndExpiry(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(server("s", 1, 1), 0)
	if list := r.List("llm", silentIntervals*interval); list[0].Silent {
		t.Fatal("silent too early")
	}
	if list := r.List("llm", silentIntervals*interval+1); !list[0].Silent {
		t.Fatal("not silent")
	}
	before := r.Revision()
	r.Expire(silentIntervals*interval+time.Millisecond, 2*time.Millisecond)
	if r.Revision() == before {
		t.Fatal("falling silent is no new revision")
	}
	if gone := r.Expire(forgetAfter+1, interval); len(gone) != 1 || gone[0].ID != "s" {
		t.Fatalf("expired %v", gone)
	}
}

func TestMergeNeverBringsBack(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(server("s", 10, 5), 0)
	r.MarkLeaving("s", 10)
	r.Merge([]Server{server("s", 10, 9)}, 0)
	if s, _ := r.Get("s"); !s.Leaving {
		t.Fatal("a merged list brought back a server that left")
	}
	r.Replace([]Server{server("t", 1, 1)}, 0)
	if _, known := r.Get("s"); known {
		t.Fatal("Replace kept a server that the leader no longer lists")
	}
}

func TestLeaveOfAnOlderIncarnation(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(server("s", 20, 1), 0)
	r.MarkLeaving("s", 10)
	if s, _ := r.Get("s"); s.Leaving {
		t.Fatal("the notice of an older incarnation hit the newer one")
	}
}

// TestADepartureOutranksTheCountOfAnnouncements plays a change of the leader: the new one has heard fewer announcements
// of a server than the VM that follows it, and has just been told that the server leaves.
func TestADepartureOutranksTheCountOfAnnouncements(t *testing.T) {
	r := NewRegistry(time.Second)
	r.Replace([]Server{{ID: "a", Address: "1", Incarnation: 5, Sequence: 10}}, 0)
	r.Replace([]Server{{ID: "a", Address: "1", Incarnation: 5, Sequence: 8, Leaving: true}}, 0)
	if got, _ := r.Get("a"); !got.Leaving {
		t.Fatalf("the server still counts as ready: %+v", got)
	}
	r.Replace([]Server{{ID: "a", Address: "1", Incarnation: 7, Sequence: 1}}, 0)
	r.Replace([]Server{{ID: "a", Address: "1", Incarnation: 5, Sequence: 11, Leaving: true}}, 0)
	if got, _ := r.Get("a"); got.Leaving {
		t.Fatalf("the departure of an earlier incarnation counts for the new one: %+v", got)
	}
}
