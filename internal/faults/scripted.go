package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// scriptedSeeds is the number of seeds of a scripted cell. Who wins an election depends on the seed, so that not
// every run reaches the state that the script aims at.
const scriptedSeeds = 8

// scriptedCells returns cells whose faults need a fixed sequence of events.
func scriptedCells(o matrixOptions) []Cell {
	scripts := []struct {
		name string
		run  func(seed uint64, m raft.Mutations) error
	}{
		{"read-at-cut-leader-with-slow-clock", readAtSlowLeader},
		{"commit-of-an-older-term", commitOfOlderTerm},
		{"restart-after-vote", restartAfterVote},
	}
	var cells []Cell
	for _, s := range scripts {
		cells = append(cells, NewCell("scripted/"+s.name, func() error {
			for i := range uint64(scriptedSeeds) {
				if err := s.run(o.seed+i, o.mutations); err != nil {
					return fmt.Errorf("seed %d: %w", o.seed+i, err)
				}
			}
			return nil
		}))
	}
	return cells
}

// readAtSlowLeader cuts off a leader whose clock runs far too slowly, so that it does not notice its successor
// in time, and reads at it. Only the quorum of the read index protects these reads.
func readAtSlowLeader(seed uint64, m raft.Mutations) error {
	r := &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(3), Network: sim.DefaultNetwork, Mutations: m,
		ClockRates: map[string]float64{leaderName: 0.2}, ClockDriftUnbounded: true,
	})}
	r.Run(warmUp)
	for l := r.Leader(); l != nil && l.Name != leaderName; l = r.Leader() {
		_ = l.TransferLeadership(r.Server(leaderName).ID)
		r.Run(r.Now() + time.Second)
		if r.Now() > 10*warmUp {
			return errors.New("the slow server was not elected")
		}
	}
	r.SetServerLinksCut(leaderName, true, true, true)
	r.NewClient("later ")
	r.readRegularly(r.Now() + awayTime)
	r.Run(r.Now() + awayTime)
	r.SetServerLinksCut(leaderName, true, true, false)
	r.Run(r.Now() + recoveryTime)
	return r.Err()
}

// restartAfterVote restarts a voter just after its vote, cuts off the candidate that got it, and lets a server of
// the term before stand for election in the same term. A voter that forgot its vote gives a second one.
func restartAfterVote(seed uint64, m raft.Mutations) error {
	r := &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(3), Network: sim.DefaultNetwork, Mutations: m,
		// The clock of a runs fast, so that it is the first to stand for election.
		ClockRates: map[string]float64{leaderName: 3}, ClockDriftUnbounded: true,
	})}
	if err := r.elect(leaderName); err != nil {
		return err
	}
	r.Server(leaderName).Kill(false)
	voted := false
	r.Hook = func(p sim.Point) {
		if voted || p.Operation != sim.Send || !p.After || p.Message.Type != raft.MsgVoteResponse {
			return
		}
		voted = true
		candidate := receiver(r, p)
		r.After(2*time.Millisecond, func() { r.SetServerLinksCut(candidate.Name, true, true, true) })
		p.Server.Kill(false)
		r.Server(leaderName).Restart()
		r.After(quickRestart, p.Server.Restart)
	}
	r.Run(r.Now() + 2*editBound)
	if !voted && r.Err() == nil {
		return errors.New("no election took place")
	}
	return r.Err()
}

// olderTerm is the script of commitOfOlderTerm: the sequence of figure 8 of the Raft paper.
type olderTerm struct {
	*run
	first  uint64 // index of the entry that the first leader leaves on two servers
	second *sim.Server
}

// commitOfOlderTerm lets the leader a leave an entry on a and b only; e then leads and leaves another entry at
// the same index on itself; then a or b leads and brings the first entry to a majority, without an entry of its
// own term; then e leads again. A leader that commits the first entry by counting loses it now.
func commitOfOlderTerm(seed uint64, m raft.Mutations) error {
	s := &olderTerm{run: &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(5), Network: sim.DefaultNetwork, Mutations: m, MaxBatchBytes: 1,
		// The clock of e runs fast, so that it is the first to stand for election.
		ClockRates: map[string]float64{"e": 3}, ClockDriftUnbounded: true,
	})}}
	if err := s.elect(leaderName); err != nil {
		return err
	}
	s.leaveOnTwo()
	if !s.leadAlone() {
		return s.Err()
	}
	s.replicateOlder()
	s.second.Restart()
	s.Run(s.Now() + 2*editBound)
	return s.Err()
}

func (s *olderTerm) leaveOnTwo() {
	const settle = 50 * time.Millisecond
	for _, other := range []string{"c", "d", "e"} {
		s.SetLinkCut(leaderName, other, true)
	}
	s.propose("left on two servers")
	s.first = s.Server(leaderName).Status().LastIndex
	s.Run(s.Now() + settle)
	s.Server(leaderName).Kill(false)
	s.Server("b").Kill(false)
	for _, other := range []string{"c", "d", "e"} {
		s.SetLinkCut(leaderName, other, false)
	}
}

// leadAlone lets e become leader without replicating anything, and ends it. It reports false if another server
// was elected.
func (s *olderTerm) leadAlone() bool {
	s.Hook = func(p sim.Point) {
		if p.Operation == sim.Send && !p.After && p.Message.Type == raft.MsgAppend && s.second == nil {
			s.second = p.Server
			p.Server.Kill(false)
		}
	}
	s.RunUntil(2*editBound, func() bool { return s.second != nil })
	s.Hook = nil
	return s.second == s.Server("e")
}

// replicateOlder lets a or b lead and takes the entries of its own term out of its messages.
func (s *olderTerm) replicateOlder() {
	s.Server(leaderName).Restart()
	s.Server("b").Restart()
	s.Hook = func(p sim.Point) {
		if p.Operation != sim.Send || p.After {
			return
		}
		if list := p.Message.Entries; len(list) > 0 && list[len(list)-1].Index > s.first {
			s.DropNextMessage(p.Server)
			empty := p.Message
			empty.Entries = nil
			s.DeliverAfter(sim.DefaultNetwork.MinDelay, p.Server, empty)
		}
	}
	const settle = 300 * time.Millisecond
	s.RunUntil(2*editBound, func() bool { return s.Leader() != nil })
	s.Run(s.Now() + settle)
	s.Hook = nil
	if l := s.Leader(); l != nil {
		l.Kill(false)
	}
}
