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

// layout parses members such as "a1 a2- b1" of failure domains a and b: + is a voter, - a learner that has caught up,
// ! a silent voter, ? a learner that lags, x a retired voter.
func layout(s string) []candidate {
	var out []candidate
	for i, f := range strings.Fields(s) {
		c := candidate{Member: raft.Member{ID: uint64(i + 1), Name: f[:2], FailureDomain: f[:1]}}
		switch f[2] {
		case '+':
			c.voter, c.caughtUp = true, true
		case '-':
			c.caughtUp = true
		case '!':
			c.voter, c.silent = true, voterSilence+time.Second
		case 'x':
			c.voter, c.caughtUp, c.retired = true, true, true
		}
		out = append(out, c)
	}
	return out
}

func TestPlanVoters(t *testing.T) {
	for name, tc := range map[string]struct {
		members string
		budget  int
		want    string // names; empty if the voters stay
	}{
		"all well":                              {"a1+ b1+ c1+ d1-", 1, ""},
		"a silent voter is replaced":            {"a1+ b1+ c1! d1-", 1, "a1 b1 d1"},
		"a silent voter without a spare stays":  {"a1+ b1+ c1!", 1, ""},
		"a spare that lags is no help":          {"a1+ b1+ c1! d1?", 1, ""},
		"the new VM takes the lost one's place": {"a1+ b1+ c1! c2-", 1, "a1 b1 c2"},
		"a retired voter is replaced":           {"a1+ b1+ c1x d1-", 1, "a1 b1 d1"},
		"voters move to other failure domains":  {"a1+ a2+ b1+ c1-", 1, "a1 b1 c1"},
		"five for a budget of two":              {"a1+ b1+ c1+ a2- b2- c2- d1- d2-", 2, "a1 a2 b1 c1 d1"},
		"no even number of voters":              {"a1+ b1+ c1+ d1-", 2, ""},
		"one failure domain at first":           {"a1+ a2+ a3+ b1- c1- d1-", 2, "a1 a2 b1 c1 d1"},
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			for _, m := range planVoters(layout(tc.members), tc.budget) {
				names = append(names, m.Name)
			}
			slices.Sort(names)
			if got := strings.Join(names, " "); got != tc.want {
				t.Fatalf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestPlanVotersKeepsTheGroupSafe checks on random members that a plan never loses voters without need, takes no
// member that lags, and comes to rest.
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
		members := layout(strings.Join(parts, " "))
		budget := rapid.IntRange(1, 2).Draw(t, "budget")
		plan := planVoters(members, budget)
		if plan == nil {
			return
		}
		before := 0
		for _, m := range members {
			if m.voter {
				before++
			}
		}
		if len(plan) < min(before, 2*budget+1) {
			t.Fatalf("%v: %d voters of %d left", parts, len(plan), before)
		}
		for i := range members {
			in := slices.ContainsFunc(plan, func(m raft.Member) bool { return m.ID == members[i].ID })
			if in && !members[i].voter && !members[i].caughtUp {
				t.Fatalf("%v: %s votes without having caught up", parts, members[i].Name)
			}
			members[i].voter = in
		}
		if again := planVoters(members, budget); again != nil {
			t.Fatalf("%v: the plan %v is changed again to %v", parts, plan, again)
		}
	})
}
