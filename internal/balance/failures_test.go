package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const oldReport = 500 * time.Millisecond

func testCandidates(n int) (list []Candidate, members []Member) {
	for i := range n {
		id, domain := fmt.Sprintf("server-%04d", i), string(rune('a'+i%simDomains))
		list = append(list, Candidate{ID: id, FailureDomain: domain, Slots: 6})
		members = append(members, Member{ID: id, Service: fmt.Sprintf("service-%02d", i%30), FailureDomain: domain, Slots: 6})
	}
	return list, members
}

// Guards against a server that attracts the load of all VMs at the same moment: the only idle one in a report that is
// 500 ms old, and one that no VM has reported.
func TestVMsDoNotChooseTheSameServer(t *testing.T) {
	candidates, _ := testCandidates(30)
	random := rand.New(rand.NewPCG(3, 4))
	for name, tc := range map[string]struct {
		reported bool
		share    float64 // of the requests of the failure domain, at most
	}{"idle": {true, 0.35}, "reports nothing": {false, 0.15}} {
		chosen := 0
		for vm := range 300 {
			tracker := NewTracker(fmt.Sprint("vm-", vm), "a", true)
			for i, c := range candidates {
				if i > 0 || tc.reported {
					tracker.counts[Key(c.ID)] = counted{others: min(i, 1) * 3, service: time.Second}
				}
			}
			if i, _ := tracker.Choose(candidates, oldReport, random.Float64); i == 0 {
				chosen++
			}
		}
		if share := float64(chosen) / 300; share > tc.share {
			t.Errorf("%s: %.2f of the VMs choose the same of 10 servers", name, share)
		}
	}
}

// Guards against servers that attract load because they answer with errors at once, or because nothing is known of them,
// and against servers of different speed of which the fast ones are full while the slow ones are nearly idle.
func TestOddServersDrawNoLoad(t *testing.T) {
	base := simCase{30, 9, 100 * time.Millisecond, oldReport, 0.6, "kept"}
	r := newSim(base, func(s *sim) { s.servers[8].fails, s.servers[8].speed = true, 1.7 }).run()
	t.Logf("attempts at the failing server: %.3f, %s", r.failedSent, r)
	if r.failedSent > 0.02 {
		t.Errorf("a server that fails at once gets %.3f of the attempts", r.failedSent)
	}
	if r := newSim(base, func(s *sim) { s.servers[8].silent = true }).run(); r.uneven > 0.15 {
		t.Errorf("a server that reports nothing: %s", r)
	}
	base.age = 0
	if r := newSim(base, nil).run(); r.uneven > 0.02 {
		t.Errorf("servers 2.4 times apart in speed: %s", r)
	}
}

// Guards against counts of other VMs that are used after the leader is lost, and against a choice that then fails.
func TestSumsAgeOut(t *testing.T) {
	candidates, members := testCandidates(30)
	for i := range members {
		members[i].Service = "service"
	}
	now := time.Second
	leader, fleet := NewCollector(true), NewFleet(members)
	tracker := NewTracker("vm-1", "a", false)
	leader.Contact("vm-1", 0, now)
	leader.Contact("vm-2", 0, now)
	var entries []Entry
	for _, c := range candidates {
		entries = append(entries, Entry{Key(c.ID), 2, 20 * time.Millisecond})
	}
	if err := leader.Record("vm-2", &Report{Entries: Encode(entries)}, fleet); err != nil {
		t.Fatal(err)
	}
	if err := tracker.Apply(leader.Reply("vm-1", "a", fleet, now), 1, now); err != nil || !tracker.Enabled() {
		t.Fatal("the leader's sums do not enable the choice", err)
	}
	for after, known := range map[time.Duration]bool{0: true, 2 * time.Second: true, 2*time.Second + 1: false} {
		i, k := tracker.Choose(candidates, now+after, rand.Float64)
		if i < 0 || (k.Counted == subsetSize) != known || tracker.Current(now+after) != known {
			t.Errorf("%s after the last sums: %d, %+v", after, i, k)
		}
	}
}

// Guards against counts of a killed VM that stay, against a report that hides or inflates the load of other VMs, against a
// report of servers that do not exist, and against a reply that is not repeated after it was lost.
func TestCollectorBoundsReports(t *testing.T) {
	candidates, members := testCandidates(60) // two of each service
	fleet, key := NewFleet(members), Key(candidates[0].ID)
	c := NewCollector(true)
	load := func(now time.Duration) int {
		entries, err := Decode(c.Reply("reader", "a", fleet, now).Entries, 1000)
		if err != nil {
			t.Fatal(err)
		}
		if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Key == key }); i >= 0 {
			return entries[i].Load
		}
		return -1
	}
	c.Contact("reader", 0, 0)
	for i, report := range []struct {
		vm   string
		load int
	}{{"good", 4}, {"killed", 3}, {"absurd", 1 << 40}, {"absurd", 1 << 40}} {
		c.Contact(report.vm, 0, 0)
		if err := c.Record(report.vm, &Report{Entries: Encode([]Entry{{key, report.load, time.Hour}, {7, 5, 0}})}, fleet); err != nil {
			t.Fatal(i, err)
		}
	}
	const most = 7 + maxQueueFactor*6
	if got := load(0); got != most || len(c.totals) != 1 {
		t.Errorf("load %d of %d servers, want %d of 1", got, len(c.totals), most)
	}
	if got := load(time.Second); got != -1 {
		t.Errorf("an unchanged load of %d is sent again", got)
	}
	if err := c.Record("reader", &Report{Revision: 1}, fleet); err != nil || load(2*time.Second) != most {
		t.Error("a lost reply is not repeated", err)
	}
	if err := c.Record("absurd", &Report{Entries: []byte{1, 2, 3}, Whole: true}, fleet); err == nil {
		t.Error("a malformed report is accepted")
	}
	for _, vm := range []string{"reader", "good"} {
		c.Contact(vm, 0, contactLifetime)
	}
	if got := load(contactLifetime + 1); got != 4 {
		t.Errorf("load %d after two VMs were lost, want 4", got)
	}
}

// Guards against replies that grow with the number of servers, and against servers whose changes are never sent.
func TestRepliesAreBounded(t *testing.T) {
	_, members := testCandidates(3000)
	fleet, c, random := NewFleet(members), NewCollector(true), rand.New(rand.NewPCG(5, 6))
	tracker := NewTracker("reader", "a", true)
	bytes, now := 0, time.Duration(0)
	for now = 0; now < 20*time.Second; now += 500 * time.Millisecond {
		for vm := range 60 {
			name := fmt.Sprint("vm-", vm)
			var entries []Entry
			for i := range MaxReportEntries {
				entries = append(entries, Entry{Key(members[(vm*50+i)%3000].ID), random.IntN(6), time.Duration(1+random.IntN(50)) * time.Millisecond})
			}
			c.Contact(name, 0, now)
			if err := c.Record(name, &Report{Entries: Encode(entries)}, fleet); err != nil {
				t.Fatal(err)
			}
		}
		c.Contact("reader", 0, now)
		if err := c.Record("reader", tracker.Report(1, now), fleet); err != nil {
			t.Fatal(err)
		}
		r := c.Reply("reader", "a", fleet, now)
		bytes += len(r.Entries)
		if err := tracker.Apply(r, 1, now); err != nil {
			t.Fatal(err)
		}
	}
	if limit := int(2000 * (now.Seconds() + 1)); bytes > limit {
		t.Errorf("%d bytes in %s, more than %d", bytes, now, limit)
	}
	fresh := 0
	for _, c := range tracker.counts {
		if now-c.current < 3*time.Second {
			fresh++
		}
	}
	if subset := len(fleet.subset("reader", "a")); subset > maxSubset || fresh < subset*9/10 {
		t.Errorf("the counts of %d of %d servers of the subset are recent", fresh, subset)
	}
}

// Guards against a deployment of equal VMs that behaves differently than before, and against one of unequal VMs that does
// not share the load.
func TestUnequalSharesEnable(t *testing.T) {
	for _, tc := range []struct {
		shares []float64
		want   bool
	}{{[]float64{0, 0, 0}, false}, {[]float64{0.5, 0.5, 0}, false}, {[]float64{0.5, 0.75}, false}, {[]float64{0.5, 0, 0.76}, true}} {
		c := NewCollector(false)
		for vm, share := range tc.shares {
			c.Contact(fmt.Sprint(vm), share, 0)
		}
		tracker := NewTracker("0", "a", false)
		if err := tracker.Apply(c.Reply("0", "a", NewFleet(nil), 0), 1, 0); err != nil {
			t.Fatal(err)
		}
		if tracker.Enabled() != tc.want || (tracker.Report(1, 0) != nil) != tc.want {
			t.Errorf("shares %v: enabled %t", tc.shares, tracker.Enabled())
		}
	}
}

// Guards against a subset that the loss of the VM's failure domain empties, or that changes when another server leaves.
func TestSubsetSurvivesTheLossOfADomain(t *testing.T) {
	candidates, members := testCandidates(300)
	for i := range members {
		members[i].Service = "service"
	}
	before := NewFleet(members).subset("vm", "a")
	after := NewFleet(members[:299]).subset("vm", "a")
	kept, remote := 0, 0
	for _, key := range before {
		if slices.Contains(after, key) {
			kept++
		}
		if i := slices.IndexFunc(candidates, func(c Candidate) bool { return Key(c.ID) == key }); candidates[i].FailureDomain != "a" {
			remote++
		}
	}
	if len(before) != subsetSize || remote != subsetSize/2 || kept < subsetSize-1 {
		t.Errorf("%d servers, %d of other domains, %d kept", len(before), remote, kept)
	}
}

// Guards against a failure domain that keeps its requests although it is full and others are not, against all VMs that leave
// it at once, and against servers that are avoided because they refused requests.
func TestDomainsShareLoadGradually(t *testing.T) {
	candidates, _ := testCandidates(9)
	random := rand.New(rand.NewPCG(7, 8))
	remote, refusing := 0, 0
	const choicesMade = 3000
	for range choicesMade {
		tracker := NewTracker("vm", "a", true)
		for _, c := range candidates {
			others := 2
			if c.FailureDomain == "a" {
				others = 12
			}
			tracker.counts[Key(c.ID)] = counted{others: others, service: 20 * time.Millisecond}
		}
		for range 5 {
			tracker.Start(candidates[0].ID)
			tracker.End(candidates[0].ID, oldReport, time.Millisecond, Refused)
		}
		i, _ := tracker.Choose(candidates, oldReport, random.Float64)
		if candidates[i].FailureDomain != "a" {
			remote++
		} else if i == 0 {
			refusing++
		}
	}
	if share := float64(remote) / choicesMade; share < 0.2 || share > 0.6 {
		t.Errorf("%.2f of the requests leave the full domain", share)
	}
	if share := float64(refusing) / float64(choicesMade-remote); share < 0.25 {
		t.Errorf("one of three servers gets %.2f of the requests after it refused some", share)
	}
}
