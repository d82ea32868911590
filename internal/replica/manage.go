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
	// manageInterval is the time between looks at the membership.
	manageInterval = 200 * time.Millisecond
	// voterSilence is how long a voter may be silent before a learner takes its place. It is longer than an
	// election and shorter than the time within which a lost VM must be replaced.
	voterSilence = 2 * time.Second
	// learnerSilence drops a learner that has gone: it must outlast a restart of the VM.
	learnerSilence = 30 * time.Second
)

// candidate is a member as the leader sees it.
type candidate struct {
	raft.Member
	voter    bool
	caughtUp bool // has all but the newest entries and answers
	silent   time.Duration
	retired  bool
}

// planVoters returns the voters that a group should have, or nil if they may stay. It keeps 2*budget+1 voters
// where there are enough caught-up members, replaces voters that are silent or retired, and spreads the voters over
// failure domains. A voter is only replaced by a member that has caught up, and a change never adds members without
// need, because each voter more is one more that a majority may wait for.
func planVoters(members []candidate, budget int) []raft.Member {
	var voters, spares []candidate
	for _, m := range members {
		switch {
		case m.voter:
			voters = append(voters, m)
		case m.caughtUp && !m.retired:
			spares = append(spares, m)
		}
	}
	usable := slices.DeleteFunc(slices.Clone(voters), func(m candidate) bool { return m.retired || m.silent > voterSilence })
	target := 2*budget + 1
	if len(usable)+len(spares) < target {
		// An even number of voters tolerates no more losses than one less.
		target = max(len(voters), (len(usable)+len(spares)-1)|1)
	}
	pool := slices.Concat(usable, spares)
	if len(pool) < min(target, len(voters)) && len(pool) < 2 {
		return nil
	}
	chosen := spread(pool, min(target, len(pool)))
	// Voters that cannot be replaced yet stay, or a majority could be lost with the next failure.
	for _, m := range voters {
		if len(chosen) >= min(target, len(voters)) {
			break
		}
		if !slices.ContainsFunc(chosen, func(c candidate) bool { return c.ID == m.ID }) {
			chosen = append(chosen, m)
		}
	}
	if !better(chosen, voters) {
		return nil
	}
	out := make([]raft.Member, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, m.Member)
	}
	return out
}

// spread picks n members so that the failure domains hold about the same number, present voters first.
func spread(pool []candidate, n int) []candidate {
	var chosen []candidate
	perDomain := map[string]int{}
	left := slices.Clone(pool)
	for len(chosen) < n && len(left) > 0 {
		best := 0
		for i := range left {
			if rank(left[i], perDomain) < rank(left[best], perDomain) {
				best = i
			}
		}
		perDomain[left[best].FailureDomain]++
		chosen = append(chosen, left[best])
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}

// rank orders candidates by the load of their failure domain, then voters before learners.
func rank(m candidate, perDomain map[string]int) int {
	r := 2 * perDomain[m.FailureDomain]
	if !m.voter {
		r++
	}
	return r
}

// better reports whether chosen is worth a change of the membership: it drops a voter that is silent or retired,
// it is larger, or its fullest failure domain holds fewer voters.
func better(chosen, voters []candidate) bool {
	bad := func(list []candidate) int {
		n := 0
		for _, m := range list {
			if m.retired || m.silent > voterSilence {
				n++
			}
		}
		return n
	}
	if len(chosen) != len(voters) {
		return len(chosen) > len(voters) || bad(chosen) < bad(voters)
	}
	if bad(chosen) != bad(voters) {
		return bad(chosen) < bad(voters)
	}
	return fullest(chosen) < fullest(voters)
}

func fullest(list []candidate) int {
	perDomain := map[string]int{}
	most := 0
	for _, m := range list {
		perDomain[m.FailureDomain]++
		most = max(most, perDomain[m.FailureDomain])
	}
	return most
}

// manage lets the leader of a managed group change its membership, one change at a time.
func (r *Replica) manage() {
	now := r.opts.Clock()
	if !r.opts.ManageVoters || !r.started.Load() || now < r.loop.managedAt+manageInterval {
		return
	}
	r.loop.managedAt = now
	s := r.loop.node.Status()
	if s.Role != raft.Leader || s.Configuration.Joint() || s.ConfigurationIndex > s.Commit {
		return
	}
	members := r.candidates(s.Configuration, now)
	if voters := planVoters(members, max(1, r.opts.FaultTolerance)); voters != nil {
		err := r.loop.node.ChangeVoters(voters)
		r.record(events.MembershipChanged, r.self.Name, describeChange(members, voters, err))
		return
	}
	for _, m := range members {
		if !m.voter && (m.silent > learnerSilence || m.retired) {
			err := r.loop.node.RemoveLearner(m.ID)
			r.record(events.MembershipChanged, m.Name, describeRemoval(m, err))
			return
		}
	}
}

func (r *Replica) candidates(c raft.Configuration, now time.Duration) []candidate {
	var retired map[string]bool
	if r.opts.RetiredVMs != nil {
		retired = r.opts.RetiredVMs()
	}
	var out []candidate
	for _, m := range c.Members() {
		k := candidate{Member: m, voter: c.IsVoter(m.ID), retired: retired[m.Name]}
		if m.ID == r.self.ID {
			k.caughtUp = true
		} else {
			k.caughtUp = r.loop.node.CaughtUp(m.ID)
			k.silent = r.silence(m.ID, now)
		}
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// silence returns how long a member has not answered this leader.
func (r *Replica) silence(id uint64, now time.Duration) time.Duration {
	if at, ok := r.loop.node.LastAckedSendTime(id); ok {
		return now - at
	}
	return now - r.loop.leadingSince
}

func describeChange(members []candidate, voters []raft.Member, err error) string {
	var b strings.Builder
	b.WriteString("voters become")
	for _, v := range voters {
		fmt.Fprintf(&b, " %s", v.Name)
	}
	for _, m := range members {
		if m.voter && (m.retired || m.silent > voterSilence) {
			fmt.Fprintf(&b, "; %s silent for %s, retired %t", m.Name, m.silent.Round(time.Millisecond), m.retired)
		}
	}
	if err != nil {
		fmt.Fprintf(&b, "; not started: %v", err)
	}
	return b.String()
}

func describeRemoval(m candidate, err error) string {
	s := fmt.Sprintf("learner removed; silent for %s, retired %t", m.silent.Round(time.Millisecond), m.retired)
	if err != nil {
		s += "; not started: " + err.Error()
	}
	return s
}
