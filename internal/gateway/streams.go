package gateway

import (
	"context"
	"time"

	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
)

// streamCallTimeout limits a call to the leader about a stream. A commit takes some milliseconds.
const streamCallTimeout = 400 * time.Millisecond

// streamRecords implements forward.StreamRecords with the replicated state: the VM that began a stream may be gone when
// its caller takes the stream up at another one.
type streamRecords struct{ gateway *Gateway }

// Begin implements forward.StreamRecords.
func (s streamRecords) Begin(ctx context.Context, attempt string, server fleet.Server) error {
	q := coordinator.BeginStreamRequest{Attempt: attempt, Software: server.Software, Server: server.ID, Incarnation: server.Incarnation}
	_, err := callLeader[coordinator.BeginStreamRequest, coordinator.Empty](ctx, s.gateway, coordinator.MethodBeginStream, q, streamCallTimeout)
	return err
}

// Find implements forward.StreamRecords.
func (s streamRecords) Find(ctx context.Context, attempt string) (forward.StreamBegin, error) {
	r, err := callLeader[coordinator.FindStreamRequest, coordinator.FindStreamReply](ctx, s.gateway, coordinator.MethodFindStream, coordinator.FindStreamRequest{Attempt: attempt}, streamCallTimeout)
	if err == nil && !r.Known {
		err = errs.New(errs.NotFound, "begin the stream again", "nothing is known of the begin of stream %q", attempt)
	}
	return forward.StreamBegin{Software: r.Software, Servers: r.Servers, ServersKnown: r.ServersKnown}, err
}
