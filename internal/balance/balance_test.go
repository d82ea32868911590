package balance

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var table = flag.Bool("table", false, "print the table of docs/design/balance.md, which takes minutes")

// TestTable prints the comparison of the rules.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table; run it with -table")
	}
	for _, work := range []time.Duration{22 * time.Millisecond, 3 * time.Second} {
		for _, vms := range []int{30, 100, 300} {
			for _, servers := range []int{9, 30} {
				for _, age := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
					for _, u := range []float64{0.3, 0.6, 0.9, 1.1} {
						for _, rule := range []string{"present", "own sends", "wait", "two choices", "shares", "answers", "kept"} {
							r := newSim(simCase{vms, servers, work, age, u, rule}, nil).run()
							fmt.Printf("%s|%d|%d|%s|%g|%s|%.3f|%.3f|%.4f|%.3f|%.3f|%.4f\n", work, vms, servers, age, u, rule, r.meanUneven, r.uneven, r.variance, r.mean.Seconds(), r.p99.Seconds(), r.refused)
						}
					}
				}
			}
		}
	}
}
