package fleet

import (
	"testing"
	"time"
)

const interval = time.Second

func newServer(id string, incarnation int64, sequence uint64) Server {
	return Server{ID: id, Service: "llm", Address: "10.0.0.1:80", FailureDomain: "a", Incarnation: incarnation, Sequence: sequence, Slots: 4}
}

// Guards against a late or repeated announcement that makes a leaving server available again, or that replaces a newer
// incarnation.
func TestAnnounceIgnoresLateAnnouncements(t *testing.T) {
	r := NewRegistry(interval)
	if c := r.Announce(newServer("s", 10, 5), 0); c != NewIncarnation {
		t.Fatalf("first announcement: %v", c)
	}
	leavingServer := newServer("s", 10, 6)
	leavingServer.Leaving = true
	if c := r.Announce(leavingServer, 0); c != StartedLeaving {
		t.Fatalf("leaving: %v", c)
	}
	// An announcement that was sent before the server started to leave arrives late.
	if c := r.Announce(newServer("s", 10, 4), 0); c != StaleAnnouncement {
		t.Fatalf("late announcement: %v", c)
	}
	// A newer announcement of the same incarnation does not clear the leaving mark.
	r.Announce(newServer("s", 10, 7), 0)
	if s, _ := r.Get("s"); !s.Leaving {
		t.Fatal("the leaving mark was cleared in the same incarnation")
	}
	// A new incarnation with the same ID does, although its sequence numbers start again at 1.
	if c := r.Announce(newServer("s", 20, 1), 0); c != NewIncarnation {
		t.Fatalf("restart: %v", c)
	}
	if s, _ := r.Get("s"); s.Leaving {
		t.Fatal("the new incarnation is marked as leaving")
	}
	// A delayed announcement of the old incarnation does not replace the new one.
	if c := r.Announce(newServer("s", 10, 9), 0); c != StaleAnnouncement {
		t.Fatalf("old incarnation: %v", c)
	}
}

// Guards against two servers with the same address, after a new server has been started on the address of an old one.
func TestAnnounceKeepsNewestServerOfAddress(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(newServer("old", 10, 1), 0)
	r.Announce(newServer("new", 20, 1), 0)
	if _, known := r.Get("old"); known {
		t.Fatal("two servers have the same address")
	}
	if c := r.Announce(newServer("old", 10, 2), 0); c != StaleAnnouncement {
		t.Fatalf("late announcement of the server that had the address before: %v", c)
	}
}

// Guards against a server that becomes silent or expires at the wrong time, or without a new revision.
func TestSilentServerExpires(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(newServer("s", 1, 1), 0)
	if list := r.List("llm", silentIntervals*interval); list[0].Silent {
		t.Fatal("silent too early")
	}
	if list := r.List("llm", silentIntervals*interval+1); !list[0].Silent {
		t.Fatal("not silent")
	}
	before := r.Revision()
	r.Expire(silentIntervals*interval+time.Millisecond, 2*time.Millisecond)
	if r.Revision() == before {
		t.Fatal("the revision did not change when the server became silent")
	}
	if expired := r.Expire(expireAfter+1, interval); len(expired) != 1 || expired[0].ID != "s" {
		t.Fatalf("expired %v", expired)
	}
}

// Guards against a server that becomes available again through the list of another VM.
func TestMergeKeepsLeavingMark(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(newServer("s", 10, 5), 0)
	r.MarkLeaving("s", 10)
	r.Merge([]Server{newServer("s", 10, 9)}, 0)
	if s, _ := r.Get("s"); !s.Leaving {
		t.Fatal("Merge cleared the leaving mark")
	}
	r.Replace([]Server{newServer("t", 1, 1)}, 0)
	if _, known := r.Get("s"); known {
		t.Fatal("Replace kept a server that the leader no longer lists")
	}
}

// Guards against marking a restarted server as leaving because its previous incarnation left.
func TestMarkLeavingIgnoresNewerIncarnation(t *testing.T) {
	r := NewRegistry(interval)
	r.Announce(newServer("s", 20, 1), 0)
	for _, earlier := range []int64{10, 0} {
		r.MarkLeaving("s", earlier)
		if s, _ := r.Get("s"); s.Leaving {
			t.Fatalf("leaving of incarnation %d marked the newer one", earlier)
		}
	}
}

// TestLeavingMarkOutranksSequence guards against a leaving mark that is lost when the leader changes: the new
// leader has received fewer announcements of a server than the VM that takes over its list, but already knows that
// the server is leaving.
func TestLeavingMarkOutranksSequence(t *testing.T) {
	r := NewRegistry(time.Second)
	leaving := func(sequence uint64) Server {
		s := newServer("a", 5, sequence)
		s.Leaving = true
		return s
	}
	r.Replace([]Server{newServer("a", 5, 10)}, 0)
	r.Replace([]Server{leaving(8)}, 0)
	if got, _ := r.Get("a"); !got.Leaving {
		t.Fatalf("the server is not marked as leaving: %+v", got)
	}
	r.Replace([]Server{newServer("a", 7, 1)}, 0)
	r.Replace([]Server{leaving(11)}, 0)
	if got, _ := r.Get("a"); got.Leaving {
		t.Fatalf("leaving of an earlier incarnation marked the new one: %+v", got)
	}
}

// Guards against a leaving mark that an out-of-date list restores after the leader has ended it, and against a mark that is lost
// because it was set again.
func TestReturnOutranksEarlierMarks(t *testing.T) {
	leaving, returned := newServer("s", 10, 8), newServer("s", 10, 5)
	leaving.Leaving, returned.Returns = true, 1
	left := returned
	left.Leaving = true
	for name, tc := range map[string]struct {
		lists []Server
		want  bool
	}{
		"return":                  {[]Server{leaving, returned}, false},
		"earlier list":            {[]Server{leaving, returned, leaving}, false},
		"later departure":         {[]Server{leaving, returned, left}, true},
		"list before a departure": {[]Server{leaving, left, returned}, true},
	} {
		r := NewRegistry(interval)
		for _, s := range tc.lists {
			r.Merge([]Server{s}, 0)
			r.Announce(newServer("s", 10, 9), 0)
		}
		if s, _ := r.Get("s"); s.Leaving != tc.want || s.Returns != 1 {
			t.Errorf("%s: leaving %t after %d returns, want %t", name, s.Leaving, s.Returns, tc.want)
		}
	}
	r := NewRegistry(interval)
	r.Merge([]Server{leaving}, 0)
	if !r.Return(returned) || r.Return(returned) {
		t.Error("a return takes effect once")
	}
	if s, _ := r.Get("s"); s.Leaving {
		t.Error("the mark stayed")
	}
}
