package replica

import (
	"fmt"
	"time"

	"filbertledge/internal/events"
)

// slowSync is the duration of a sync that is recorded: a third of the leader lease, which a sync delays. A sync of a
// disk that works takes 2 to 10 ms on the users' VMs.
const slowSync = 200 * time.Millisecond

// noteSync records that the replica waited long for its disk. The agreement stands still meanwhile.
func (r *Replica) noteSync(took time.Duration, what string) {
	if took >= slowSync {
		r.record(events.SlowSync, r.self.Name, fmt.Sprintf("%s took %s", what, took.Round(time.Millisecond)))
	}
}
