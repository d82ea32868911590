package faults

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// Availability is the result of crashing each VM and each failure domain at each step of a replacement. Unavailable
// counts the crashes after which no edit was accepted, although they left a majority of the three configured
// replicas.
type Availability struct {
	Method      string
	Crashes     int
	Unavailable int
}

// String returns the line that cmd/faults prints.
func (a Availability) String() string {
	return fmt.Sprintf("availability: replacement=%s crashes=%d unavailable=%d", a.Method, a.Crashes, a.Unavailable)
}

// availabilityLimit is how long a cell waits for an accepted edit after a crash. It is longer than editBound, so
// that a slow election does not count as a lost quorum.
const availabilityLimit = 2 * editBound

var errNoEdit = fmt.Errorf("no edit was accepted within %v of the crash", availabilityLimit)

func init() {
	Register("availability", func(seed uint64) ([]Cell, error) {
		return []Cell{NewCell("availability/replacement", func() error { return checkAvailability(seed) })}, nil
	})
}

// checkAvailability requires that no crash during a replacement with a joint configuration stops edits. Replacement
// with single changes must show unavailable crashes, which proves that the measurement detects a lost quorum.
func checkAvailability(seed uint64) error {
	list, err := MeasureAvailability(seed)
	if err != nil {
		return err
	}
	if oneAtATime, joint := list[0], list[1]; oneAtATime.Unavailable == 0 || joint.Unavailable > 0 {
		return fmt.Errorf("%v; %v", oneAtATime, joint)
	}
	return nil
}

// MeasureAvailability replaces replica c by d, in the same failure domain, in a group of three replicas in three
// failure domains. It does so with single changes and with a joint configuration, and permanently crashes one VM or
// one failure domain at each step.
func MeasureAvailability(seed uint64) ([]Availability, error) {
	oneAtATime, err := measure(seed, "one-at-a-time", oneAtATimeProtocol(), raft.Mutations{SingleStepChange: true})
	if err != nil {
		return nil, err
	}
	joint, err := measure(seed, "joint", protocolNamed("replacement-by-name"), raft.Mutations{})
	return []Availability{oneAtATime, joint}, err
}

func protocolNamed(name string) protocol {
	list := protocols()
	return list[slices.IndexFunc(list, func(p protocol) bool { return p.name == name })]
}

// oneAtATimeProtocol adds d to the voters and then removes c. Each of the two changes is safe without a joint
// configuration, because majorities of consecutive configurations overlap.
func oneAtATimeProtocol() protocol {
	p := protocolNamed("replacement-by-name")
	p.start = func(r *run) {
		r.Add("d", r.Server("c").FailureDomain)
		r.replaceOneAtATime()
	}
	return p
}

// replaceOneAtATime makes the leader perform the single changes until c is replaced by d.
func (r *run) replaceOneAtATime() {
	const retry = 10 * time.Millisecond
	if l := r.Leader(); l != nil && l.Idle() {
		r.nextSingleChange(l)
	}
	if !r.Replaced("c", "d") {
		r.After(retry, r.replaceOneAtATime)
	}
}

// nextSingleChange adds d as a learner, promotes it to a voter or removes c, whichever is next.
func (r *run) nextSingleChange(l *sim.Server) {
	c := l.Status().Configuration
	d := r.Server("d")
	_, learner := c.Member(d.ID)
	switch {
	case !learner:
		_ = l.AddLearner(raft.Learner{Member: d.Member})
	case !c.IsVoter(d.ID) && l.CaughtUp(d.ID):
		_ = l.ChangeVoters(append(slices.Clone(c.Voters), d.Member))
	case c.IsVoter(d.ID):
		_ = l.ChangeVoters(slices.DeleteFunc(slices.Clone(c.Voters), func(m raft.Member) bool { return m.Name == "c" }))
	}
}

// measure runs every crash for one method of replacement.
func measure(seed uint64, method string, p protocol, m raft.Mutations) (Availability, error) {
	o := matrixOptions{seed: seed, mutations: m}
	points, err := tracePoints(p, o)
	if err != nil {
		return Availability{}, err
	}
	var cells []Cell
	for _, at := range points {
		for name, affected := range crashTargets() {
			cells = append(cells, &crashCell{agreementCell{protocol: p, tracePoint: at, options: o, injection: injection{name: name}, drift: driftNone}, affected})
		}
	}
	a := Availability{Method: method, Crashes: len(cells)}
	for _, r := range runAll(cells) {
		switch {
		case errors.Is(r.err, errNoEdit):
			a.Unavailable++
		case r.err != nil:
			return a, r.err
		}
	}
	return a, nil
}

// crashTargets returns, by crash name, which servers each crash stops.
func crashTargets() map[string]func(*sim.Server) bool {
	list := map[string]func(*sim.Server) bool{}
	for _, name := range []string{"a", "b", "c", "d"} {
		list["vm-"+name] = func(s *sim.Server) bool { return s.Name == name }
	}
	for _, m := range sim.Members(3) {
		list[m.FailureDomain] = func(s *sim.Server) bool { return s.FailureDomain == m.FailureDomain }
	}
	return list
}

// crashCell permanently stops servers at an injection point and fails if no edit is accepted afterwards.
type crashCell struct {
	agreementCell
	affected func(*sim.Server) bool
}

// Run returns an error if the crash stops edits.
func (c *crashCell) Run() error {
	r, err := newRun(c.protocol, withMutations(sim.Options{Seed: c.options.seed}, c.options.mutations))
	if err != nil {
		return err
	}
	c.injection.inject = func(r *run, _ sim.Point) {
		for _, s := range r.Servers() {
			if c.affected(s) {
				s.Kill(false)
			}
		}
	}
	client, _, err := c.inject(r)
	if err != nil {
		return err
	}
	if !r.RunUntil(availabilityLimit, func() bool { return client.Accepted > 0 }) {
		return errNoEdit
	}
	return r.Err()
}
