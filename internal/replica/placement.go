package replica

import (
	"cmp"
	"fmt"
	"slices"

	"filbertledge/internal/raft"
)

// PlacementProblem is a weakness in the placement of the voters in failure domains.
type PlacementProblem struct {
	// Blocking problems make a placement unacceptable; the others are only reported.
	Blocking bool
	// FailureDomain is the failure domain that causes the problem.
	FailureDomain string
	Text          string
}

// CheckPlacement returns the problems of a set of voters: a failure domain that holds a majority of two or more voters
// (blocking), and a failure domain whose loss leaves no majority and so stops edits (not blocking).
func CheckPlacement(voters []raft.Member) []PlacementProblem {
	perDomain := map[string]int{}
	for _, v := range voters {
		perDomain[v.FailureDomain]++
	}
	majority := len(voters)/2 + 1
	var problems []PlacementProblem
	for domain, count := range perDomain {
		p := PlacementProblem{FailureDomain: domain}
		switch {
		case count >= majority && len(voters) > 1:
			p.Blocking = true
			p.Text = fmt.Sprintf("failure domain %q holds %d of %d voters, a majority; place replicas in three or more failure domains",
				domain, count, len(voters))
		case len(voters)-count < majority:
			p.Text = fmt.Sprintf("the loss of failure domain %q leaves %d of %d voters, which stops edits; place replicas in three or more failure domains",
				domain, len(voters)-count, len(voters))
		default:
			continue
		}
		problems = append(problems, p)
	}
	slices.SortFunc(problems, func(a, b PlacementProblem) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return problems
}

// blockingProblem returns the first blocking problem of a set of voters, if there is one.
func blockingProblem(voters []raft.Member) (PlacementProblem, bool) {
	for _, p := range CheckPlacement(voters) {
		if p.Blocking {
			return p, true
		}
	}
	return PlacementProblem{}, false
}
