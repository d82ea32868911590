package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a clock that tests set.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func newTestBudget(bytes int64, connections int) (*Budget, *clock) {
	c := &clock{}
	return New(Options{Bytes: bytes, Connections: connections, ConnectionBytes: 10, Now: c.read}), c
}

// Guards against dropping a connection that makes progress, that runs a request or that asks for the room itself.
func TestLeastProgressIsDroppedFirst(t *testing.T) {
	b, c := newTestBudget(100, 0)
	var dropped []string
	open := func(name string, phase Phase) *Holder {
		var h *Holder
		h = b.Open(func(Reason) { dropped = append(dropped, name); h.Close() })
		h.SetPhase(phase)
		return h
	}
	idle, running := open("idle", Idle), open("running", Running)
	if !running.Reserve(20, 0) {
		t.Fatal("no room in an empty budget")
	}
	slow, fast := open("slow", Receiving), open("fast", Receiving)
	if !slow.Reserve(20, 0) || !fast.Reserve(15, 0) {
		t.Fatal("no room")
	}
	c.now += DefaultStall
	slow.Transferred(ProgressBytes - 1) // too little to count
	fast.Transferred(ProgressBytes)
	if !fast.Reserve(20, time.Second) || len(dropped) != 1 || dropped[0] != "slow" {
		t.Fatalf("dropped %v", dropped)
	}
	if !fast.Reserve(20, time.Second) || len(dropped) != 2 || dropped[1] != "idle" || !idle.Dropped() {
		t.Fatalf("dropped %v", dropped)
	}
	if fast.Reserve(50, 0) || len(dropped) != 2 {
		t.Fatalf("room for more than the limit; dropped %v", dropped)
	}
	if slow.SetPhase(Running) {
		t.Error("a dropped connection runs its request")
	}
}

// Guards against large bodies that take the room of ordinary requests.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	b, _ := newTestBudget(8*SmallBytes, 0)
	h := b.Open(func(Reason) {})
	if !h.Reserve(6*SmallBytes, 0) || h.Reserve(SmallBytes+1, 0) || !h.Reserve(SmallBytes, 0) {
		t.Fatalf("got %+v", b.Stats())
	}
}

// Guards against connections beyond the limit, and against a new connection that waits behind those that do nothing.
func TestNewConnectionReplacesOldest(t *testing.T) {
	b, c := newTestBudget(0, 2)
	reasons := map[string]Reason{}
	first := b.Open(func(r Reason) { reasons["first"] = r })
	c.now++
	second := b.Open(func(r Reason) { reasons["second"] = r })
	if b.Open(func(Reason) {}).SetPhase(Running); reasons["first"] != Connections || len(reasons) != 1 {
		t.Fatalf("dropped %v", reasons)
	}
	first.Close()
	second.SetPhase(Running)
	if b.Open(func(Reason) {}) != nil || b.Stats().Connections != 2 || b.Stats().Refused[Connections] != 1 {
		t.Fatalf("got %+v", b.Stats())
	}
}

// Guards against room that is not given back, or given back twice, in any order of calls.
func TestEverythingIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, c := newTestBudget(300_000, 5)
		held := map[*Holder][]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			c.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if h := b.Open(func(Reason) {}); h != nil {
				held[h] = nil
			}
			for h, sizes := range held {
				switch rapid.IntRange(0, 4).Draw(t, "call") {
				case 0:
					if n := int64(rapid.IntRange(1, 200_000).Draw(t, "bytes")); h.Reserve(n, 0) {
						held[h] = append(sizes, n)
					}
				case 1:
					if len(sizes) > 0 {
						h.Release(sizes[0])
						held[h] = sizes[1:]
					}
				case 2:
					h.SetPhase(Phase(rapid.IntRange(int(Idle), int(Answering)).Draw(t, "phase")))
				case 3:
					h.Close()
					h.Close()
					delete(held, h)
				}
			}
		}
		for h := range held {
			h.Close()
		}
		if s := b.Stats(); s.Bytes != 0 || s.Connections != 0 || b.bulkUsed != 0 || b.common.closing != 0 || b.common.open != 0 {
			t.Fatalf("left: %+v, %d large, %d closing", s, b.bulkUsed, b.common.closing)
		}
	})
}

// Guards against a listener whose connections take the place of another one's, or that waits for memory that was reserved for it.
func TestSharesAreApart(t *testing.T) {
	b, c := newTestBudget(40, 2)
	probes := b.NewReservedShare(2) // 20 bytes
	dropped := map[string]int{}
	open := func(s *Share, name string) *Holder {
		c.now++
		return s.Open(func(Reason) { dropped[name]++ })
	}
	for range 2 {
		open(b.Common(), "callers").SetPhase(Running)
	}
	if open(b.Common(), "callers") != nil {
		t.Error("more connections than the common share has")
	}
	for range 3 {
		if open(probes, "probes") == nil {
			t.Error("no room in the share of the probes")
		}
	}
	if dropped["probes"] != 1 || dropped["callers"] != 0 || b.Stats().Bytes != 40 {
		t.Errorf("dropped %v, %+v", dropped, b.Stats())
	}
}

// Guards against a body that gets the memory of one that has ended while that is not collected, and against a connection that is
// dropped although collecting gives room.
func TestEndedReservationsCountUntilCollected(t *testing.T) {
	collections := 0
	b := New(Options{Bytes: 8 * SmallBytes, LargestBytes: 7 * SmallBytes, Collect: func() { collections++ }})
	first, second := b.Open(func(Reason) {}), b.Open(func(Reason) { t.Error("dropped") })
	for i := range 3 {
		if !first.Reserve(7*SmallBytes, 0) || collections != i {
			t.Fatalf("round %d: %d collections, %+v", i, collections, b.Stats())
		}
		if second.Reserve(2*SmallBytes, 0) {
			t.Fatal("room for a large reservation beside the largest")
		}
		if !second.Reserve(SmallBytes, 0) {
			t.Fatal("no room for a small reservation beside the largest")
		}
		second.Release(SmallBytes)
		first.Release(7 * SmallBytes)
	}
	first.Close()
	second.Close()
	if s := b.Stats(); s.Bytes != 0 || b.used != b.garbage {
		t.Errorf("left: %+v, %d used, %d garbage", s, b.used, b.garbage)
	}
}

// Guards against a crowd that takes the connections of callers and servers that are idle between two requests.
func TestConnectionsWithoutRequestGoFirst(t *testing.T) {
	b, c := newTestBudget(0, 3)
	served := b.Open(func(Reason) { t.Error("a connection that has served a request was dropped") })
	for _, p := range []Phase{Receiving, Running, Answering, Idle} {
		served.SetPhase(p)
	}
	for i := range 20 {
		c.now++
		h := b.Open(func(Reason) {})
		if i%2 == 0 {
			h.SetPhase(Receiving)
		}
	}
	if served.Dropped() {
		t.Error("dropped")
	}
}

// Guards against a reservation of a connection that ends while the garbage collector runs for it.
func TestConnectionEndsDuringCollection(t *testing.T) {
	var h *Holder
	b := New(Options{Bytes: 8 * SmallBytes, Collect: func() { h.Close() }})
	other := b.Open(func(Reason) {})
	h = b.Open(func(Reason) {})
	if !other.Reserve(5*SmallBytes, 0) {
		t.Fatal("no room")
	}
	other.Close()
	if h.Reserve(5*SmallBytes, 0) {
		t.Error("a reservation of a connection that has ended")
	}
	if b.used != 0 || b.bulkUsed != 0 {
		t.Errorf("left: %d, %d large", b.used, b.bulkUsed)
	}
}
