package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertledge/internal/raft"
)

// parseMembers parses a list such as "a1+ a2- b1!": the letter is the failure domain, the first two characters are the
// name, and the third one the state: + is a voter, - a learner that has caught up, ? a learner that lags behind, ! an
// unresponsive voter, x a retired voter.
func parseMembers(s string) []memberState {
	var out []memberState
	for i, f := range strings.Fields(s) {
		c := memberState{Member: raft.Member{ID: uint64(i + 1), Name: f[:2], FailureDomain: f[:1]}}
		switch f[2] {
		case '+':
			c.voter, c.caughtUp = true, true
		case '-':
			c.caughtUp = true
		case '!':
			c.voter, c.sinceLastAck = true, voterAckTimeout+time.Second
		case 'x':
			c.voter, c.caughtUp, c.retired = true, true, true
		}
		out = append(out, c)
	}
	return out
}

// Guards against a plan that keeps voters that should be replaced, or replaces voters without need.
func TestPlanVoters(t *testing.T) {
	for name, tc := range map[string]struct {
		members   string
		tolerance int
		want      string // names of the new voters; empty if the voters stay
	}{
		"no change if all voters are healthy":                     {"a1+ b1+ c1+ d1-", 1, ""},
		"an unresponsive voter is replaced":                       {"a1+ b1+ c1! d1-", 1, "a1 b1 d1"},
		"an unresponsive voter without a caught-up learner stays": {"a1+ b1+ c1!", 1, ""},
		"a learner that lags behind replaces no voter":            {"a1+ b1+ c1! d1?", 1, ""},
		"a learner in the same failure domain replaces a voter":   {"a1+ b1+ c1! c2-", 1, "a1 b1 c2"},
		"a retired voter is replaced":                             {"a1+ b1+ c1x d1-", 1, "a1 b1 d1"},
		"a failure domain with two voters loses one":              {"a1+ a2+ b1+ c1-", 1, "a1 b1 c1"},
		"five voters for a fault tolerance of two":                {"a1+ b1+ c1+ a2- b2- c2- d1- d2-", 2, "a1 a2 b1 c1 d1"},
		"no even number of voters":                                {"a1+ b1+ c1+ d1-", 2, ""},
		"voters in one failure domain are spread":                 {"a1+ a2+ a3+ b1- c1- d1-", 2, "a1 a2 b1 c1 d1"},
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			for _, m := range planVoters(parseMembers(tc.members), tc.tolerance) {
				names = append(names, m.Name)
			}
			slices.Sort(names)
			if got := strings.Join(names, " "); got != tc.want {
				t.Fatalf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against plans that reduce the number of voters without need, that promote a learner that lags behind, or that
// lead to another plan at once, so that the membership would change for ever. The members are random.
func TestPlanVotersKeepsTheGroupSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []string
		for i := range rapid.IntRange(3, 9).Draw(t, "members") {
			kind := rapid.SampledFrom([]string{"+", "-", "!", "?", "x"}).Draw(t, "kind")
			if i < 3 {
				kind = rapid.SampledFrom([]string{"+", "!"}).Draw(t, "kind of a voter")
			}
			parts = append(parts, fmt.Sprintf("%s%d%s", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "domain"), i, kind))
		}
		members := parseMembers(strings.Join(parts, " "))
		faultTolerance := rapid.IntRange(1, 2).Draw(t, "fault tolerance")
		plan := planVoters(members, faultTolerance)
		if plan == nil {
			return
		}
		before := 0
		for _, m := range members {
			if m.voter {
				before++
			}
		}
		if len(plan) < min(before, 2*faultTolerance+1) {
			t.Fatalf("%v: the plan has %d voters instead of %d", parts, len(plan), before)
		}
		for i := range members {
			in := slices.ContainsFunc(plan, func(m raft.Member) bool { return m.ID == members[i].ID })
			if in && !members[i].voter && !members[i].caughtUp {
				t.Fatalf("%v: %s becomes a voter without having caught up", parts, members[i].Name)
			}
			members[i].voter = in
		}
		if again := planVoters(members, faultTolerance); again != nil {
			t.Fatalf("%v: the plan %v is followed by another plan %v", parts, plan, again)
		}
	})
}
