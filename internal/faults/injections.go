package faults

import (
	"time"

	"filbertledge/internal/faults/sim"
)

const (
	quickRestart = 100 * time.Millisecond
	// awayTime is how long a cut, a freeze or a stopped process lasts. It is longer than an election.
	awayTime = 3 * time.Second
)

// injection is one fault, injected at a point of a protocol.
type injection struct {
	name string
	// applies selects the points at which the fault makes a difference.
	applies func(p sim.Point) bool
	inject  func(r *run, p sim.Point)
	// strict says that a quorum keeps working, so that edits must be accepted within editBound.
	strict bool
	// losesDisk says that the server forgets synced writes.
	losesDisk bool
	// idle says that no edits arrive during the fault, so that a server that is cut off does not fall behind.
	idle bool
}

func beforeSync(p sim.Point) bool { return p.Operation == sim.Sync && !p.After }

func beforeSend(p sim.Point) bool { return p.Operation == sim.Send && !p.After }

func before(p sim.Point) bool { return !p.After }

func afterSend(p sim.Point) bool { return p.Operation == sim.Send && p.After }

func always(sim.Point) bool { return true }

// injections returns the single faults.
func injections() []injection {
	return []injection{
		{name: "kill", applies: always, strict: true, inject: killAndRestart(false)},
		{name: "kill-write-survives", applies: beforeSync, strict: true, inject: killAndRestart(true)},
		{name: "torn-write", applies: beforeSync, strict: true, inject: killAndRestart(false)},
		{name: "failed-sync", applies: beforeSync, strict: true, inject: failSync},
		{name: "kill-long", applies: before, strict: true, inject: killLong},
		{name: "lost-disk", applies: always, strict: true, losesDisk: true, inject: loseDiskAt},
		{name: "older-disk", applies: before, losesDisk: true, inject: olderDisk},
		{name: "cut-outgoing", applies: before, strict: true, inject: cut(true, false)},
		{name: "cut-incoming", applies: before, strict: true, inject: cut(false, true)},
		{name: "cut-both", applies: before, strict: true, inject: cut(true, true)},
		{name: "cut-link", applies: beforeSend, strict: true, inject: cutLink},
		{name: "cut-link-idle", applies: beforeSend, idle: true, inject: cutLink},
		{name: "split-with-newcomer", applies: beforeSend, inject: splitWithNewcomer},
		{name: "freeze-short", applies: before, strict: true, inject: freeze(300 * time.Millisecond)},
		{name: "freeze", applies: before, strict: true, inject: freeze(awayTime)},
		{name: "delay", applies: beforeSend, strict: true, inject: delay},
		{name: "duplicate", applies: beforeSend, strict: true, inject: duplicate},
	}
}

// pairs returns pairs of faults.
func pairs() []injection {
	return []injection{
		{name: "kill+cut-receiver", applies: afterSend, inject: killAndCutReceiver},
		{name: "cut-incoming+kill-leader", applies: before, inject: cutThenKillLeader},
		{name: "lost-disk+second-loss", applies: beforeSync, losesDisk: true, inject: loseDiskThenAnother},
		{name: "freeze+kill-after-wake", applies: before, inject: freezeThenKill},
		{name: "delay+kill-leader", applies: beforeSend, inject: delayThenKillLeader},
	}
}

func killAndRestart(keepUnsynced bool) func(*run, sim.Point) {
	return func(r *run, p sim.Point) {
		p.Server.Kill(keepUnsynced)
		r.After(quickRestart, p.Server.Restart)
	}
}

func failSync(r *run, p sim.Point) {
	p.Server.FailNextSync = true
	r.After(quickRestart, p.Server.Restart)
}

func killLong(r *run, p sim.Point) {
	p.Server.Kill(false)
	r.After(awayTime, p.Server.Restart)
}

// loseDiskAt replaces the server's instance as package replica does for an empty data folder. The newcomer of a
// replacement keeps asking for the same place.
func loseDiskAt(r *run, p sim.Point) {
	s := p.Server
	s.Kill(false)
	r.After(quickRestart, func() {
		s.RestartEmpty()
		if s.Name == r.protocol.newcomer {
			r.Replace("c", s.Name)
			return
		}
		r.Replace(s.Name, s.Name)
	})
}

func olderDisk(r *run, p sim.Point) {
	s := p.Server
	if l := r.Leader(); l != nil && l != s && l.MatchIndex(s.ID) > s.CheckpointIndex() {
		r.older, r.witness = s, leadership{l, l.Status().Term}
	}
	s.Kill(false)
	r.After(quickRestart, s.RestartFromCheckpoint)
}

func cut(outgoing, incoming bool) func(*run, sim.Point) {
	return func(r *run, p sim.Point) {
		r.SetServerLinksCut(p.Server.Name, outgoing, incoming, true)
		r.After(awayTime, func() { r.SetServerLinksCut(p.Server.Name, outgoing, incoming, false) })
	}
}

// receiver returns the server that the message of a Send goes to.
func receiver(r *run, p sim.Point) *sim.Server {
	for _, s := range r.Servers() {
		if s.ID == p.Message.To {
			return s
		}
	}
	return nil
}

func cutLink(r *run, p sim.Point) {
	to := receiver(r, p)
	if to == nil {
		return
	}
	set := func(cut bool) {
		r.SetLinkCut(p.Server.Name, to.Name, cut)
		r.SetLinkCut(to.Name, p.Server.Name, cut)
	}
	set(true)
	r.After(awayTime, func() { set(false) })
}

// splitWithNewcomer cuts the sender and the server that is being added off from the others.
func splitWithNewcomer(r *run, p sim.Point) {
	set := func(cut bool) {
		for _, s := range r.Servers() {
			if s == p.Server || s.Name == r.protocol.newcomer {
				continue
			}
			for _, side := range []string{p.Server.Name, r.protocol.newcomer} {
				r.SetLinkCut(side, s.Name, cut)
				r.SetLinkCut(s.Name, side, cut)
			}
		}
	}
	set(true)
	r.After(awayTime, func() { set(false) })
}

func freeze(d time.Duration) func(*run, sim.Point) {
	return func(_ *run, p sim.Point) { p.Server.Freeze(d) }
}

// delay holds back the message for longer than an election and sends a copy of it then.
func delay(r *run, p sim.Point) {
	r.DropNextMessage(p.Server)
	r.DeliverAfter(time.Second, p.Server, p.Message)
}

func duplicate(r *run, p sim.Point) {
	r.DeliverAfter(20*time.Millisecond, p.Server, p.Message)
	r.DeliverAfter(800*time.Millisecond, p.Server, p.Message)
}

// killAndCutReceiver restarts the sender at once and cuts off the receiver just after it got the message.
func killAndCutReceiver(r *run, p sim.Point) {
	// The sender comes back after the others, so that they are the first to stand for election again.
	const lateRestart = 4 * quickRestart
	to := receiver(r, p)
	p.Server.Kill(false)
	r.After(lateRestart, p.Server.Restart)
	for _, s := range r.Servers() {
		if s.Down() && s != p.Server {
			r.After(quickRestart, s.Restart)
		}
	}
	if to == nil {
		return
	}
	r.After(2*time.Millisecond, func() { r.SetServerLinksCut(to.Name, true, true, true) })
	r.After(awayTime, func() { r.SetServerLinksCut(to.Name, true, true, false) })
}

// cutThenKillLeader lets a server fall behind, then leaves it to choose a new leader with the others.
func cutThenKillLeader(r *run, p sim.Point) {
	const behind = 300 * time.Millisecond
	r.SetServerLinksCut(p.Server.Name, false, true, true)
	r.After(behind, func() {
		r.SetServerLinksCut(p.Server.Name, false, true, false)
		killCurrentLeader(r)
	})
}

func killCurrentLeader(r *run) {
	if l := r.Leader(); l != nil {
		l.Kill(false)
		r.After(awayTime, l.Restart)
	}
}

// loseDiskThenAnother takes a second server away as soon as the first is replaced.
func loseDiskThenAnother(r *run, p sim.Point) {
	s := p.Server
	lost := s.ID
	loseDiskAt(r, p)
	var watch func()
	watch = func() {
		if s.ID == lost || !r.Replaced(s.Name, s.Name) {
			r.After(10*time.Millisecond, watch)
			return
		}
		for _, other := range r.Servers() {
			if other != s && !other.Down() {
				other.Kill(false)
				r.After(awayTime, other.Restart)
				return
			}
		}
	}
	watch()
}

func freezeThenKill(r *run, p sim.Point) {
	const frozen = 700 * time.Millisecond
	p.Server.Freeze(frozen)
	r.After(frozen+time.Millisecond, func() { p.Server.Kill(false) })
	r.After(awayTime, p.Server.Restart)
}

func delayThenKillLeader(r *run, p sim.Point) {
	delay(r, p)
	r.After(100*time.Millisecond, func() { killCurrentLeader(r) })
}
