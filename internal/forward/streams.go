package forward

import (
	"context"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
)

// TakeUp names the stream that a request continues.
type TakeUp struct {
	// Attempt is the ID of the caller's attempt that brought the first event of the stream; empty if the caller does not
	// name it.
	Attempt string
}

// softwareValidity is how long a VM may act on what the leader said of a stream. A VM that stood still meanwhile asks again.
const softwareValidity = 500 * time.Millisecond

// StreamBegin is what the leader knows of the begin of a stream.
type StreamBegin struct {
	Software string // version that began the stream
	// Servers are the servers of that version, of all services, that the leader knows. They are unknown, and not none, if
	// ServersKnown is false, because an older build answered.
	Servers      []fleet.Server
	ServersKnown bool
}

// StreamRecords keeps, for resumable streams, which version of the servers' software began them. What two versions write
// does not fit together, and servers do not check it.
type StreamRecords interface {
	// Begin records that a server began a stream and returns nil once every VM can know it. The error is of kind
	// errs.Conflict if the server has restarted with another version.
	Begin(ctx context.Context, attempt string, server fleet.Server) error
	// Find returns what is known of the begin of a stream. The error is of kind errs.NotFound if nothing is.
	Find(ctx context.Context, attempt string) (StreamBegin, error)
}

// noStreamRecords is the StreamRecords of a VM that forwards no streams.
type noStreamRecords struct{}

func (noStreamRecords) Begin(context.Context, string, fleet.Server) error { return nil }

func (noStreamRecords) Find(_ context.Context, attempt string) (StreamBegin, error) {
	return StreamBegin{}, errs.New(errs.NotFound, "begin the stream again", "no streams are recorded, and so not %q", attempt)
}

// findBegin asks for the software version that must continue the stream and for its servers, unless the last answer still
// counts. Without knowledge the request is refused: a server of another version would go on without an error.
func (f *forwardState) findBegin(ctx context.Context) error {
	now := f.forwarder.opts.Clock()
	if f.request.TakeUp == nil || f.beginFoundAt > 0 && now-f.beginFoundAt < softwareValidity {
		return nil
	}
	begin, err := f.forwarder.opts.Streams.Find(ctx, f.request.TakeUp.Attempt)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "begin the stream again", "the software version that began stream %q cannot be found", f.request.TakeUp.Attempt)
	}
	f.begin, f.beginFoundAt = begin, now
	return nil
}

// mayContinueOn returns the servers that may run the request: those of the version that began its stream, or all. The
// list of this VM may be some seconds old; a server in it may have restarted with another version, and servers may be
// missing. So the leader's list counts, and this VM's only where it is newer.
func (f *forwardState) mayContinueOn(servers []fleet.Server) []fleet.Server {
	if f.request.TakeUp == nil {
		return servers
	}
	if !f.begin.ServersKnown {
		return slices.DeleteFunc(servers, func(s fleet.Server) bool { return s.Software != f.begin.Software })
	}
	own := make(map[string]fleet.Server, len(servers))
	for _, s := range servers {
		own[s.ID] = s
	}
	var out []fleet.Server
	for _, s := range f.begin.Servers {
		if known, found := own[s.ID]; found && known.Incarnation >= s.Incarnation {
			s = known
		}
		if s.Service == f.service && s.Software == f.begin.Software {
			out = append(out, s)
		}
	}
	return out
}

// takeUpPermittedUntil returns the boot time until which a request that continues a stream may be sent.
func (f *forwardState) takeUpPermittedUntil() time.Duration {
	if f.request.TakeUp == nil {
		return 0
	}
	return f.beginFoundAt + softwareValidity
}

// recordStream records the software version that began the stream which the response answers, unless the
// server has restarted since it was chosen, so that its version is uncertain. A stream whose record fails is passed on all
// the same, and cannot be taken up.
func (f *forwardState) recordStream(ctx context.Context, chosen fleet.Server) {
	if !f.route.Resumable || f.request.TakeUp != nil || f.request.ID == "" {
		return
	}
	current, known := f.forwarder.opts.Registry.Get(chosen.ID)
	if chosen.Software == "" || known && current.Incarnation != chosen.Incarnation {
		return
	}
	if err := f.forwarder.opts.Streams.Begin(ctx, f.request.ID, chosen); err != nil {
		f.forwarder.opts.Events.Record(events.Event{Name: events.StreamNotRecorded, Request: f.request.ID, Server: api.ServerID(chosen.ID), Detail: err.Error()})
	}
}
