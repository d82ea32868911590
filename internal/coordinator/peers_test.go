package coordinator

import (
	"fmt"
	"testing"
	"time"
)

// Guards against VMs that are cut off together and are all sent to the same few others, or to VMs that are cut off, stop
// or are gone.
func TestPeersAreSpreadAndAlive(t *testing.T) {
	const vms, perDomain = 60, 15
	table, now := newPeerTable(), time.Minute
	for i := range vms {
		domain := fmt.Sprint("d", i/perDomain)
		table.record(Peer{VM: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i, ":7300"), FailureDomain: domain}, i%10 != 0, now)
	}
	table.record(Peer{VM: "gone", Address: "10.0.1.1:7300", FailureDomain: "d0"}, true, now-peerLifetime-1)
	table.record(Peer{VM: "without address", FailureDomain: "d0"}, true, now)
	uses := map[string]int{}
	for i := range vms {
		vm, domain := fmt.Sprint("vm", i), fmt.Sprint("d", i/perDomain)
		peers := table.choose(vm, domain, now)
		if len(peers) != 2*peersPerKind {
			t.Fatalf("%s gets %d peers", vm, len(peers))
		}
		for k, p := range peers {
			uses[p.VM]++
			if p.VM == vm || (k < peersPerKind) != (p.FailureDomain == domain) {
				t.Errorf("%s of %s gets %+v at position %d", vm, domain, p, k)
			}
		}
		if peersDigest(peers) != peersDigest(table.choose(vm, domain, now)) {
			t.Errorf("the peers of %s change without a reason", vm)
		}
	}
	for _, vm := range []string{"vm0", "vm10", "gone", "without address"} {
		if uses[vm] > 0 {
			t.Errorf("%s takes no requests and is named %d times", vm, uses[vm])
		}
	}
	const mean = vms * 2 * peersPerKind / (vms * 9 / 10)
	for vm, n := range uses {
		if n > 3*mean {
			t.Errorf("%s is named %d times, the mean is %d", vm, n, mean)
		}
	}
}
