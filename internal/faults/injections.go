package faults

import (
	"time"

	"filbertledge/internal/faults/sim"
)

const (
	restartDelay = 100 * time.Millisecond
	// longFaultTime is the duration of a cut, a long freeze or a long stop of a process. It is longer than an election.
	longFaultTime = 3 * time.Second
)

// injection is a fault or a pair of faults that can be injected at a point of a protocol.
type injection struct {
	name string
	// applies selects the points at which the fault makes a difference.
	applies func(p sim.Point) bool
	inject  func(r *run, p sim.Point)
	// keepsQuorum is set if a quorum keeps working during the fault, so that edits must be accepted within editBound.
	keepsQuorum bool
	// losesSyncedWrites is set if the server loses writes that it had synced.
	losesSyncedWrites bool
	// noEdits is set if no edits are sent during the fault, so that a server that is cut off does not fall behind.
	noEdits bool
}

func beforeSync(p sim.Point) bool { return p.Operation == sim.Sync && !p.After }

func beforeSend(p sim.Point) bool { return p.Operation == sim.Send && !p.After }

func before(p sim.Point) bool { return !p.After }

func afterSend(p sim.Point) bool { return p.Operation == sim.Send && p.After }

func always(sim.Point) bool { return true }

// injections returns the single faults.
func injections() []injection {
	return []injection{
		{name: "kill", applies: always, keepsQuorum: true, inject: killAndRestart(false)},
		{name: "kill-write-survives", applies: beforeSync, keepsQuorum: true, inject: killAndRestart(true)},
		{name: "torn-write", applies: beforeSync, keepsQuorum: true, inject: killAndRestart(false)},
		{name: "failed-sync", applies: beforeSync, keepsQuorum: true, inject: failSync},
		{name: "kill-long", applies: before, keepsQuorum: true, inject: killLong},
		{name: "lost-disk", applies: always, keepsQuorum: true, losesSyncedWrites: true, inject: loseDisk},
		{name: "older-disk", applies: before, losesSyncedWrites: true, inject: olderDisk},
		{name: "cut-outgoing", applies: before, keepsQuorum: true, inject: cut(true, false)},
		{name: "cut-incoming", applies: before, keepsQuorum: true, inject: cut(false, true)},
		{name: "cut-both", applies: before, keepsQuorum: true, inject: cut(true, true)},
		{name: "cut-link", applies: beforeSend, keepsQuorum: true, inject: cutLink},
		{name: "cut-link-idle", applies: beforeSend, noEdits: true, inject: cutLink},
		{name: "split-with-newcomer", applies: beforeSend, inject: splitWithAddedServer},
		{name: "freeze-short", applies: before, keepsQuorum: true, inject: freeze(300 * time.Millisecond)},
		{name: "freeze", applies: before, keepsQuorum: true, inject: freeze(longFaultTime)},
		{name: "delay", applies: beforeSend, keepsQuorum: true, inject: delay},
		{name: "duplicate", applies: beforeSend, keepsQuorum: true, inject: duplicate},
	}
}

// pairs returns pairs of faults.
func pairs() []injection {
	return []injection{
		{name: "kill+cut-receiver", applies: afterSend, inject: killAndCutReceiver},
		{name: "cut-incoming+kill-leader", applies: before, inject: cutThenKillLeader},
		{name: "lost-disk+second-loss", applies: beforeSync, losesSyncedWrites: true, inject: loseDiskThenAnother},
		{name: "freeze+kill-after-wake", applies: before, inject: freezeThenKill},
		{name: "delay+kill-leader", applies: beforeSend, inject: delayThenKillLeader},
	}
}

func killAndRestart(keepUnsynced bool) func(*run, sim.Point) {
	return func(r *run, p sim.Point) {
		p.Server.Kill(keepUnsynced)
		r.After(restartDelay, p.Server.Restart)
	}
}

func failSync(r *run, p sim.Point) {
	p.Server.FailNextSync = true
	r.After(restartDelay, p.Server.Restart)
}

func killLong(r *run, p sim.Point) {
	p.Server.Kill(false)
	r.After(longFaultTime, p.Server.Restart)
}

// loseDisk restarts the server on an empty disk as a new instance and replaces the old instance, as package replica
// does for an empty data folder. The added server of a replacement still replaces voter c.
func loseDisk(r *run, p sim.Point) {
	s := p.Server
	s.Kill(false)
	r.After(restartDelay, func() {
		s.RestartEmpty()
		if s.Name == r.protocol.addedServer {
			r.Replace("c", s.Name)
			return
		}
		r.Replace(s.Name, s.Name)
	})
}

// olderDisk restarts the server from its checkpoint. It records the leader that has acknowledgements from after the
// checkpoint, because that leader must refuse the server.
func olderDisk(r *run, p sim.Point) {
	s := p.Server
	if l := r.Leader(); l != nil && l != s && l.MatchIndex(s.ID) > s.CheckpointIndex() {
		r.olderDiskServer, r.witnessLeader = s, leadership{l, l.Status().Term}
	}
	s.Kill(false)
	r.After(restartDelay, s.RestartFromCheckpoint)
}

func cut(outgoing, incoming bool) func(*run, sim.Point) {
	return func(r *run, p sim.Point) {
		r.SetServerLinksCut(p.Server.Name, outgoing, incoming, true)
		r.After(longFaultTime, func() { r.SetServerLinksCut(p.Server.Name, outgoing, incoming, false) })
	}
}

// receiver returns the server that receives the message of a Send, or nil if no server has that instance number.
func receiver(r *run, p sim.Point) *sim.Server {
	for _, s := range r.Servers() {
		if s.ID == p.Message.To {
			return s
		}
	}
	return nil
}

// cutLink cuts the link between the sender and the receiver of a message in both directions.
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
	r.After(longFaultTime, func() { set(false) })
}

// splitWithAddedServer partitions the network: the sender and the added server on one side, all others on the other.
func splitWithAddedServer(r *run, p sim.Point) {
	set := func(cut bool) {
		for _, s := range r.Servers() {
			if s == p.Server || s.Name == r.protocol.addedServer {
				continue
			}
			for _, side := range []string{p.Server.Name, r.protocol.addedServer} {
				r.SetLinkCut(side, s.Name, cut)
				r.SetLinkCut(s.Name, side, cut)
			}
		}
	}
	set(true)
	r.After(longFaultTime, func() { set(false) })
}

func freeze(d time.Duration) func(*run, sim.Point) {
	return func(_ *run, p sim.Point) { p.Server.Freeze(d) }
}

// delay drops the message and delivers a copy of it later, after more than the time of an election.
func delay(r *run, p sim.Point) {
	r.DropNextMessage(p.Server)
	r.DeliverAfter(time.Second, p.Server, p.Message)
}

// duplicate delivers two more copies of the message, the second after more than the time of an election.
func duplicate(r *run, p sim.Point) {
	r.DeliverAfter(20*time.Millisecond, p.Server, p.Message)
	r.DeliverAfter(800*time.Millisecond, p.Server, p.Message)
}

// killAndCutReceiver kills and restarts the sender, and cuts off the receiver just after it has received the message.
// Servers that were already down are restarted too.
func killAndCutReceiver(r *run, p sim.Point) {
	// The sender restarts after the other servers, so that they start an election first.
	const lateRestart = 4 * restartDelay
	to := receiver(r, p)
	p.Server.Kill(false)
	r.After(lateRestart, p.Server.Restart)
	for _, s := range r.Servers() {
		if s.Down() && s != p.Server {
			r.After(restartDelay, s.Restart)
		}
	}
	if to == nil {
		return
	}
	r.After(2*time.Millisecond, func() { r.SetServerLinksCut(to.Name, true, true, true) })
	r.After(longFaultTime, func() { r.SetServerLinksCut(to.Name, true, true, false) })
}

// cutThenKillLeader lets a server fall behind by cutting its incoming links, restores the links and kills the
// leader, so that the server takes part in the election.
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
		r.After(longFaultTime, l.Restart)
	}
}

// loseDiskThenAnother stops a second server as soon as the server that lost its disk has been replaced.
func loseDiskThenAnother(r *run, p sim.Point) {
	s := p.Server
	lost := s.ID
	loseDisk(r, p)
	var watch func()
	watch = func() {
		if s.ID == lost || !r.Replaced(s.Name, s.Name) {
			r.After(10*time.Millisecond, watch)
			return
		}
		for _, other := range r.Servers() {
			if other != s && !other.Down() {
				other.Kill(false)
				r.After(longFaultTime, other.Restart)
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
	r.After(longFaultTime, p.Server.Restart)
}

func delayThenKillLeader(r *run, p sim.Point) {
	delay(r, p)
	r.After(100*time.Millisecond, func() { killCurrentLeader(r) })
}
