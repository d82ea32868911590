package coordinator

import (
	"testing"
	"time"
)

// TestLeaseMonitor guards against a session that ends at a short lapse of its lease, and against one that continues
// after another VM may have become the leader.
func TestLeaseMonitor(t *testing.T) {
	type check struct {
		at            time.Duration
		held, leading bool
		want          leaseState
	}
	for name, checks := range map[string][]check{
		"continues after a short lapse": {
			{0, true, true, leaseHeld},
			{100, false, true, leaseLapsed},
			{400, false, true, leaseStillLapsed},
			{450, true, true, leaseRegained},
			{475, true, true, leaseHeld},
		},
		"tolerates each lapse for the full time": {
			{0, true, true, leaseHeld},
			{400, false, true, leaseLapsed},
			{450, true, true, leaseRegained},
			{900, false, true, leaseLapsed},
			{951, false, true, leadershipEnded},
		},
		"ends after a long lapse":                      {{0, true, true, leaseHeld}, {499, false, true, leaseLapsed}, {501, false, true, leadershipEnded}},
		"ends at once if another VM may lead":          {{0, true, true, leaseHeld}, {25, false, false, leadershipEnded}},
		"ends at once if the lease is of another term": {{0, true, true, leaseHeld}, {25, true, false, leadershipEnded}},
		"ends with the first check after a suspension": {
			{0, true, true, leaseHeld},
			{5000, false, true, leadershipEnded},
		},
	} {
		t.Run(name, func(t *testing.T) {
			monitor := leaseMonitor{tolerance: 500}
			for _, c := range checks {
				if got := monitor.observe(c.at, c.held, c.leading); got != c.want {
					t.Fatalf("at %d: got state %d, want %d", c.at, got, c.want)
				}
			}
		})
	}
}
