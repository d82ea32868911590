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

// Guards against servers that are full while others of their failure domain are under half for more than a twentieth of the
// time, on the mean of the servers, if the load of the servers is known 500 ms late. The present rule must exceed the
// bounds.
func TestLoadIsEvenWithOldKnowledge(t *testing.T) {
	for _, tc := range []struct {
		vms, servers int
		work         time.Duration
		uneven       float64 // largest share of time, mean of the servers
	}{
		{30, 9, 3 * time.Second, 0.05},
		{30, 9, 22 * time.Millisecond, 0.05},
		// The requests that begin and end at random within the age of the report leave this much with more VMs.
		{100, 9, 3 * time.Second, 0.06},
		{300, 9, 3 * time.Second, 0.075},
		{300, 9, 22 * time.Millisecond, 0.1},
		{300, 30, 3 * time.Second, 0.1},
		{300, 30, 22 * time.Millisecond, 0.18},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d servers, %s", tc.vms, tc.servers, tc.work), func(t *testing.T) {
			t.Parallel()
			c := simCase{tc.vms, tc.servers, tc.work, 500 * time.Millisecond, 0.6, "kept"}
			kept := newSim(c, nil).run()
			c.rule = "present"
			present := newSim(c, nil).run()
			t.Logf("present rule: %s; kept rule: %s", present, kept)
			if kept.meanUneven > tc.uneven || kept.refused > 0 {
				t.Errorf("above %g: %s", tc.uneven, kept)
			}
			if present.meanUneven <= tc.uneven || present.variance < 1.5*kept.variance {
				t.Errorf("the present rule passes: %s", present)
			}
		})
	}
}

// Guards against a balance that costs requests when most slots are taken: a failure domain that keeps more requests than it
// has capacity for, servers that are avoided because they refused, and fast servers that all VMs prefer because of their
// short queues. At a utilization of 1.1 a share of 0.09 must be refused.
func TestBusyServersKeepServing(t *testing.T) {
	for utilization, refused := range map[float64]float64{0.9: 0, 1.1: 0.1} {
		for _, vms := range []int{30, 300} {
			t.Run(fmt.Sprintf("%d VMs, utilization %g", vms, utilization), func(t *testing.T) {
				t.Parallel()
				r := newSim(simCase{vms, 30, 22 * time.Millisecond, 500 * time.Millisecond, utilization, "kept"}, nil).run()
				t.Log(r)
				if r.refused > refused || r.meanUneven > 0.23 {
					t.Errorf("above %g refused or 0.23 uneven: %s", refused, r)
				}
			})
		}
	}
}
