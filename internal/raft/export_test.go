package raft

// WinsVote reports whether the members in set win a vote in c. Bit i of set stands for the member with ID i+1.
func WinsVote(c Configuration, set uint) bool {
	votes := map[uint64]bool{}
	for _, m := range c.Members() {
		votes[m.ID] = set>>(m.ID-1)&1 == 1
	}
	sets := [][]Member{c.Voters}
	if c.Joint() {
		sets = append(sets, c.Outgoing)
	}
	return tally(sets, votes) == voteWon
}
