package forward

import (
	"context"

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

// StreamRecords keeps, for resumable streams, which version of the servers' software began them. What two versions write
// does not fit together, and servers do not check it.
type StreamRecords interface {
	// Begin records the version that began a stream and returns nil once every VM can know it.
	Begin(ctx context.Context, attempt, software string) error
	// Software returns the version that began a stream. The error is of kind errs.NotFound if that is not known.
	Software(ctx context.Context, attempt string) (string, error)
}

// noStreamRecords is the StreamRecords of a VM that forwards no streams.
type noStreamRecords struct{}

func (noStreamRecords) Begin(context.Context, string, string) error { return nil }

func (noStreamRecords) Software(_ context.Context, attempt string) (string, error) {
	return "", errs.New(errs.NotFound, "begin the stream again", "no streams are recorded, and so not %q", attempt)
}

// findSoftware finds the software version that must continue the stream. Without knowledge the request is refused: a
// server of another version would go on without an error.
func (f *forwardState) findSoftware(ctx context.Context) error {
	if f.request.TakeUp == nil {
		return nil
	}
	software, err := f.forwarder.opts.Streams.Software(ctx, f.request.TakeUp.Attempt)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "begin the stream again", "the software version that began stream %q cannot be found", f.request.TakeUp.Attempt)
	}
	f.software = software
	return nil
}

// ofSoftware returns the servers that may run the request: those of the version that began its stream, or all.
func (f *forwardState) ofSoftware(servers []fleet.Server) []fleet.Server {
	if f.request.TakeUp == nil {
		return servers
	}
	var out []fleet.Server
	for _, s := range servers {
		if s.Software == f.software {
			out = append(out, s)
		}
	}
	return out
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
	if err := f.forwarder.opts.Streams.Begin(ctx, f.request.ID, chosen.Software); err != nil {
		f.forwarder.opts.Events.Record(events.Event{Name: events.StreamNotRecorded, Request: f.request.ID, Detail: err.Error()})
	}
}
