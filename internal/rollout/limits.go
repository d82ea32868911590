package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// ServerLimit is the limit that a server states for its requests, stored so that a new leader knows it before it sends
// the first one.
type ServerLimit struct {
	Server    string  `cbor:"1,keyasint"`
	Withdrawn bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	At        int64   `cbor:"4,keyasint"` // time of day of the leader when it learned the limit, in Unix milliseconds
}

// storeLimits keeps the limits of registered servers.
func (s *State) storeLimits(list []ServerLimit) Outcome {
	for _, l := range list {
		if _, registered := s.servers[l.Server]; !registered || l.Withdrawn {
			delete(s.limits, l.Server)
			continue
		}
		s.limits[l.Server] = l
	}
	return Outcome{Found: true}
}

// Limits returns the stored limits of servers, ordered by server.
func (s *State) Limits() []ServerLimit {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedLimits()
}

func (s *State) sortedLimits() []ServerLimit {
	return slices.SortedFunc(maps.Values(s.limits), func(a, b ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
}
