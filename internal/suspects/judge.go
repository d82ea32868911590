package suspects

import "time"

const (
	// MaxCrashes is the number of servers that may end under a request before it is refused.
	MaxCrashes = 3
	// RefusalDuration is how long a request is refused after its last crash. It doubles with each crash beyond MaxCrashes,
	// so that a release that mends the servers lets the request run again, and one that does not loses few servers.
	RefusalDuration = 10 * time.Minute
	// Lifetime is how long reports are kept, so that the refusal can double.
	Lifetime = 24 * time.Hour
	// maxDoublings keeps the refusal shorter than Lifetime.
	maxDoublings = 6
)

// Verdict tells how a request may run.
type Verdict int

// Verdicts.
const (
	Free    Verdict = iota
	NoHedge         // on one server at a time
	Alone           // on one server at a time, and not beside another request with this verdict
	Refused         // on no server
)

// Judge returns the verdict on a request under which count servers ended, the last of them before sinceLast. For Refused
// it also returns the time until the request may run again.
func Judge(count int, sinceLast time.Duration) (Verdict, time.Duration) {
	switch {
	case count == 0:
		return Free, 0
	case count < MaxCrashes-1:
		return NoHedge, 0
	case count < MaxCrashes:
		return Alone, 0
	}
	if left := RefusalDuration<<min(count-MaxCrashes, maxDoublings) - sinceLast; left > 0 {
		return Refused, left
	}
	return Alone, 0
}
