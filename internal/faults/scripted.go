package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// scriptedSeeds is the number of seeds with which a scripted cell runs. The winner of an election depends on the
// seed, so not every run reaches the state that the script needs.
const scriptedSeeds = 8

// scriptedCells returns the cells that inject several faults in a fixed sequence.
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

// readAtSlowLeader cuts off a leader whose clock is so slow that it still considers itself the leader after its
// successor was elected, and reads at it. Only the quorum check of the read index prevents stale reads.
func readAtSlowLeader(seed uint64, m raft.Mutations) error {
	r := &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(3), Network: sim.DefaultNetwork, Mutations: m,
		ClockRates: map[string]float64{leaderName: 0.2}, ClockDriftUnbounded: true,
	})}
	r.Run(warmUpTime)
	for l := r.Leader(); l != nil && l.Name != leaderName; l = r.Leader() {
		_ = l.TransferLeadership(r.Server(leaderName).ID)
		r.Run(r.Now() + time.Second)
		if r.Now() > 10*warmUpTime {
			return errors.New("the slow server was not elected")
		}
	}
	r.SetServerLinksCut(leaderName, true, true, true)
	r.NewClient("later ")
	r.readPeriodically(r.Now() + longFaultTime)
	r.Run(r.Now() + longFaultTime)
	r.SetServerLinksCut(leaderName, true, true, false)
	r.Run(r.Now() + recoveryTime)
	return r.Err()
}

// restartAfterVote restarts a voter just after it has voted, cuts off the candidate that received the vote, and
// restarts the leader of the previous term, which then becomes a candidate in the same term. A voter that did not
// store its vote grants a second one.
func restartAfterVote(seed uint64, m raft.Mutations) error {
	r := &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(3), Network: sim.DefaultNetwork, Mutations: m,
		// The clock of a is fast, so that a is the first to start an election.
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
		r.After(restartDelay, p.Server.Restart)
	}
	r.Run(r.Now() + 2*editBound)
	if !voted && r.Err() == nil {
		return errors.New("no election took place")
	}
	return r.Err()
}

// olderTermScript is the state of commitOfOlderTerm, which follows figure 8 of the Raft paper.
type olderTermScript struct {
	*run
	firstEntryIndex uint64 // index of the entry that the first leader replicates to two servers
	secondLeader    *sim.Server
}

// commitOfOlderTerm has the leader a replicate an entry to b only. Then e leads and stores a different entry at the
// same index on itself only. Then a or b leads and replicates the first entry to a majority, but no entry of its
// own term. Then e leads again. A leader that committed the first entry because a majority had it loses the
// committed entry now.
func commitOfOlderTerm(seed uint64, m raft.Mutations) error {
	s := &olderTermScript{run: &run{Cluster: sim.New(sim.Options{
		Seed: seed, Voters: sim.Members(5), Network: sim.DefaultNetwork, Mutations: m, MaxBatchBytes: 1,
		// The clock of e is fast, so that e is the first to start an election.
		ClockRates: map[string]float64{"e": 3}, ClockDriftUnbounded: true,
	})}}
	if err := s.elect(leaderName); err != nil {
		return err
	}
	s.replicateToTwoServers()
	if !s.electWithoutReplicating() {
		return s.Err()
	}
	s.replicateOlderEntry()
	s.secondLeader.Restart()
	s.Run(s.Now() + 2*editBound)
	return s.Err()
}

// replicateToTwoServers has a replicate an entry to b only and kills both.
func (s *olderTermScript) replicateToTwoServers() {
	const settle = 50 * time.Millisecond
	for _, other := range []string{"c", "d", "e"} {
		s.SetLinkCut(leaderName, other, true)
	}
	s.propose("left on two servers")
	s.firstEntryIndex = s.Server(leaderName).Status().LastIndex
	s.Run(s.Now() + settle)
	s.Server(leaderName).Kill(false)
	s.Server("b").Kill(false)
	for _, other := range []string{"c", "d", "e"} {
		s.SetLinkCut(leaderName, other, false)
	}
}

// electWithoutReplicating lets a server become leader and kills it before it replicates an entry. It returns false if
// that server is not e.
func (s *olderTermScript) electWithoutReplicating() bool {
	s.Hook = func(p sim.Point) {
		if p.Operation == sim.Send && !p.After && p.Message.Type == raft.MsgAppend && s.secondLeader == nil {
			s.secondLeader = p.Server
			p.Server.Kill(false)
		}
	}
	s.RunUntil(2*editBound, func() bool { return s.secondLeader != nil })
	s.Hook = nil
	return s.secondLeader == s.Server("e")
}

// replicateOlderEntry lets a or b lead and removes the entries of its own term from its messages, so that only the
// first entry is replicated. It kills the leader at the end.
func (s *olderTermScript) replicateOlderEntry() {
	s.Server(leaderName).Restart()
	s.Server("b").Restart()
	s.Hook = func(p sim.Point) {
		if p.Operation != sim.Send || p.After {
			return
		}
		if list := p.Message.Entries; len(list) > 0 && list[len(list)-1].Index > s.firstEntryIndex {
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
