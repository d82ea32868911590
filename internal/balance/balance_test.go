package balance

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var table = flag.Bool("table", false, "print the measurements of docs/design/balance.md, which takes minutes")

// simRules are the rules that were compared.
var simRules = []string{"present", "own sends", "wait", "two choices", "shares", "answers", "kept"}

func (r simResult) String() string {
	return fmt.Sprintf("uneven %.3f, most uneven %.3f, variance %.4f, mean %s, p99 %s, refused %.4f", r.meanUneven, r.uneven, r.variance, r.mean.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), r.refused)
}

// TestTable prints the comparison of the rules.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints measurements; run it with -table")
	}
	for _, work := range []time.Duration{22 * time.Millisecond, 3 * time.Second} {
		for _, vms := range []int{30, 100, 300} {
			for _, servers := range []int{3, 9, 30} {
				for _, age := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
					for _, u := range []float64{0.3, 0.6, 0.9, 1.1} {
						for _, rule := range simRules {
							fmt.Printf("%s, %d VMs, %d servers, %s old, utilization %g, %s: %s\n", work, vms, servers, age, u, rule, newSim(simCase{vms, servers, work, age, u, rule}, nil).run())
						}
					}
				}
			}
		}
	}
}

// maxUneven is the largest share of time, on the mean of the servers, in which a server may be full while another of its
// failure domain is under half, at a utilization of 0.6 with knowledge that is 500 ms old.
const maxUneven = 0.05

// unevenCases are the fleets for which maxUneven is wanted.
var unevenCases = []struct {
	vms, servers int
	work         time.Duration
	reached      bool // by the kept rule
}{
	{30, 9, 3 * time.Second, true},
	{30, 9, 22 * time.Millisecond, true},
	{100, 9, 3 * time.Second, true},
	{300, 9, 3 * time.Second, false},
	{300, 9, 22 * time.Millisecond, false},
	{300, 30, 3 * time.Second, false},
	{300, 30, 22 * time.Millisecond, false},
}

// Guards against servers that are full while others of their failure domain are under half, if the load of the servers is
// known 500 ms late. The present rule must exceed the bound, and be clearly less even in all cases.
func TestLoadIsEvenWithOldKnowledge(t *testing.T) {
	for _, tc := range unevenCases {
		t.Run(fmt.Sprintf("%d VMs, %d servers, %s", tc.vms, tc.servers, tc.work), func(t *testing.T) {
			t.Parallel()
			c := simCase{tc.vms, tc.servers, tc.work, 500 * time.Millisecond, 0.6, "kept"}
			kept := newSim(c, nil).run()
			c.rule = "present"
			present := newSim(c, nil).run()
			t.Logf("present rule: %s; kept rule: %s", present, kept)
			if tc.reached && kept.meanUneven > maxUneven || kept.refused > 0 {
				t.Errorf("above %g: %s", maxUneven, kept)
			}
			if present.meanUneven <= max(maxUneven, kept.meanUneven) || present.variance < 1.5*kept.variance {
				t.Errorf("the present rule is as good: %s", present)
			}
		})
	}
}

// Guards against the same in the fleets in which the kept rule does not reach the bound.
func TestLoadIsEvenInLargeFleets(t *testing.T) {
	for _, tc := range unevenCases {
		if tc.reached {
			continue
		}
		r := newSim(simCase{tc.vms, tc.servers, tc.work, 500 * time.Millisecond, 0.6, "kept"}, nil).run()
		if r.meanUneven > maxUneven {
			t.Errorf("%d VMs, %d servers, %s: above %g: %s", tc.vms, tc.servers, tc.work, maxUneven, r)
		}
	}
}

// Guards against a balance that costs requests when most slots are taken: a failure domain that keeps more requests than it
// has capacity for, servers that are avoided because they refused, and fast servers that all VMs prefer because of their
// short queues. At a utilization of 1.1 a share of 0.09 must be refused. The load must not be less even than under the present
// rule.
func TestBusyServersKeepServing(t *testing.T) {
	for utilization, refused := range map[float64]float64{0.9: 0, 1.1: 0.1} {
		for _, vms := range []int{30, 300} {
			t.Run(fmt.Sprintf("%d VMs, utilization %g", vms, utilization), func(t *testing.T) {
				t.Parallel()
				c := simCase{vms, 30, 22 * time.Millisecond, 500 * time.Millisecond, utilization, "kept"}
				r := newSim(c, nil).run()
				c.rule = "present"
				present := newSim(c, nil).run()
				t.Logf("present rule: %s; kept rule: %s", present, r)
				if r.refused > refused || r.meanUneven > present.meanUneven {
					t.Errorf("above %g refused or less even than the present rule: %s", refused, r)
				}
			})
		}
	}
}
