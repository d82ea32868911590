package fleet

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"filbertledge/internal/errs"
)

// Limits of what a server announces. An entry beyond them was not written by a server: it would take memory on every VM,
// or hide the entries of the server whose ID or address it names.
const (
	// maxNameBytes bounds IDs and names.
	maxNameBytes = 256
	maxSlots     = 1 << 16 // concurrent requests
	maxModels    = 1024
	// maxCount bounds sequence numbers and versions. Larger integers are not exact in every writer of JSON.
	maxCount = 1 << 53
	// maxStartLead is how far the clock of a server may be ahead of that of a VM.
	maxStartLead = 24 * time.Hour
)

// Validate returns an error of the kind errs.InvalidArgument if a server with these values cannot be used.
func (s *Server) Validate() error {
	for name, value := range map[string]string{"ID": s.ID, "service": s.Service, "failure domain": s.FailureDomain, "software version": s.Software} {
		if err := validateName(value); err != nil {
			return invalidServer(s, "%s: %v", name, err)
		}
	}
	if s.ID == "" || s.Service == "" {
		return invalidServer(s, "the ID or the service is missing")
	}
	if address, err := netip.ParseAddrPort(s.Address); err != nil || address.Port() == 0 {
		return invalidServer(s, "address %.100q is not IP:port", s.Address)
	}
	if s.Slots < 0 || s.Slots > maxSlots {
		return invalidServer(s, "%d slots are not between 0 and %d", s.Slots, maxSlots)
	}
	if s.Incarnation < 0 || s.Sequence > maxCount {
		return invalidServer(s, "start time %d is negative, or sequence number %d exceeds %d", s.Incarnation, s.Sequence, uint64(maxCount))
	}
	if s.LeavesIn < 0 {
		return invalidServer(s, "it leaves in %s", s.LeavesIn)
	}
	if len(s.Models) > maxModels {
		return invalidServer(s, "%d models exceed %d", len(s.Models), maxModels)
	}
	for _, m := range s.Models {
		if err := validateName(m.Name); err != nil {
			return invalidServer(s, "model: %v", err)
		}
		if m.Version > maxCount {
			return invalidServer(s, "version %d of model %q exceeds %d", m.Version, m.Name, uint64(maxCount))
		}
	}
	return nil
}

// ValidateStart returns an error of the kind errs.InvalidArgument if a server cannot have started at the given time in Unix
// milliseconds: one too far ahead of the time now would hide all real starts of the server.
func ValidateStart(id string, incarnation int64, now time.Time) error {
	s := &Server{ID: id, Incarnation: incarnation}
	if incarnation < 0 {
		return invalidServer(s, "start time %d is negative", incarnation)
	}
	if latest := now.Add(maxStartLead).UnixMilli(); incarnation > latest {
		return invalidServer(s, "start time %d is more than %s ahead", incarnation, maxStartLead)
	}
	return nil
}

// ValidateID returns an error of the kind errs.InvalidArgument if no server can have the given ID.
func ValidateID(id string) error {
	if err := validateName(id); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "send the ID of a server", "server ID %.100q is invalid", id)
	}
	return nil
}

// validateName checks text that other VMs must be able to decode and that logs show.
func validateName(name string) error {
	switch {
	case len(name) > maxNameBytes:
		return errs.New(errs.InvalidArgument, "use a shorter name", "%d bytes exceed %d", len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return errs.New(errs.InvalidArgument, "use UTF-8 without control characters", "%q is not printable text", name)
	}
	return nil
}

func invalidServer(s *Server, format string, args ...any) error {
	return errs.Wrap(errs.New(errs.InvalidArgument, "correct the server's announcement", format, args...), errs.InvalidArgument, "correct the server's announcement", "server %.100q cannot be used", s.ID)
}
