package forward

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
)

const (
	// maxProbedPerService and maxProbed bound the servers that one check of this VM's links connects to. Servers of all
	// services are asked: those of one service may all have ended. firstProbed are asked before the others, since mostly
	// one server is in trouble and the links work.
	maxProbedPerService = 3
	maxProbed           = 6
	firstProbed         = 2
	// checkInterval is the time between two checks while this VM is cut off, and between the starts of two others.
	checkInterval = 400 * time.Millisecond
	// healedChecks is the number of checks in a row in which servers accept connections before requests go there directly
	// again, so that a link that comes and goes does not change the way of each request.
	healedChecks = 2
	// minChecked is the number of servers that a check must find unreachable to call this VM cut off.
	minChecked = 2
)

// Peer is another entry VM that sends requests for this one.
type Peer struct {
	VM      string
	Address string // of its link
}

// Peers sends requests through other entry VMs.
type Peers interface {
	// Choose returns the VM to which the next attempt should go. refusals is as in startAttempt, with names of VMs.
	Choose(refusals func(vm string) int) (Peer, bool)
	// Send sends a request through a VM, which sends it to servers other than those in excluded and lets one of them run
	// it. ran names the servers that may have run it. notSent is true if no server may have.
	Send(ctx context.Context, p Peer, r *Request, timeLeft time.Duration, excluded []string) (response *Response, ran []string, notSent bool, err error)
}

// DetourOptions configures a Detour.
type DetourOptions struct {
	Registry *fleet.Registry
	Prober   Prober
	Peers    Peers
	Events   *events.Recorder
	Clock    func() time.Duration
}

// Detour finds out whether this VM has lost its links to all servers, while other VMs may reach them. It is safe for
// concurrent use.
type Detour struct {
	opts DetourOptions

	mu        sync.Mutex
	cutOff    bool
	cutSince  time.Duration
	checking  bool
	checkedAt time.Duration
	healed    int
}

// NewDetour returns a Detour of a VM that is not cut off.
func NewDetour(o DetourOptions) *Detour { return &Detour{opts: o, checkedAt: -checkInterval} }

// CutOff reports whether this VM has lost its links to all servers.
func (d *Detour) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// Suspect starts a check of this VM's links, after a server could not be reached or did not answer.
func (d *Detour) Suspect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	if d.checking || d.cutOff || now-d.checkedAt < checkInterval {
		return
	}
	d.checking, d.checkedAt = true, now
	go d.check()
}

// check checks the links once, and again until they have healed if all are lost.
func (d *Detour) check() {
	for {
		found := d.probe()
		d.mu.Lock()
		again := d.record(found)
		d.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(checkInterval)
	}
}

// record records the result of a check and reports whether another one must follow. The caller holds the mutex.
func (d *Detour) record(found map[string]Liveness) bool {
	reached := 0
	for _, l := range found {
		if l == Accepting {
			reached++
		}
	}
	now := d.opts.Clock()
	switch {
	case d.cutOff && reached == 0:
		d.healed = 0
	case d.cutOff:
		d.healed++
	case reached == 0 && len(found) >= minChecked:
		d.cutOff, d.cutSince, d.healed = true, now, 0
		d.opts.Events.Record(events.Event{Name: events.VMCutOff, Detail: "requests go through other VMs: " + describeProbes(found)})
	}
	if d.cutOff && d.healed >= healedChecks {
		d.cutOff = false
		d.opts.Events.Record(events.Event{Name: events.VMReconnected, Detail: fmt.Sprintf("after %s: %s", (now - d.cutSince).Round(time.Millisecond), describeProbes(found))})
	}
	d.checking = d.cutOff
	return d.cutOff
}

func describeProbes(found map[string]Liveness) string {
	var parts []string
	for id, l := range found {
		parts = append(parts, id+" "+l.String())
	}
	return strings.Join(parts, ", ")
}

// probe connects to some servers of all services: to a few at the same time, and to the others if none of them accepts.
func (d *Detour) probe() map[string]Liveness {
	servers := sampleServers(d.opts.Registry.List("", d.opts.Clock()))
	first := min(firstProbed, len(servers))
	found := d.probeAll(servers[:first])
	for _, l := range found {
		if l == Accepting {
			return found
		}
	}
	maps.Copy(found, d.probeAll(servers[first:]))
	return found
}

func (d *Detour) probeAll(servers []fleet.Server) map[string]Liveness {
	type result struct {
		id       string
		liveness Liveness
	}
	results := make(chan result, len(servers))
	for _, s := range servers {
		go func() { results <- result{s.ID, Probe(d.opts.Prober, s)} }()
	}
	found := map[string]Liveness{}
	for range servers {
		r := <-results
		found[r.id] = r.liveness
	}
	return found
}

// sampleServers draws the servers to connect to, from each service in turn. Servers that leave may have ended and are left
// out.
func sampleServers(all []fleet.Server) []fleet.Server {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	byService := map[string][]fleet.Server{}
	for _, s := range all {
		if !s.Leaving && len(byService[s.Service]) < maxProbedPerService {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	var out []fleet.Server
	for i := range maxProbedPerService {
		for _, list := range byService {
			if i < len(list) && len(out) < maxProbed {
				out = append(out, list[i])
			}
		}
	}
	return out
}

// peerPrefix marks the name of a VM in the lists of a request's attempts.
const peerPrefix = "vm:"

// usesPeers reports whether the next attempt of the request goes through another VM.
func (f *forwardState) usesPeers() bool {
	d := f.forwarder.opts.Detour
	return d != nil && f.request.From == "" && len(f.request.Body) <= maxDetourBody && d.CutOff()
}

// maxDetourBody bounds the bodies that other VMs receive. They hold them in memory beside those of their own callers.
const maxDetourBody = 4 << 20

// startThroughPeer starts an attempt through another VM and reports whether there is one.
func (f *forwardState) startThroughPeer(ctx context.Context) bool {
	if !f.detoured {
		f.detoured, f.directRefusals = true, len(f.refused)
	}
	peers := f.forwarder.opts.Detour.opts.Peers
	peer, ok := peers.Choose(func(vm string) int { return f.refusalsOf(peerPrefix + vm) })
	if !ok {
		return false
	}
	excluded := append([]string(nil), f.mayHaveRun...)
	id := peerPrefix + peer.VM
	f.mayHaveRun = append(f.mayHaveRun, id)
	f.pending++
	f.forwarder.opts.Events.Record(events.Event{
		Name: events.RequestHandedOver, Request: f.request.ID, Detail: fmt.Sprintf("to %s, %s left, content %016x, may have run on %v", peer.VM, time.Until(f.deadline).Round(time.Millisecond), f.digest, excluded),
	})
	count := f.countHandover()
	go func() {
		response, ran, notSent, err := peers.Send(ctx, peer, f.request, time.Until(f.deadline), excluded)
		result := attemptResult{response: response, notSent: notSent, err: err, server: fleet.Server{ID: id}, ran: ran}
		count(result)
		f.results <- result
	}()
	return true
}

// noteReachability starts a check of this VM's links after an attempt that did not reach its server.
func (f *forwardState) noteReachability(result attemptResult, canceled bool) {
	if d := f.forwarder.opts.Detour; d != nil && !canceled && result.err != nil && (result.notSent || errs.Is(result.err, errs.TruncatedAnswer)) {
		d.Suspect()
	}
}
