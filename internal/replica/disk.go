package replica

import (
	"fmt"
	"time"

	"filbertledge/internal/events"
)

// slowSyncThreshold is the duration from which a sync is recorded as slow: a third of the 600 ms leader lease that
// package coordinator sets, because a sync delays the renewal of the lease. A sync of a healthy disk takes 2 to 10 ms
// on the VMs that run the service.
const slowSyncThreshold = 200 * time.Millisecond

// recordSlowSync records an event if a sync took at least slowSyncThreshold. The replica handles no messages during a
// sync.
func (r *Replica) recordSlowSync(took time.Duration, what string) {
	if took >= slowSyncThreshold {
		r.recordEvent(events.SlowSync, r.self.Name, fmt.Sprintf("%s took %s", what, took.Round(time.Millisecond)))
	}
}
