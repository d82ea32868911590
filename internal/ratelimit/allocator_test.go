package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// limitedTable returns a table with servers s0, s1 and so on that state the given limits.
func limitedTable(limits ...float64) *Table {
	table := NewTable()
	for i, perSecond := range limits {
		table.Observe(fmt.Sprintf("s%d", i), Statement{Limited, perSecond}, 0, 0)
	}
	return table
}

// The users' rule for a limited server: in any 4 s it receives at most one and a half times its limit, and 5 requests.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleExtra  = 5
)

// mostInWindow returns the highest number of times within a window of ruleWindow.
func mostInWindow(times []time.Duration) int {
	slices.Sort(times)
	most := 0
	for i, at := range times {
		end, _ := slices.BinarySearch(times, at+ruleWindow)
		most = max(most, end-i)
	}
	return most
}

// Guards against a limit that is exceeded or left unused, whatever the load: callers at many times the limit, at a
// fraction of it and in bursts, and limits from a fraction of a request a second to hundreds.
func TestAllocatorKeepsLimits(t *testing.T) {
	const length = 40 * time.Second
	for _, perSecond := range []float64{0, 0.1, 1, 1.6, 7, 300} {
		for _, load := range []float64{0.5, 1, 8} {
			for _, burst := range []int{1, 12} {
				now := time.Duration(0)
				a := NewAllocator(limitedTable(perSecond), now)
				rate := max(perSecond, minPerSecond)
				var sent []time.Duration
				for asked := 0; now < length; now += time.Millisecond {
					for due := now.Seconds() * rate * load; float64(asked) < due; asked++ {
						if asked%burst == 0 {
							for range burst {
								if g := a.Reserve([]string{"s0"}, 100*time.Millisecond, now); g.Server != "" {
									sent = append(sent, now+g.Wait)
									for range g.Spare {
										sent = append(sent, now+PermissionLifetime)
									}
								}
							}
						}
					}
				}
				if most, allowed := mostInWindow(sent), int(ruleFactor*perSecond*ruleWindow.Seconds())+ruleExtra; most > allowed {
					t.Errorf("limit %g, load %g in bursts of %d: %d requests in %s, allowed are %d", perSecond, load, burst, most, ruleWindow, allowed)
				}
				if used := float64(len(sent)) / (rate * length.Seconds()); load > 1 && burst == 1 && used < 0.9 {
					t.Errorf("limit %g, load %g: %.2f of the limit is used", perSecond, load, used)
				}
			}
		}
	}
}

// Guards against a request that waits for one limited server while another has a permission, and against a refusal that
// tells the wrong time.
func TestReserveChoosesServer(t *testing.T) {
	a := NewAllocator(limitedTable(1, 2, 0.5), 0)
	all := []string{"s0", "s1", "s2"}
	if g := a.Reserve(all, 0, 0); g.Server != "" || g.Wait != 500*time.Millisecond {
		t.Fatalf("without permissions: %+v", g)
	}
	if g := a.Reserve(all, 600*time.Millisecond, 0); g.Server != "s1" || g.Wait != 500*time.Millisecond {
		t.Fatalf("with time to wait: %+v", g)
	}
	if g := a.Reserve(all, 0, 1*second); g.Server != "s0" || g.Wait != 0 {
		t.Fatalf("the preferred server has a permission: %+v", g)
	}
	if g := a.Reserve([]string{"s0", "unlimited"}, 0, 1*second); g.Server != "unlimited" {
		t.Fatalf("a server without a limit: %+v", g)
	}
	if g := a.Reserve(nil, 0, 1*second); g.Server != "" {
		t.Fatalf("no server: %+v", g)
	}
}

// Guards against a limit whose change is not followed: lowered, raised, withdrawn and stated again.
func TestAllocatorFollowsTable(t *testing.T) {
	table := limitedTable(10)
	a := NewAllocator(table, 0)
	count := func(from, to time.Duration) (n int) {
		for now := from; now < to; now += 10 * time.Millisecond {
			if a.Take("s0", now) {
				n++
			}
		}
		return n
	}
	if n := count(0, 2*second); n < 18 || n > 20 {
		t.Fatalf("%d permissions in 2 s at 10 a second", n)
	}
	table.Observe("s0", Statement{Limited, 2}, 2*second, 2*second)
	if n := count(2*second, 4*second); n < 3 || n > 5 {
		t.Fatalf("%d permissions in 2 s after the limit was lowered to 2 a second", n)
	}
	table.Observe("s0", Statement{Kind: Unlimited}, 4*second, 4*second)
	if n := count(4*second, 5*second); n != 100 {
		t.Fatalf("%d permissions for 100 requests after the limit was withdrawn", n)
	}
	table.Observe("s0", Statement{Limited, 2}, 5*second, 5*second)
	if n := count(5*second, 7*second); n < 3 || n > 4 {
		t.Fatalf("%d permissions in 2 s after the limit was stated again", n)
	}
}

// Guards against VMs that together exceed a limit while some of them have no contact with the leader, or none of them
// has one, and against a VM whose part is zero forever. VMs are lost, come back and are replaced.
func TestMembersAndSharesKeepLimitTogether(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		length   = 90 * time.Second
		interval = time.Second // between two contacts of a VM with the leader
	)
	for _, tc := range []struct {
		vms       int
		perSecond float64
		cutOff    int // VMs that are cut off from 20 s to 50 s
	}{{9, 1, 0}, {9, 1, 3}, {9, 4, 9}, {60, 2, 20}, {60, 40, 60}} {
		table := limitedTable(tc.perSecond)
		a := NewAllocator(table, 0)
		random := rand.New(rand.NewPCG(1, 2))
		contactAt := make([]time.Duration, tc.vms)
		shares := make([]*Shares, tc.vms)
		for vm := range shares {
			shares[vm] = NewShares()
			shares[vm].phase = random.Float64
		}
		var sent, byLost []time.Duration
		servedBy := make([]int, tc.vms)
		for now := time.Duration(0); now < length; now += step {
			for vm := range tc.vms {
				cut := vm < tc.cutOff && now > 20*second && now < 50*second
				if !cut && now-contactAt[vm] >= interval {
					a.Contact(fmt.Sprint(vm), now-contactAt[vm], tc.vms, now)
					contactAt[vm] = now
				}
				switch {
				case !cut:
					if random.Float64() < 0.2 && a.Take("s0", now) {
						sent, servedBy[vm] = append(sent, now), servedBy[vm]+1
					}
				case now-contactAt[vm] > OwnShareAfter && shares[vm].Take("s0", tc.perSecond, tc.vms, now):
					sent, byLost, servedBy[vm] = append(sent, now), append(byLost, now), servedBy[vm]+1
				}
			}
		}
		// Own shares have random times, so that their number in a window varies by a few.
		if most, allowed := mostInWindow(sent), int(ruleFactor*tc.perSecond*ruleWindow.Seconds())+ruleExtra; most > allowed {
			t.Errorf("%+v: %d requests in %s, allowed are %d", tc, most, ruleWindow, allowed)
		}
		if total := float64(len(sent)); total < 0.8*tc.perSecond*length.Seconds() || total > 1.05*tc.perSecond*length.Seconds()+2 {
			t.Errorf("%+v: %g requests in %s, the limit allows %g", tc, total, length, tc.perSecond*length.Seconds())
		}
		if tc.cutOff > 0 && len(byLost) == 0 {
			t.Errorf("%+v: the VMs that were cut off sent nothing", tc)
		}
	}
}

// Guards against a share whose turns end when the number of VMs or the limit changes, and against turns that are saved
// up during a pause.
func TestSharesTurns(t *testing.T) {
	s := NewShares()
	s.phase = func() float64 { return 0 }
	count := func(perSecond float64, members int, from, to time.Duration) (n int) {
		for now := from; now < to; now += 10 * time.Millisecond {
			if s.Take("s0", perSecond, members, now) {
				n++
			}
		}
		return n
	}
	if n := count(10, 1, 100*second, 110*second); n < 99 || n > 101 {
		t.Errorf("%d turns in 10 s at 10 a second", n)
	}
	if n := count(1, 2, 110*second, 120*second); n != 5 {
		t.Errorf("%d turns in 10 s, want 5 after the limit fell to 1 a second for two VMs", n)
	}
	if n := count(1, 2, 200*second, 200*second+time.Millisecond); n != 1 {
		t.Errorf("%d turns at the start of a period after a pause, want 1", n)
	}
	if s.Take("s0", 1, 2, 203*second) {
		t.Error("a turn was used a second after its time")
	}
	if n := count(0, 4, 300*second, 348*second); n < 3 {
		t.Errorf("%d turns in 48 s at a limit of zero for four VMs, want 3", n)
	}
}
