package replica

import (
	"cmp"
	"time"

	"filbertledge/internal/raft"
)

// Role is the role of a replica in its group.
type Role string

const (
	RoleJoining   Role = "joining" // not yet a member
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleRefused   Role = "refused" // runs on an older copy of its disk and must be replaced
)

// MemberStatus describes one member of the group.
type MemberStatus struct {
	raft.Member
	Voter      bool
	Learner    bool
	Leaving    bool   // voter only of the old configuration of a joint change
	Replaces   uint64 // ID of the voter that this learner replaces
	MatchIndex uint64 // acknowledged index; only the leader knows it
	// SinceLastAck is the age of the newest message that the member has acknowledged. Only the leader knows it.
	SinceLastAck time.Duration
}

// Status describes a replica and its group as the replica knows it.
type Status struct {
	ID                uint64
	Name              string
	Role              Role
	Term              uint64
	LeaderID          uint64
	LeaderName        string
	LeaderAddress     string
	Commit            uint64
	Applied           uint64
	LastIndex         uint64
	FirstIndex        uint64
	LogBytes          int // size of the log entries in memory
	Members           []MemberStatus
	HoldsLease        bool
	Joined            bool // the group has committed this replica as a member
	PlacementProblems []PlacementProblem
	// Standby lists the VMs that asked to join lately and were not needed. Only the leader knows them.
	Standby []string
}

// Status returns the status as of the last processed event, with the current state of the lease.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.HoldsLease = r.HoldsLease()
	if standby := r.standby.Load(); standby != nil && s.LeaderAddress == "" {
		s.LeaderAddress = standby.leader
	}
	return s
}

// buildStatus reads the status of the raft node. It must run in the replica's goroutine.
func (r *Replica) buildStatus() *Status {
	n := r.loop.node.Status()
	s := &Status{
		ID: r.self.ID, Name: r.self.Name, Role: r.roleOf(n), Term: n.Term, LeaderID: n.Leader, Commit: n.Commit,
		Applied: r.loop.applied, LastIndex: n.LastIndex, FirstIndex: n.FirstIndex, LogBytes: n.LogBytes,
	}
	if m, ok := n.Configuration.Member(n.Leader); ok {
		s.LeaderName, s.LeaderAddress = m.Name, m.Address
	}
	s.LeaderAddress = cmp.Or(r.AddressOf(n.Leader), s.LeaderAddress)
	_, member := n.Configuration.Member(n.ID)
	s.Joined = member && n.Commit >= n.ConfigurationIndex
	for _, m := range n.Configuration.Members() {
		s.Members = append(s.Members, r.memberStatus(n.Configuration, m))
	}
	s.Standby = r.standbyVMs()
	if len(n.Configuration.Voters) > 0 {
		s.PlacementProblems = CheckPlacement(n.Configuration.Voters)
	}
	return s
}

func (r *Replica) roleOf(n raft.Status) Role {
	_, member := n.Configuration.Member(n.ID)
	switch {
	case n.Refused:
		return RoleRefused
	case !r.participating.Load() || !member:
		return RoleJoining
	case !n.Configuration.IsVoter(n.ID):
		return RoleLearner
	}
	switch n.Role {
	case raft.Leader:
		return RoleLeader
	case raft.Candidate, raft.PreCandidate:
		return RoleCandidate
	default:
		return RoleFollower
	}
}

func (r *Replica) memberStatus(c raft.Configuration, m raft.Member) MemberStatus {
	s := MemberStatus{Member: m, MatchIndex: r.loop.node.MatchIndex(m.ID)}
	for _, v := range c.Voters {
		s.Voter = s.Voter || v.ID == m.ID
	}
	for _, l := range c.Learners {
		if l.Member.ID == m.ID {
			s.Learner, s.Replaces = true, l.Replaces
		}
	}
	s.Leaving = !s.Voter && !s.Learner
	if m.ID != r.self.ID && r.loop.node.Status().Role == raft.Leader {
		s.SinceLastAck = r.sinceLastAck(m.ID, r.opts.Clock())
	}
	return s
}

func (s *Status) leader() LeaderInfo {
	return LeaderInfo{ID: s.LeaderID, Name: s.LeaderName, Address: s.LeaderAddress}
}
