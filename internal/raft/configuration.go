package raft

import (
	"cmp"
	"slices"
)

// Configuration is the membership of the group. During a joint change, Outgoing holds the old voters, and elections and
// commits need a majority of both Voters and Outgoing.
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

// Clone returns a copy that shares no memory with c.
func (c Configuration) Clone() Configuration {
	return Configuration{
		Voters:   slices.Clone(c.Voters),
		Outgoing: slices.Clone(c.Outgoing),
		Learners: slices.Clone(c.Learners),
	}
}

// Joint reports whether c is the joint configuration of a change of voters.
func (c Configuration) Joint() bool { return len(c.Outgoing) > 0 }

// IsVoter reports whether id is in Voters or Outgoing.
func (c Configuration) IsVoter(id uint64) bool {
	return containsMember(c.Voters, id) || containsMember(c.Outgoing, id)
}

// Members returns all voters and learners without duplicates, ordered by ID.
func (c Configuration) Members() []Member {
	list := slices.Concat(c.Voters, c.Outgoing)
	for _, l := range c.Learners {
		list = append(list, l.Member)
	}
	list = sortedMembers(list)
	return slices.CompactFunc(list, func(a, b Member) bool { return a.ID == b.ID })
}

// Member returns the voter or learner with the given ID.
func (c Configuration) Member(id uint64) (Member, bool) {
	for _, m := range c.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// VoterByName returns the member of Voters with the given name.
func (c Configuration) VoterByName(name string) (Member, bool) {
	i := slices.IndexFunc(c.Voters, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return c.Voters[i], true
}

func containsMember(list []Member, id uint64) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
}

// voterSets returns the sets of voters each of which must contribute a majority.
func (n *Node) voterSets() [][]Member {
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

// quorumValue returns the largest value that a majority of every voter set has reached. An empty set yields zero.
func quorumValue[T cmp.Ordered](sets [][]Member, value func(id uint64) T) T {
	var result T
	for i, set := range sets {
		v := majorityValue(set, value)
		if i == 0 || v < result {
			result = v
		}
	}
	return result
}

// majorityValue returns the largest value that a majority of set has reached, or zero for an empty set.
func majorityValue[T cmp.Ordered](set []Member, value func(id uint64) T) T {
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

// tally counts the votes of every set. A member without an entry in votes has not answered.
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
	granted, unanswered := 0, 0
	for _, m := range set {
		v, answered := votes[m.ID]
		if !answered {
			unanswered++
		} else if v {
			granted++
		}
	}
	majority := len(set)/2 + 1
	switch {
	case len(set) == 0 || granted+unanswered < majority:
		return voteLost
	case granted >= majority:
		return voteWon
	default:
		return votePending
	}
}
