package gateway

import (
	"context"
	"time"

	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
)

// streamCallTimeout limits a call to the leader about a stream. A commit takes some milliseconds.
const streamCallTimeout = 400 * time.Millisecond

// streamRecords implements forward.StreamRecords with the replicated state: the VM that began a stream may be gone when
// its caller takes the stream up at another one.
type streamRecords struct{ gateway *Gateway }

// Begin implements forward.StreamRecords.
func (s streamRecords) Begin(ctx context.Context, attempt, software string) error {
	_, err := callLeader[coordinator.BeginStreamRequest, coordinator.Empty](ctx, s.gateway, coordinator.MethodBeginStream, coordinator.BeginStreamRequest{Attempt: attempt, Software: software}, streamCallTimeout)
	return err
}

// Software implements forward.StreamRecords.
func (s streamRecords) Software(ctx context.Context, attempt string) (string, error) {
	r, err := callLeader[coordinator.FindStreamRequest, coordinator.FindStreamReply](ctx, s.gateway, coordinator.MethodFindStream, coordinator.FindStreamRequest{Attempt: attempt}, streamCallTimeout)
	if err == nil && !r.Known {
		err = errs.New(errs.NotFound, "begin the stream again", "nothing is known of the begin of stream %q", attempt)
	}
	return r.Software, err
}
