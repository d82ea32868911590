package rollout

import (
	"cmp"
	"maps"
	"slices"

	"filbertledge/internal/api"
	"filbertledge/internal/suspects"
)

// maxCrashReports bounds the stored reports. The oldest give way.
const maxCrashReports = 1024

// CrashReport is a suspects.Report, stored so that a new leader knows the requests that crash servers.
type CrashReport struct {
	Report suspects.Report `cbor:"1,keyasint"`
	At     int64           `cbor:"2,keyasint"` // time of day of the leader when the connection was lost, in Unix milliseconds
}

// crashKey identifies a report: one request on one start of a server.
type crashKey struct {
	request     uint64
	server      api.ServerID
	incarnation uint64
}

func (r CrashReport) key() crashKey {
	return crashKey{r.Report.Request, r.Report.Server, r.Report.Incarnation}
}

// storeSuspects keeps the reports that are not cleared.
func (s *State) storeSuspects(list []CrashReport) Outcome {
	for _, r := range list {
		if r.Report.Cleared {
			delete(s.suspects, r.key())
			continue
		}
		s.suspects[r.key()] = r
	}
	if excess := len(s.suspects) - maxCrashReports; excess > 0 {
		for _, r := range s.sortedSuspects()[:excess] {
			delete(s.suspects, r.key())
		}
	}
	return Outcome{Found: true}
}

// Suspects returns the stored reports, the oldest first.
func (s *State) Suspects() []CrashReport {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedSuspects()
}

func (s *State) sortedSuspects() []CrashReport {
	return slices.SortedFunc(maps.Values(s.suspects), func(a, b CrashReport) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Report.Request, b.Report.Request), cmp.Compare(a.Report.Server, b.Report.Server), cmp.Compare(a.Report.Incarnation, b.Report.Incarnation))
	})
}
