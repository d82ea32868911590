package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

const (
	// editBound is the time in which edits are accepted again after the loss of one replica (docs/design.md,
	// section 4).
	editBound = 2 * time.Second
	// healTime covers every injected fault, including those that begin late.
	healTime = 5 * time.Second
	// recoveryTime is the time after which everything must work again, once all faults are over.
	recoveryTime = 2 * time.Second
	// occurrences bounds the cells per kind of point: later repetitions of the same point add nothing.
	occurrences = 2
)

// matrixOptions configure the cells of the agreement core.
type matrixOptions struct {
	seed      uint64
	mutations raft.Mutations
	only      string // name of the only protocol, or empty for all
}

func init() {
	Register("agreement", func(seed uint64) ([]Cell, error) { return agreementCells(matrixOptions{seed: seed}) })
}

// agreementCells returns a cell for each fault at each point of each protocol, with clocks at the same rate and,
// for the faults that depend on time, at both bounds of the drift.
func agreementCells(o matrixOptions) ([]Cell, error) {
	var cells []Cell
	for _, p := range protocols() {
		if o.only != "" && o.only != p.name {
			continue
		}
		points, err := tracePoints(p, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		for _, at := range points {
			cells = append(cells, cellsAt(p, at, o)...)
		}
	}
	return append(cells, scriptedCells(o)...), nil
}

func cellsAt(p protocol, at tracePoint, o matrixOptions) []Cell {
	var cells []Cell
	for _, i := range append(injections(), pairs()...) {
		if !i.applies(at.point) || beyondTolerance(p, i, at.point) {
			continue
		}
		cells = append(cells, &agreementCell{protocol: p, at: at, injection: i, options: o, drift: driftNone})
		if timed(i.name) {
			cells = append(cells,
				&agreementCell{protocol: p, at: at, injection: i, options: o, drift: driftSlowLeader},
				&agreementCell{protocol: p, at: at, injection: i, options: o, drift: driftFastLeader})
		}
	}
	return cells
}

// beyondTolerance reports whether a fault takes a second disk of three away before the first is replaced, after
// which no quorum remembers the log, or takes two replicas away while the protocol takes another. The design
// does not tolerate that.
func beyondTolerance(p protocol, i injection, at sim.Point) bool {
	if i.name == "lost-disk+second-loss" && p.loses != "" {
		return true
	}
	// An older disk is found by the leader that remembers its acknowledgements. The stated limit is a replica on
	// an older disk that votes before such a leader contacts it, as after the loss of the leader itself.
	if i.name == "older-disk" && (at.Server.Name == leaderName || p.loses == leaderName || p.name == "transfer") {
		return true
	}
	return p.name == "replacement" && at.Server.Name != p.newcomer && i.losesDisk
}

// timed reports whether the outcome of a fault depends on the clocks.
func timed(name string) bool {
	switch name {
	case "freeze", "cut-both", "cut-link":
		return true
	default:
		return false
	}
}

// drift sets the clocks' rates to a bound of the assumed drift of 1%.
type drift struct {
	name          string
	leader, other float64
}

var (
	driftNone       = drift{"", 1, 1}
	driftSlowLeader = drift{"slow-leader", 0.99, 1.01}
	driftFastLeader = drift{"fast-leader", 1.01, 0.99}
)

func (d drift) rates() map[string]float64 {
	return map[string]float64{leaderName: d.leader, "b": d.other, "c": d.other, "d": d.other, "e": d.other}
}

// tracePoint is a point of a protocol and its position in the run without faults.
type tracePoint struct {
	point      sim.Point
	number     int
	occurrence int
}

func pointKey(p sim.Point) string {
	side := "before"
	if p.After {
		side = "after"
	}
	key := fmt.Sprintf("%s-%s-%s-%s", p.Server.Name, side, p.Operation, p.Detail)
	if p.Operation != sim.Send {
		return key
	}
	for _, s := range []string{"a", "b", "c", "d", "e"} {
		if p.Message.To == uint64(s[0]-'a'+1) {
			return key + "-to-" + s
		}
	}
	return key + "-to-new"
}

// tracePoints runs the protocol without a fault and returns its points.
func tracePoints(p protocol, o matrixOptions) ([]tracePoint, error) {
	r, err := newRun(p, withMutations(sim.Options{Seed: o.seed}, o.mutations))
	if err != nil {
		return nil, err
	}
	var points []tracePoint
	seen := map[string]int{}
	number := 0
	r.Hook = func(at sim.Point) {
		key := pointKey(at)
		if seen[key]++; seen[key] <= occurrences {
			points = append(points, tracePoint{at, number, seen[key]})
		}
		number++
	}
	p.start(r)
	if !r.RunUntil(opTimeout, func() bool { return p.done(r) }) {
		return nil, errors.New("the protocol does not complete without a fault")
	}
	return points, r.Err()
}

// agreementCell injects one fault, or a pair, at one point of one protocol.
type agreementCell struct {
	protocol  protocol
	at        tracePoint
	injection injection
	options   matrixOptions
	drift     drift
}

// Name has the form protocol/point/fault.
func (c *agreementCell) Name() string {
	name := fmt.Sprintf("%s/%s-%d/%s", c.protocol.name, pointKey(c.at.point), c.at.occurrence, c.injection.name)
	if c.drift.name != "" {
		name += "+" + c.drift.name
	}
	return name
}

// Run executes the protocol up to the point, injects the fault and checks safety throughout, acceptance of edits
// within the bound if a quorum is left, and full recovery at the end.
func (c *agreementCell) Run() error {
	o := withMutations(sim.Options{Seed: c.options.seed, ClockRates: c.drift.rates()}, c.options.mutations)
	r, err := newRun(c.protocol, o)
	if err != nil {
		return err
	}
	client, injected, err := c.inject(r)
	if err != nil {
		return err
	}
	if err := c.checkAcceptance(r, client, injected); err != nil {
		return err
	}
	r.Run(injected + healTime)
	if c.protocol.loses != "" {
		r.Server(c.protocol.loses).Restart()
	}
	r.Run(injected + healTime + recoveryTime)
	if err := r.Err(); err != nil {
		return err
	}
	return c.checkRecovery(r, client)
}

// inject runs the protocol until the point is reached and injects the fault there.
func (c *agreementCell) inject(r *run) (*sim.Client, time.Duration, error) {
	var client *sim.Client
	injected := time.Duration(0)
	number := 0
	r.Hook = func(at sim.Point) {
		if number == c.at.number && client == nil {
			injected = r.Now()
			client = r.NewClientAfter("later ", c.idleTime())
			r.readRegularly(injected + healTime)
			c.injection.inject(r, at)
		}
		number++
	}
	c.protocol.start(r)
	r.RunUntil(opTimeout, func() bool { return client != nil || r.Err() != nil })
	if r.Err() != nil {
		return nil, 0, r.Err()
	}
	if client == nil && c.drift != driftNone {
		// Other clock rates may change the order of events; a run without the point has nothing to inject.
		return r.NewClient("later "), r.Now(), nil
	}
	if client == nil {
		return nil, 0, errors.New("the point was not reached")
	}
	return client, injected, nil
}

func (c *agreementCell) idleTime() time.Duration {
	if c.injection.idle {
		return awayTime
	}
	return 0
}

// readRegularly starts reads on all servers.
func (r *run) readRegularly(until time.Duration) {
	const interval = 100 * time.Millisecond
	if r.Now() >= until {
		return
	}
	for _, s := range r.Servers() {
		if s.Running() {
			s.Read()
		}
	}
	r.After(interval, func() { r.readRegularly(until) })
}

// strict reports whether a quorum is left: the fault takes away at most one server, and the protocol has not
// taken away another.
func (c *agreementCell) strict() bool {
	p := c.protocol
	if p.name == "replacement" && c.at.point.Server.Name == p.newcomer {
		return c.injection.strict && c.injection.name != "cut-link"
	}
	return c.injection.strict && p.loses == ""
}

func (c *agreementCell) checkAcceptance(r *run, client *sim.Client, injected time.Duration) error {
	if !c.strict() {
		return nil
	}
	r.RunUntil(editBound, func() bool { return client.Accepted > 0 })
	if client.Accepted == 0 && r.Err() == nil {
		return fmt.Errorf("no edit was accepted within %v of the fault at %v", editBound, injected)
	}
	return r.Err()
}

// checkRecovery checks that edits are accepted and that all members agree once all faults are over.
func (c *agreementCell) checkRecovery(r *run, client *sim.Client) error {
	before := client.Accepted
	target := r.MaxApplied()
	r.Run(r.Now() + time.Second)
	if client.Accepted == before {
		return errors.New("no edit was accepted after recovery")
	}
	for _, s := range r.Servers() {
		if s.Status().Refused || !r.isMember(s) {
			continue
		}
		if err := r.CheckConverged(target, s.Name); err != nil {
			return fmt.Errorf("after recovery: %w", err)
		}
	}
	if c.protocol.newcomer != "" && !r.Replaced("c", c.protocol.newcomer) {
		return errors.New("the replacement did not complete")
	}
	if err := r.checkOlder(); err != nil {
		return err
	}
	return r.Err()
}
