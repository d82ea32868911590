package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

const (
	// manageInterval is the time between checks of the membership by the leader.
	manageInterval = 200 * time.Millisecond
	// voterAckTimeout is the time without an acknowledgement after which a learner replaces a voter. It is longer than
	// an election and shorter than the time within which a lost VM must be replaced.
	voterAckTimeout = 2 * time.Second
	// minPoolMembers is the number of usable voters and caught-up learners below which no plan is made, unless they
	// suffice for as many voters as there are now.
	minPoolMembers = 2
	// learnerAckTimeout is the time without an acknowledgement after which a learner is removed. It must be longer than
	// a restart of the VM.
	learnerAckTimeout = 30 * time.Second
)

// memberState is a member with what the leader knows about it.
type memberState struct {
	raft.Member
	voter        bool
	caughtUp     bool // see raft.Node.CaughtUp
	sinceLastAck time.Duration
	retired      bool
}

// planVoters returns the voters that a group should have, or nil if the current ones are to stay. It aims at
// 2*faultTolerance+1 voters if enough members have caught up, replaces voters that are unresponsive or retired, and
// spreads the voters over the failure domains. Only a member that has caught up replaces a voter. A plan has no more
// voters than needed, because a commit may have to wait for the acknowledgement of each additional one.
func planVoters(members []memberState, faultTolerance int) []raft.Member {
	var voters, caughtUpLearners []memberState
	for _, m := range members {
		switch {
		case m.voter:
			voters = append(voters, m)
		case m.caughtUp && !m.retired:
			caughtUpLearners = append(caughtUpLearners, m)
		}
	}
	usable := slices.DeleteFunc(slices.Clone(voters), func(m memberState) bool { return m.retired || m.sinceLastAck > voterAckTimeout })
	target := 2*faultTolerance + 1
	if len(usable)+len(caughtUpLearners) < target {
		// An even number of voters tolerates no more failures than the odd number below it.
		target = max(len(voters), (len(usable)+len(caughtUpLearners)-1)|1)
	}
	pool := slices.Concat(usable, caughtUpLearners)
	if len(pool) < min(target, len(voters)) && len(pool) < minPoolMembers {
		return nil
	}
	chosen := spreadOverDomains(pool, min(target, len(pool)))
	// Voters that cannot be replaced yet stay. With fewer voters, the next failure could cost the majority.
	for _, m := range voters {
		if len(chosen) >= min(target, len(voters)) {
			break
		}
		if !slices.ContainsFunc(chosen, func(c memberState) bool { return c.ID == m.ID }) {
			chosen = append(chosen, m)
		}
	}
	if !isImprovement(chosen, voters) {
		return nil
	}
	out := make([]raft.Member, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, m.Member)
	}
	return out
}

// spreadOverDomains chooses n members of pool so that the failure domains hold about equally many. It prefers current
// voters.
func spreadOverDomains(pool []memberState, n int) []memberState {
	var chosen []memberState
	perDomain := map[string]int{}
	left := slices.Clone(pool)
	for len(chosen) < n && len(left) > 0 {
		best := 0
		for i := range left {
			if placementRank(left[i], perDomain) < placementRank(left[best], perDomain) {
				best = i
			}
		}
		perDomain[left[best].FailureDomain]++
		chosen = append(chosen, left[best])
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}

// placementRank is lower for members whose failure domain holds fewer chosen members and, within that, for voters.
func placementRank(m memberState, perDomain map[string]int) int {
	r := 2 * perDomain[m.FailureDomain]
	if !m.voter {
		r++
	}
	return r
}

// isImprovement reports whether chosen justifies a change of the membership: it has more voters, fewer of its voters
// are unresponsive or retired, or its largest failure domain holds fewer voters.
func isImprovement(chosen, voters []memberState) bool {
	unusable := func(list []memberState) int {
		n := 0
		for _, m := range list {
			if m.retired || m.sinceLastAck > voterAckTimeout {
				n++
			}
		}
		return n
	}
	if len(chosen) != len(voters) {
		return len(chosen) > len(voters) || unusable(chosen) < unusable(voters)
	}
	if unusable(chosen) != unusable(voters) {
		return unusable(chosen) < unusable(voters)
	}
	return maxPerDomain(chosen) < maxPerDomain(voters)
}

// maxPerDomain returns the number of members in the failure domain that holds the most.
func maxPerDomain(list []memberState) int {
	perDomain := map[string]int{}
	most := 0
	for _, m := range list {
		perDomain[m.FailureDomain]++
		most = max(most, perDomain[m.FailureDomain])
	}
	return most
}

// manageMembership starts at most one change of the membership if this replica is the leader and ManageVoters is set.
func (r *Replica) manageMembership() {
	now := r.opts.Clock()
	if !r.opts.ManageVoters || !r.participating.Load() || now < r.loop.lastManagedAt+manageInterval {
		return
	}
	r.loop.lastManagedAt = now
	s := r.loop.node.Status()
	if s.Role != raft.Leader || s.Configuration.Joint() || s.ConfigurationIndex > s.Commit {
		return
	}
	members := r.memberStates(s.Configuration, now)
	if voters := planVoters(members, max(1, r.opts.FaultTolerance)); voters != nil {
		err := r.loop.node.ChangeVoters(voters)
		r.recordEvent(events.MembershipChanged, r.self.Name, describeChange(members, voters, err))
		return
	}
	for _, m := range members {
		if !m.voter && (m.sinceLastAck > learnerAckTimeout || m.retired) {
			err := r.loop.node.RemoveLearner(m.ID)
			r.recordEvent(events.MembershipChanged, m.Name, describeRemoval(m, err))
			return
		}
	}
}

func (r *Replica) memberStates(c raft.Configuration, now time.Duration) []memberState {
	var retired map[string]bool
	if r.opts.RetiredVMs != nil {
		retired = r.opts.RetiredVMs()
	}
	var out []memberState
	for _, m := range c.Members() {
		k := memberState{Member: m, voter: c.IsVoter(m.ID), retired: retired[m.Name]}
		if m.ID == r.self.ID {
			k.caughtUp = true
		} else {
			k.caughtUp = r.loop.node.CaughtUp(m.ID)
			k.sinceLastAck = r.sinceLastAck(m.ID, now)
		}
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b memberState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// sinceLastAck returns the age of the newest message that a member has acknowledged to this leader or, if there is
// none, the time since this replica became leader.
func (r *Replica) sinceLastAck(id uint64, now time.Duration) time.Duration {
	if at, ok := r.loop.node.LastAckedSendTime(id); ok {
		return now - at
	}
	return now - r.loop.leadingSince
}

func describeChange(members []memberState, voters []raft.Member, err error) string {
	var b strings.Builder
	b.WriteString("new voters:")
	for _, v := range voters {
		fmt.Fprintf(&b, " %s", v.Name)
	}
	for _, m := range members {
		if m.voter && (m.retired || m.sinceLastAck > voterAckTimeout) {
			fmt.Fprintf(&b, "; %s without acknowledgement for %s, retired %t", m.Name, m.sinceLastAck.Round(time.Millisecond), m.retired)
		}
	}
	if err != nil {
		fmt.Fprintf(&b, "; not started: %v", err)
	}
	return b.String()
}

func describeRemoval(m memberState, err error) string {
	s := fmt.Sprintf("learner removed; without acknowledgement for %s, retired %t", m.sinceLastAck.Round(time.Millisecond), m.retired)
	if err != nil {
		s += "; not started: " + err.Error()
	}
	return s
}
