package rollout

import (
	"cmp"
	"maps"
	"slices"

	"filbertledge/internal/fleet"
)

// maxDepartures bounds the list of departed server incarnations, which cannot be registered again. The oldest
// entries can be dropped, because a departed incarnation sends no more announcements.
const maxDepartures = 2048

func (s *State) recordDeparture(d ServerIncarnation) Outcome {
	for _, known := range s.departures {
		if known == d {
			return Outcome{Found: true}
		}
	}
	s.departures = append(s.departures, d)
	s.unregisterServers([]ServerIncarnation{d})
	if len(s.departures) > maxDepartures {
		s.departures = slices.Clone(s.departures[1:])
	}
	return Outcome{Changed: true, Found: true}
}

// returnServer ends the departures of a server and registers it again. A departure with a later incarnation ends too: it can only
// be one for which an earlier build, which did not know the incarnation, recorded the time of day.
func (s *State) returnServer(server fleet.Server) Outcome {
	s.departures = slices.DeleteFunc(s.departures, func(d ServerIncarnation) bool {
		return d.Server == server.ID && d.Incarnation >= server.Incarnation
	})
	return s.registerServer(server)
}

// registerServer keeps only the newest incarnation of a server, and only one server for each address.
func (s *State) registerServer(server fleet.Server) Outcome {
	if s.servers[server.ID].Incarnation > server.Incarnation || slices.Contains(s.departures, ServerIncarnation{Server: server.ID, Incarnation: server.Incarnation}) {
		return Outcome{Found: true}
	}
	for id, other := range s.servers {
		if other.Address == server.Address && other.Incarnation <= server.Incarnation {
			delete(s.servers, id)
		}
	}
	s.servers[server.ID] = server
	return Outcome{Changed: true, Found: true}
}

func (s *State) unregisterServers(list []ServerIncarnation) Outcome {
	o := Outcome{Found: true}
	for _, d := range list {
		if v, ok := s.servers[d.Server]; ok && v.Incarnation <= d.Incarnation {
			delete(s.servers, d.Server)
			delete(s.limits, d.Server)
			o.Changed = true
		}
	}
	return o
}

// LastDeparture returns the newest incarnation of a server that is leaving or has left.
func (s *State) LastDeparture(id string) (incarnation int64, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, d := range s.departures {
		if d.Server == id && (!found || d.Incarnation > incarnation) {
			incarnation, found = d.Incarnation, true
		}
	}
	return incarnation, found
}

// IsRegistered reports whether this start of a server is registered.
func (s *State) IsRegistered(id string, incarnation int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.servers[id]
	return ok && v.Incarnation == incarnation
}

// Servers returns the registered servers that have neither departed nor expired, ordered by ID.
func (s *State) Servers() []fleet.Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedServers()
}

func (s *State) sortedServers() []fleet.Server {
	return slices.SortedFunc(maps.Values(s.servers), func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
}
