package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

const (
	// editBound is the time within which edits must be accepted again after the loss of one replica (docs/design.md,
	// section 4).
	editBound = 2 * time.Second
	// maxFaultTime is the time after the injection within which every fault is over, including those that start late.
	maxFaultTime = 5 * time.Second
	// recoveryTime is the time within which the cluster must recover once all faults are over.
	recoveryTime = 2 * time.Second
	// maxOccurrences limits how many repetitions of the same injection point get cells. Later ones add no coverage.
	maxOccurrences = 2
)

// matrixOptions configures the cells of the agreement core (package raft).
type matrixOptions struct {
	seed      uint64
	mutations raft.Mutations // protocol rules that the raft nodes break on purpose
	only      string         // name of the only protocol to run; empty for all
}

func init() {
	Register("agreement", func(seed uint64) ([]Cell, error) { return agreementCells(matrixOptions{seed: seed}) })
}

// agreementCells returns a cell for each fault at each injection point of each protocol, with equal clock rates.
// Faults whose outcome depends on the clocks also get a cell at each bound of the clock drift.
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

// cellsAt returns the cells of one injection point.
func cellsAt(p protocol, at tracePoint, o matrixOptions) []Cell {
	var cells []Cell
	for _, i := range append(injections(), pairs()...) {
		if !i.applies(at.point) || beyondTolerance(p, i, at.point) {
			continue
		}
		cells = append(cells, &agreementCell{protocol: p, tracePoint: at, injection: i, options: o, drift: driftNone})
		if dependsOnClocks(i.name) {
			cells = append(cells,
				&agreementCell{protocol: p, tracePoint: at, injection: i, options: o, drift: driftSlowLeader},
				&agreementCell{protocol: p, tracePoint: at, injection: i, options: o, drift: driftFastLeader})
		}
	}
	return cells
}

// beyondTolerance reports whether the design does not tolerate a fault at this point. This is the case if it
// destroys a second of three disks before the first is replaced, after which no quorum has the log, or if it stops
// two replicas while the protocol stops a third.
func beyondTolerance(p protocol, i injection, at sim.Point) bool {
	if i.name == "lost-disk+second-loss" && p.lostServer != "" {
		return true
	}
	// The leader that received the acknowledgements of a replica detects its older disk. The documented limit is a
	// replica on an older disk that votes before that leader contacts it, for example after the loss of the leader.
	if i.name == "older-disk" && (at.Server.Name == leaderName || p.lostServer == leaderName || p.name == "transfer") {
		return true
	}
	return p.name == "replacement" && at.Server.Name != p.addedServer && i.losesSyncedWrites
}

// dependsOnClocks reports whether the outcome of a fault depends on the rates of the clocks.
func dependsOnClocks(name string) bool {
	switch name {
	case "freeze", "cut-both", "cut-link":
		return true
	default:
		return false
	}
}

// drift sets the rate of the leader's clock and that of the other clocks, each within the assumed drift of 1%.
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

// tracePoint is an injection point in the run of a protocol without faults.
type tracePoint struct {
	point      sim.Point
	position   int
	occurrence int
}

// pointKey returns the part of a cell name that identifies the injection point, without its occurrence.
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

// tracePoints runs the protocol without a fault and returns its injection points.
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
		if seen[key]++; seen[key] <= maxOccurrences {
			points = append(points, tracePoint{at, number, seen[key]})
		}
		number++
	}
	p.start(r)
	if !r.RunUntil(operationTimeout, func() bool { return p.done(r) }) {
		return nil, errors.New("the protocol does not complete without a fault")
	}
	return points, r.Err()
}

// agreementCell injects a fault or a pair of faults at one injection point of a protocol.
type agreementCell struct {
	protocol   protocol
	tracePoint tracePoint
	injection  injection
	options    matrixOptions
	drift      drift
}

// Name returns a name of the form protocol/point/fault, followed by +drift if the clock rates differ.
func (c *agreementCell) Name() string {
	name := fmt.Sprintf("%s/%s-%d/%s", c.protocol.name, pointKey(c.tracePoint.point), c.tracePoint.occurrence, c.injection.name)
	if c.drift.name != "" {
		name += "+" + c.drift.name
	}
	return name
}

// Run executes the protocol up to the injection point and injects the fault. It checks safety throughout,
// acceptance of edits within editBound if a quorum is left, and full recovery at the end.
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
	r.Run(injected + maxFaultTime)
	if c.protocol.lostServer != "" {
		r.Server(c.protocol.lostServer).Restart()
	}
	r.Run(injected + maxFaultTime + recoveryTime)
	if err := r.Err(); err != nil {
		return err
	}
	return c.checkRecovery(r, client)
}

// inject runs the protocol up to the injection point and injects the fault. It returns a client that sends edits from
// then on, and the time of the injection.
func (c *agreementCell) inject(r *run) (*sim.Client, time.Duration, error) {
	var client *sim.Client
	injected := time.Duration(0)
	number := 0
	r.Hook = func(at sim.Point) {
		if number == c.tracePoint.position && client == nil {
			injected = r.Now()
			client = r.NewClientAfter("later ", c.clientDelay())
			r.readPeriodically(injected + maxFaultTime)
			c.injection.inject(r, at)
		}
		number++
	}
	c.protocol.start(r)
	r.RunUntil(operationTimeout, func() bool { return client != nil || r.Err() != nil })
	if r.Err() != nil {
		return nil, 0, r.Err()
	}
	if client == nil && c.drift != driftNone {
		// Different clock rates may change the order of events. A run that lacks the point continues without a fault.
		return r.NewClient("later "), r.Now(), nil
	}
	if client == nil {
		return nil, 0, errors.New("the injection point was not reached")
	}
	return client, injected, nil
}

// clientDelay returns how long the client waits after the injection before it sends edits.
func (c *agreementCell) clientDelay() time.Duration {
	if c.injection.noEdits {
		return longFaultTime
	}
	return 0
}

// readPeriodically starts a read on every running server, repeatedly until the given time.
func (r *run) readPeriodically(until time.Duration) {
	const interval = 100 * time.Millisecond
	if r.Now() >= until {
		return
	}
	for _, s := range r.Servers() {
		if s.Running() {
			s.Read()
		}
	}
	r.After(interval, func() { r.readPeriodically(until) })
}

// hasQuorum reports whether a quorum is left: the fault stops or isolates at most one server, and the protocol has
// not stopped another.
func (c *agreementCell) hasQuorum() bool {
	p := c.protocol
	if p.name == "replacement" && c.tracePoint.point.Server.Name == p.addedServer {
		return c.injection.keepsQuorum && c.injection.name != "cut-link"
	}
	return c.injection.keepsQuorum && p.lostServer == ""
}

// checkAcceptance checks that an edit is accepted within editBound of the fault if a quorum is left.
func (c *agreementCell) checkAcceptance(r *run, client *sim.Client, injected time.Duration) error {
	if !c.hasQuorum() {
		return nil
	}
	r.RunUntil(editBound, func() bool { return client.Accepted > 0 })
	if client.Accepted == 0 && r.Err() == nil {
		return fmt.Errorf("no edit was accepted within %v of the fault at %v", editBound, injected)
	}
	return r.Err()
}

// checkRecovery checks that edits are accepted and that all members apply them once all faults are over.
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
	if c.protocol.addedServer != "" && !r.Replaced("c", c.protocol.addedServer) {
		return errors.New("the replacement did not complete")
	}
	if err := r.checkOlderDiskRefused(); err != nil {
		return err
	}
	return r.Err()
}
