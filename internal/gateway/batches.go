package gateway

import (
	"context"
	"time"

	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/link"
	"filbertledge/internal/rollout"
)

const (
	// callTimeout bounds a call of a batch at the leader beyond the wait that the caller asks for.
	callTimeout = 1500 * time.Millisecond
	// MaxPageBytes bounds the texts of one answer.
	MaxPageBytes = 900 << 10
)

// SubmitBatch hands a batch to the leader. It returns nil once the batch is durable. An error of the kind
// errs.Unavailable or errs.NotLeader promises that the batch was not accepted by this call.
func (g *Gateway) SubmitBatch(ctx context.Context, b *rollout.Batch) error {
	_, err := callLeader[*rollout.Batch, coordinator.Empty](ctx, g, coordinator.MethodSubmitBatch, b, callTimeout)
	g.noteBatch(events.BatchAccepted, b.ID, err)
	return err
}

// ReadBatch returns results of a batch.
func (g *Gateway) ReadBatch(ctx context.Context, batch string, after int, wait time.Duration) (coordinator.ReadBatchReply, error) {
	q := coordinator.ReadBatchRequest{Batch: batch, After: after, MaxWait: wait, MaxBytes: MaxPageBytes}
	r, err := callLeader[coordinator.ReadBatchRequest, coordinator.ReadBatchReply](ctx, g, coordinator.MethodReadBatch, q, wait+callTimeout)
	if err != nil {
		g.noteBatch(events.RequestFailed, batch, err)
	}
	return r, err
}

// ItemBody returns the body of an item that is not listed yet.
func (g *Gateway) ItemBody(ctx context.Context, batch, item string) (coordinator.ItemBodyReply, error) {
	q := coordinator.ItemBodyRequest{Batch: batch, Item: item}
	r, err := callLeader[coordinator.ItemBodyRequest, coordinator.ItemBodyReply](ctx, g, coordinator.MethodItemBody, q, callTimeout)
	if err != nil {
		g.noteBatch(events.RequestFailed, item, err)
	}
	return r, err
}

// EndBatch ends a batch. The error is of the kind errs.NotFound if it does not exist.
func (g *Gateway) EndBatch(ctx context.Context, batch string) error {
	_, err := callLeader[coordinator.EndBatchRequest, coordinator.Empty](ctx, g, coordinator.MethodEndBatch, coordinator.EndBatchRequest{Batch: batch}, callTimeout)
	g.noteBatch(events.BatchEnded, batch, err)
	return err
}

func (g *Gateway) noteBatch(name events.Name, batch string, err error) {
	e := events.Event{Name: name, Request: batch, Detail: "leader at " + g.currentLeader()}
	if err != nil {
		e.Name, e.Detail = events.RequestFailed, err.Error()
	}
	g.opts.Events.Record(e)
}

// callLeader makes one call. A call that certainly did not run is made once more at the new leader.
func callLeader[Q, R any](ctx context.Context, g *Gateway, method string, q Q, timeout time.Duration) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var none R
	for first := true; ; first = false {
		leader, err := g.waitLeader(ctx)
		if err != nil {
			return none, err
		}
		r, err := link.Call[Q, R](ctx, g.client, leader, method, q)
		notRun := errs.Is(err, errs.NotLeader) || errs.Is(err, errs.Unavailable)
		if !notRun || !first {
			return r, err
		}
		sleep(ctx, retryPause)
	}
}
