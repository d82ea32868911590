package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filbertledge/internal/api"
)

// simulation runs the registries of several VMs in virtual time, over a network that delays and loses messages.
type simulation struct {
	now            time.Duration
	rng            *rand.Rand
	lossRate       float64
	vms            []api.VM
	registries     map[api.VMID]*Registry
	stopped        map[api.VMID]bool
	inTransit      []delivery
	sentBytes      map[api.VMID]int
	largestMessage int
}

// delivery is a message in transit and the time at which it arrives.
type delivery struct {
	at   time.Duration
	addr string
	data []byte
}

const (
	simulationStep = 10 * time.Millisecond
	stepsPerRound  = 10 // steps between two gossip rounds of a VM
	// datagramOverhead is the number of bytes that QUIC adds to a datagram, including its share of an acknowledgement.
	datagramOverhead = 60
)

func newSimulation(seed uint64, domains, perDomain int) *simulation {
	sizes := make([]int, domains)
	for d := range sizes {
		sizes[d] = perDomain
	}
	return newSimulationWithDomains(seed, sizes)
}

// newSimulationWithDomains returns a simulation with the given number of VMs in each failure domain.
func newSimulationWithDomains(seed uint64, sizes []int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), registries: map[api.VMID]*Registry{}, stopped: map[api.VMID]bool{}, sentBytes: map[api.VMID]int{},
	}
	for d, size := range sizes {
		for i := range size {
			id := fmt.Sprintf("vm-%d-%d", d, i)
			s.vms = append(s.vms, api.VM{ID: api.VMID(id), Domain: api.FailureDomain(fmt.Sprint("d", d)), Address: id, HTTPAddress: id})
		}
	}
	for i, vm := range s.vms {
		s.registries[vm.ID] = New(Options{
			VM: vm.ID, Domain: vm.Domain, Seed: seed + uint64(i),
			Now:  func() time.Duration { return s.now },
			VMs:  func() []api.VM { return s.vms },
			Send: func(addr, _ string, data []byte) { s.send(vm.ID, addr, data) },
		})
	}
	return s
}

func (s *simulation) send(from api.VMID, addr string, data []byte) {
	s.sentBytes[from] += len(data) + datagramOverhead
	s.largestMessage = max(s.largestMessage, len(data))
	if s.rng.Float64() < s.lossRate {
		return
	}
	delay := time.Millisecond + time.Duration(s.rng.IntN(20))*time.Millisecond
	s.inTransit = append(s.inTransit, delivery{s.now + delay, addr, data})
}

// run advances the virtual time by d, and calls onStep, if given, in each step.
func (s *simulation) run(t *testing.T, d time.Duration, onStep func()) {
	t.Helper()
	for end := s.now + d; s.now < end; s.now += simulationStep {
		s.deliver(t)
		for i, vm := range s.vms {
			if !s.stopped[vm.ID] && (s.now/simulationStep+time.Duration(i))%stepsPerRound == 0 {
				s.registries[vm.ID].Tick()
			}
		}
		if onStep != nil {
			onStep()
		}
	}
}

func (s *simulation) deliver(t *testing.T) {
	later := s.inTransit[:0:0]
	due := s.inTransit
	s.inTransit = nil
	for _, d := range due {
		if d.at > s.now {
			later = append(later, d)
			continue
		}
		if s.stopped[api.VMID(d.addr)] {
			continue
		}
		if err := s.registries[api.VMID(d.addr)].Receive(d.data); err != nil {
			t.Fatal(err)
		}
	}
	s.inTransit = append(s.inTransit, later...)
}

// backendServer is a backend server that announces itself once a second to a random live VM.
type backendServer struct {
	announcement     api.Announcement
	nextAnnouncement time.Duration
	stop             bool
	domainVMs        []api.VM // VMs of the own failure domain
}

func newBackendServer(i int, domain api.FailureDomain) *backendServer {
	return &backendServer{announcement: api.Announcement{
		ID: api.ServerID(fmt.Sprint("s", i)), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i%250), Domain: domain, Pool: "llm",
		Engine: true, Model: "tutor", Current: 7, Loaded: []api.WeightVersion{6, 7}, Capacity: 8, State: api.ServerServing,
	}}
}

// announce sends an announcement to a VM of any failure domain if one is due.
func (b *backendServer) announce(s *simulation) { b.announceTo(s, s.vms) }

// announceToOwnDomain sends an announcement to a VM of the own failure domain if one is due.
func (b *backendServer) announceToOwnDomain(s *simulation) {
	if b.domainVMs == nil {
		for _, vm := range s.vms {
			if vm.Domain == b.announcement.Domain {
				b.domainVMs = append(b.domainVMs, vm)
			}
		}
		b.nextAnnouncement = s.now + time.Duration(s.rng.IntN(1000))*time.Millisecond
	}
	b.announceTo(s, b.domainVMs)
}

func (b *backendServer) announceTo(s *simulation, vms []api.VM) {
	if b.stop || s.now < b.nextAnnouncement {
		return
	}
	b.nextAnnouncement = s.now + time.Second
	b.announcement.Sequence++
	b.announcement.Load = api.Load{Running: s.rng.IntN(8), TokensPerSecond: 100}
	for {
		if vm := vms[s.rng.IntN(len(vms))]; !s.stopped[vm.ID] {
			s.registries[vm.ID].Announce(b.announcement)
			return
		}
	}
}

// usableCount returns the number of live VMs at which a server may receive new work.
func (s *simulation) usableCount(id api.ServerID) int {
	n := 0
	for _, vm := range s.vms {
		if s.stopped[vm.ID] {
			continue
		}
		if server, ok := s.registries[vm.ID].Server(id); ok && server.Usable(s.now) {
			n++
		}
	}
	return n
}
