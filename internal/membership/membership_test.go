package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"filbertledge/internal/api"
)

// TestMain fixes the seed of property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against new work for a leaving server: it told only one VM that it was leaving, and that VM died before it
// told the others. The renewals that other VMs hold must expire (property P7 of the design).
func TestLeavingServerUnusableAfterItsOnlyReceiverDies(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, 3)
		s.lossRate = 0.1
		server := newBackendServer(1, "d0")
		s.run(t, 5*time.Second, func() { server.announce(s) })
		if got := s.usableCount("s1"); got != len(s.vms) {
			t.Fatalf("seed %d: server is usable at %d of %d VMs before it leaves", seed, got, len(s.vms))
		}
		server.announcement.Sequence++
		server.announcement.State = api.ServerLeaving
		s.registries[s.vms[0].ID].Announce(server.announcement)
		s.stopped[s.vms[0].ID] = true
		s.run(t, 3*time.Second, nil)
		if got := s.usableCount("s1"); got != 0 {
			t.Fatalf("seed %d: server is usable at %d VMs 3 s after it announced that it was leaving", seed, got)
		}
	}
}

// Guards against usable servers that are missing from VMs because gossip messages with their renewals were lost.
func TestServersStayUsableUnderMessageLoss(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, 4, 2)
		s.lossRate = 0.2
		servers := make([]*backendServer, 12)
		for i := range servers {
			servers[i] = newBackendServer(i, s.vms[i%len(s.vms)].Domain)
		}
		checks, missing := 0, 0
		s.run(t, 20*time.Second, func() {
			for _, b := range servers {
				b.announce(s)
			}
			if s.now < 4*time.Second || s.now%(100*time.Millisecond) != 0 {
				return
			}
			for _, b := range servers {
				checks += len(s.vms)
				missing += len(s.vms) - s.usableCount(b.announcement.ID)
			}
		})
		if missing*100 > checks*2 {
			t.Fatalf("seed %d: servers were missing in %d of %d checks, want at most 2%%", seed, missing, checks)
		}
	}
}

// Guards against VMs that notice that a server is leaving only when its last renewal expires, because the message about
// it was lost and not repeated.
func TestLeavingReachesAllVMsUnderMessageLoss(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, 3)
		s.lossRate = 0.5
		server := newBackendServer(1, "d0")
		s.run(t, 6*time.Second, func() { server.announce(s) })
		server.announcement.State = api.ServerLeaving
		s.run(t, 2*time.Second, func() { server.announce(s) })
		if got := s.usableCount("s1"); got != 0 {
			t.Fatalf("seed %d: leaving server is usable at %d VMs", seed, got)
		}
	}
}

// Guards against a delayed message that makes a leaving, replaced or expired server usable again.
func TestMergeIgnoresOutdatedAnnouncements(t *testing.T) {
	now := time.Duration(0)
	r := New(Options{VM: "vm", Now: func() time.Duration { return now }})
	a := newBackendServer(1, "d0").announcement
	announce := func(incarnation, sequence uint64, state api.ServerState) {
		a.Incarnation, a.Sequence, a.State = incarnation, sequence, state
		r.Announce(a)
	}
	check := func(want bool) {
		t.Helper()
		s, ok := r.Server("s1")
		if got := ok && s.Usable(now); got != want {
			t.Fatalf("usable %v, want %v", got, want)
		}
	}
	announce(2, 5, api.ServerServing)
	check(true)
	announce(2, 4, api.ServerLeaving) // final, even if it arrives after a later announcement
	check(false)
	announce(2, 9, api.ServerServing)
	check(false)
	announce(1, 99, api.ServerServing)
	check(false)
	announce(3, 1, api.ServerServing)
	check(true)
	r.SuspendServer("s1")
	check(false)
	announce(3, 2, api.ServerServing)
	check(true)
	now += UsableFor
	check(false)
	now += ExpireAfter
	r.Tick()
	if len(r.Servers("llm")) != 0 {
		t.Fatal("server is listed 10 s after its last renewal")
	}
	announce(3, 2, api.ServerServing)
	check(false)
	announce(3, 3, api.ServerServing)
	check(true)
}

// Guards against merges whose result depends on the order in which announcements arrive: VMs would disagree about a
// server.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) api.Announcement {
			a := newBackendServer(1, "d0").announcement
			a.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			a.Sequence = rapid.Uint64Range(1, 4).Draw(t, "sequence")
			if rapid.Bool().Draw(t, "leaving") {
				a.State = api.ServerLeaving
			}
			return a
		}), 1, 8).Draw(t, "announcements")
		order := rapid.Permutation(list).Draw(t, "order")
		if a, b := usableAfter(list), usableAfter(order); a != b {
			t.Fatalf("usable %v in one order and %v in another", a, b)
		}
	})
}

func usableAfter(list []api.Announcement) bool {
	r := New(Options{VM: "vm", Now: func() time.Duration { return 0 }})
	for _, a := range list {
		r.Announce(a)
	}
	s, _ := r.Server("s1")
	return s.Usable(0)
}

// Guards against counts of other VMs' requests that are wrong or remain after the VM died, and against claims for a
// suspect request that do not reach other VMs, which would use the server at the same time.
func TestInFlightCountsAndClaimsReachOtherVMs(t *testing.T) {
	s := newSimulation(3, 2, 2)
	server := newBackendServer(1, "d0")
	announce := func() { server.announce(s) }
	s.run(t, 2*time.Second, announce)
	serverAt := func(i int) *Server { b, _ := s.registries[s.vms[i].ID].Server("s1"); return b }
	serverAt(0).AddInFlight(3)
	serverAt(3).AddInFlight(2)
	s.run(t, 2*time.Second, announce)
	if n, vms := serverAt(1).RemoteInFlight(); n != 5 || vms != 2 {
		t.Fatalf("%d requests in flight from %d other VMs, want 5 from 2", n, vms)
	}
	serverAt(0).SetExclusive(true)
	s.run(t, time.Second, announce)
	if !serverAt(3).Exclusive() {
		t.Fatal("claim did not reach the other failure domain")
	}
	serverAt(0).SetExclusive(false)
	s.stopped[s.vms[3].ID] = true
	s.run(t, 5*time.Second, announce)
	if n, vms := serverAt(1).RemoteInFlight(); n != 3 || vms != 1 || serverAt(1).Exclusive() {
		t.Fatalf("%d requests in flight from %d other VMs, want 3 from 1", n, vms)
	}
}

// Guards against suspected requests that other VMs do not learn of, that stay suspected after they finished, or that
// are kept forever.
func TestSuspectsAreSharedClearedAndExpired(t *testing.T) {
	s := newSimulation(5, 3, 2)
	first, last := s.registries[s.vms[0].ID], s.registries[s.vms[5].ID]
	first.MarkSuspects("s1", []uint64{1, 2})
	first.MarkSuspects("s1", []uint64{1})
	s.run(t, time.Second, nil)
	last.MarkSuspects("s2", []uint64{1})
	last.ClearSuspect(2)
	s.run(t, time.Second, nil)
	for _, r := range s.registries {
		if r.CrashCount(1) != 2 || r.CrashCount(2) != 0 {
			t.Fatalf("crashes %d and %d, want 2 and 0", r.CrashCount(1), r.CrashCount(2))
		}
	}
	s.now += SuspicionDuration
	first.Tick()
	if first.CrashCount(1) != 0 {
		t.Fatal("suspicion did not expire")
	}
}

// Guards against messages that grow with the number of servers in the deployment, and against VMs that know too few
// servers because messages are bounded.
func TestMessageSizeIsBounded(t *testing.T) {
	s := newSimulation(1, 3, 2)
	servers := make([]*backendServer, 500)
	for i := range servers {
		servers[i] = newBackendServer(i, "d0")
	}
	s.run(t, 6*time.Second, func() {
		for _, b := range servers {
			b.announce(s)
		}
	})
	if s.largestMessage > 16<<10 {
		t.Fatalf("a message has %d bytes, want at most 16 KiB", s.largestMessage)
	}
	// Other failure domains know at least the sample.
	for _, vm := range s.vms {
		want := totalSampleSize / 2
		if vm.Domain == "d0" {
			want = len(servers)
		}
		if got := len(s.registries[vm.ID].Servers("llm")); got < want {
			t.Fatalf("%s knows %d servers, want %d", vm.ID, got, want)
		}
	}
}

// Guards against gossip traffic that grows with the servers of other failure domains. At the size
// expected in two years, 400 VMs and 2,000 servers, a VM may send and receive at most 14 kB a second for control.
func TestGossipTrafficAtTargetSize(t *testing.T) {
	const domains, perDomain, servers, seconds = 15, 27, 133, 5
	// One failure domain has all its VMs; one VM stands for all those of each other one.
	sizes := make([]int, domains)
	for d := range sizes {
		sizes[d] = 1
	}
	sizes[0] = perDomain
	s := newSimulationWithDomains(9, sizes)
	var list []*backendServer
	for d := range domains {
		for i := range servers {
			list = append(list, newBackendServer(d*servers+i, api.FailureDomain(fmt.Sprint("d", d))))
		}
	}
	announce := func() {
		for _, b := range list {
			b.announceToOwnDomain(s)
		}
	}
	s.run(t, 8*time.Second, announce)
	clear(s.sentBytes)
	s.run(t, seconds*time.Second, announce)
	total := 0
	for _, vm := range s.vms[:perDomain] {
		total += s.sentBytes[vm.ID]
		n := 0
		for _, b := range s.registries[vm.ID].Servers("llm") {
			if b.Usable(s.now) {
				n++
			}
		}
		if want := servers + (domains-1)*minSamplePerDomain*9/10; n < want {
			t.Errorf("%s can use %d servers, want at least %d", vm.ID, n, want)
		}
	}
	// What a failure domain sends to others is as much as what it receives from them.
	if perVM := 2 * total / perDomain / seconds; perVM > 14_000 {
		t.Errorf("a VM sends and receives %d bytes a second, want at most 14000", perVM)
	}
}

// Guards against a panic on malformed messages.
func FuzzReceive(f *testing.F) {
	data, err := cbor.Marshal(message{From: "x", Renewals: []renewal{{Static: 1}}, WantedDigests: []uint64{2}, Hop: hopRelay})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := New(Options{VM: "vm", Now: func() time.Duration { return time.Second }})
		_ = r.Receive(data)
	})
}

func BenchmarkUsable(b *testing.B) {
	r := New(Options{VM: "vm", Now: func() time.Duration { return 0 }})
	for i := range 2000 {
		a := newBackendServer(i, "d0").announcement
		a.Sequence = 1
		r.Announce(a)
	}
	b.ReportAllocs()
	for b.Loop() {
		list := r.Servers("llm")
		if !list[len(list)/2].Usable(0) {
			b.Fatal("not usable")
		}
	}
}

// BenchmarkGossipBytes reports the bytes that a VM sends per second of virtual time.
func BenchmarkGossipBytes(b *testing.B) {
	for name, size := range map[string]struct{ domains, vms, servers int }{"8VMs-12servers": {4, 2, 12}, "54VMs-266servers": {2, 27, 266}} {
		b.Run(name, func(b *testing.B) {
			s := newSimulation(1, size.domains, size.vms)
			servers := make([]*backendServer, size.servers)
			for i := range servers {
				servers[i] = newBackendServer(i, s.vms[i*len(s.vms)/len(servers)].Domain)
			}
			announce := func() {
				for _, server := range servers {
					server.announce(s)
				}
			}
			var t testing.T
			s.run(&t, 3*time.Second, announce)
			clear(s.sentBytes)
			seconds := 0
			for b.Loop() {
				s.run(&t, time.Second, announce)
				seconds++
			}
			total := 0
			for _, n := range s.sentBytes {
				total += n
			}
			b.ReportMetric(float64(total)/float64(len(s.vms)*seconds), "bytes/vm-s")
		})
	}
}
