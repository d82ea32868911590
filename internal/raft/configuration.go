package raft

import (
	"cmp"
	"slices"
)

// Configuration is the membership. Outgoing holds the old voters during a joint change; then decisions need a
// majority of both sets.
type Configuration struct {
	Voters   []Member  `cbor:"1,keyasint"`
	Outgoing []Member  `cbor:"2,keyasint,omitempty"`
	Learners []Learner `cbor:"3,keyasint,omitempty"`
}

func sortedMembers(list []Member) []Member {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Clone returns a copy that shares nothing with c.
func (c Configuration) Clone() Configuration {
	return Configuration{
		Voters:   slices.Clone(c.Voters),
		Outgoing: slices.Clone(c.Outgoing),
		Learners: slices.Clone(c.Learners),
	}
}

// Joint reports whether a change of voters is in progress.
func (c Configuration) Joint() bool { return len(c.Outgoing) > 0 }

// IsVoter reports whether id is a voter of either set.
func (c Configuration) IsVoter(id uint64) bool {
	return contains(c.Voters, id) || contains(c.Outgoing, id)
}

// Members returns every member once, ordered by ID.
func (c Configuration) Members() []Member {
	list := slices.Concat(c.Voters, c.Outgoing)
	for _, l := range c.Learners {
		list = append(list, l.Member)
	}
	list = sortedMembers(list)
	return slices.CompactFunc(list, func(a, b Member) bool { return a.ID == b.ID })
}

// Member returns the member with the given ID.
func (c Configuration) Member(id uint64) (Member, bool) {
	for _, m := range c.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// VoterByName returns the current voter with the given name.
func (c Configuration) VoterByName(name string) (Member, bool) {
	i := slices.IndexFunc(c.Voters, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return c.Voters[i], true
}

func contains(list []Member, id uint64) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
}

// sets returns the voter sets whose majorities are all needed.
func (n *Node) sets() [][]Member {
	c := n.log.configuration()
	voters := c.Voters
	if n.opts.Mutations.CountLearners {
		voters = slices.Clone(voters)
		for _, l := range c.Learners {
			voters = append(voters, l.Member)
		}
	}
	if c.Joint() {
		return [][]Member{voters, c.Outgoing}
	}
	return [][]Member{voters}
}

// quorum returns the largest value that a majority of every voter set has reached. An empty set reaches nothing.
func quorum[T cmp.Ordered](sets [][]Member, value func(id uint64) T) T {
	var result T
	for i, set := range sets {
		v := majority(set, value)
		if i == 0 || v < result {
			result = v
		}
	}
	return result
}

func majority[T cmp.Ordered](set []Member, value func(id uint64) T) T {
	var zero T
	if len(set) == 0 {
		return zero
	}
	values := make([]T, 0, len(set))
	for _, m := range set {
		values = append(values, value(m.ID))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

type voteResult uint8

const (
	votePending voteResult = iota
	voteWon
	voteLost
)

// tally counts votes; a member without an entry has not answered.
func tally(sets [][]Member, votes map[uint64]bool) voteResult {
	result := voteWon
	for _, set := range sets {
		switch tallySet(set, votes) {
		case voteLost:
			return voteLost
		case votePending:
			result = votePending
		}
	}
	return result
}

func tallySet(set []Member, votes map[uint64]bool) voteResult {
	granted, missing := 0, 0
	for _, m := range set {
		v, answered := votes[m.ID]
		if !answered {
			missing++
		} else if v {
			granted++
		}
	}
	need := len(set)/2 + 1
	switch {
	case len(set) == 0 || granted+missing < need:
		return voteLost
	case granted >= need:
		return voteWon
	default:
		return votePending
	}
}
