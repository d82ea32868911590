package rollout

import (
	"filbertledge/internal/errs"
	"filbertledge/internal/routes"
)

// checkVersion returns an error if what requires the given version of the state needs a newer build.
func checkVersion(requires uint64, what string) error {
	if requires <= StateVersion {
		return nil
	}
	return errs.New(errs.StateTooNew, "start a build that understands it", "%s requires version %d of the state; this build understands version %d", what, requires, StateVersion)
}

// complete returns the configuration with everything that its document holds, if an earlier build parsed it.
func (s *State) complete(c *routes.Configuration) *routes.Configuration {
	if c == nil || c.Schema >= routes.CurrentSchema || len(c.Document) == 0 || s.ParseDocument == nil {
		return c
	}
	parsed, err := s.ParseDocument(c.Document)
	if err == nil && parsed.Version == c.Version {
		return parsed
	}
	// The earlier build accepted what this one does not.
	if s.OnDocumentRejected != nil {
		s.OnDocumentRejected(c.Version, err)
	}
	return c
}

// MemberVersion returns the version of the state that a member understands, as far as it is recorded.
func (s *State) MemberVersion(member uint64) (version uint64, known bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	version, known = s.memberVersions[member]
	return version, known
}
