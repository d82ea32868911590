package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/rollout"
)

const (
	// batchCallTimeout limits a batch call to the leader, in addition to the wait time that the caller asks for.
	batchCallTimeout = 1500 * time.Millisecond
	// itemBodyPartTimeout limits the reading of one part of an item's body, with the repeated calls to the leader.
	itemBodyPartTimeout = 3 * time.Second
	// minRoomRetryDelay and maxRoomRetryDelay bound the random delay after which a trainer whose batch found no room should
	// submit it again. The room comes back when another trainer's step ends.
	minRoomRetryDelay = 500 * time.Millisecond
	maxRoomRetryDelay = 1500 * time.Millisecond
	// MaxPageBytes limits the total size of the result texts in one page of batch results.
	MaxPageBytes = 900 << 10
)

// SubmitBatch sends a batch to the leader and returns nil once the batch is durable. An error of kind
// errs.Unavailable, errs.NotLeader or errs.Overloaded guarantees that this call did not add the batch.
func (g *Gateway) SubmitBatch(ctx context.Context, caller *Caller, b *rollout.Batch) error {
	b, err := g.prepareBatch(ctx, caller, b)
	if errs.Is(err, errs.OutcomeUnknown) || errs.Is(err, errs.NotFound) {
		// Nothing of the batch exists before it is submitted.
		err = errs.Wrap(err, errs.Unavailable, "submit the batch again", "batch %s was not submitted", b.ID)
	}
	if err == nil {
		_, err = callLeaderFor[*rollout.Batch, coordinator.Empty](ctx, g, caller, coordinator.MethodSubmitBatch, b, batchCallTimeout)
	}
	g.recordBatchEvent(events.BatchAccepted, b.ID, err)
	if errs.Is(err, errs.Overloaded) {
		err = forward.NewRefusedError(err, minRoomRetryDelay+rand.N(maxRoomRetryDelay-minRoomRetryDelay))
	}
	return err
}

// prepareBatch asks the leader for room for a large batch, so that it is not sent in vain, and stores its bodies. It returns
// the batch to submit.
func (g *Gateway) prepareBatch(ctx context.Context, caller *Caller, b *rollout.Batch) (*rollout.Batch, error) {
	bytes := b.RequestBytes()
	if bytes < coordinator.LargeBatchBytes {
		return b, nil
	}
	q := coordinator.ReserveBatchRequest{Batch: b.ID, Bytes: bytes, BodyBytes: b.BodyBytes()}
	reply, err := callLeaderFor[coordinator.ReserveBatchRequest, coordinator.ReserveBatchReply](ctx, g, caller, coordinator.MethodReserveBatch, q, batchCallTimeout)
	switch {
	case errs.Is(err, errs.NotFound):
		return b, nil // a leader of an older build
	case err != nil || !reply.StoresBodies:
		return b, err
	}
	stripped, forEachPart := coordinator.SplitBodies(b)
	if reply.Known {
		return stripped, nil // its bodies are stored
	}
	return stripped, g.storeBodies(ctx, caller, q, forEachPart)
}

// storeBodies stores the bodies of a batch part by part. A part that was not stored, or may not have been, is sent again.
func (g *Gateway) storeBodies(ctx context.Context, caller *Caller, size coordinator.ReserveBatchRequest, forEachPart func(func(rollout.BodyPart) error) error) error {
	return forEachPart(func(part rollout.BodyPart) error {
		q := coordinator.StoreBodiesRequest{Size: size, Part: part}
		for {
			_, err := callLeaderFor[coordinator.StoreBodiesRequest, coordinator.Empty](ctx, g, caller, coordinator.MethodStoreBodies, q, batchCallTimeout)
			again := errs.Is(err, errs.OutcomeUnknown) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.NotLeader)
			if !again || ctx.Err() != nil {
				return err
			}
			forward.SleepWithJitter(ctx, leaderRetryDelay)
		}
	})
}

// ReadBatch returns the results of a batch that follow position after. If there are none yet, it waits up to wait. A batch
// of another workspace is not found.
func (g *Gateway) ReadBatch(ctx context.Context, caller *Caller, batch string, after int, wait time.Duration) (coordinator.ReadBatchReply, error) {
	q := coordinator.ReadBatchRequest{Workspace: caller.Workspace, Batch: batch, After: after, MaxWait: wait, MaxBytes: MaxPageBytes}
	r, err := callLeaderFor[coordinator.ReadBatchRequest, coordinator.ReadBatchReply](ctx, g, caller, coordinator.MethodReadBatch, q, wait+batchCallTimeout)
	if errs.Is(err, errs.OutcomeUnknown) {
		err = errs.Wrap(err, errs.Unavailable, "read again", "the leader did not answer the read of batch %s", batch)
	}
	if err == nil {
		err = caller.Check() // the key may have been removed during the wait for results
	}
	if err != nil {
		g.recordBatchEvent(events.RequestFailed, batch, err)
	}
	return r, err
}

// ItemBodyPartBytes is the size of the parts in which the request body of a batch item is read from the leader.
const ItemBodyPartBytes = 128 << 10

// ItemBody is the request body of a batch item. Unless all of it is in the first part, it is read from the leader part by part.
type ItemBody struct {
	Length int // bytes

	ctx     context.Context
	gateway *Gateway
	caller  *Caller
	next    coordinator.ItemBodyRequest // the next part
	part    []byte                      // what is left of the present part
}

// ItemBody returns the request body of a batch item whose result is not listed yet. It returns nil if there is no such item.
// ctx must not end before the body has been read.
func (g *Gateway) ItemBody(ctx context.Context, caller *Caller, batch, item string) (*ItemBody, error) {
	b := &ItemBody{ctx: ctx, gateway: g, caller: caller, next: coordinator.ItemBodyRequest{Workspace: caller.Workspace, Batch: batch, Item: item, MaxBytes: ItemBodyPartBytes}}
	found, err := b.readPart()
	if err != nil || !found {
		return nil, err
	}
	return b, nil
}

// Whole returns the body if all of it is in memory.
func (b *ItemBody) Whole() (body []byte, ok bool) { return b.part, b.next.Offset == b.Length }

// Read implements io.Reader. It fails if the item's result is listed meanwhile.
func (b *ItemBody) Read(p []byte) (int, error) {
	if len(b.part) == 0 {
		if b.next.Offset == b.Length {
			return 0, io.EOF
		}
		found, err := b.readPart()
		if err == nil && (!found || len(b.part) == 0) {
			err = errs.New(errs.NotFound, "read the results of the batch", "item %q of batch %q is not open any more", b.next.Item, b.next.Batch)
		}
		if err != nil {
			return 0, err
		}
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// readPart reads the next part. After the first one, whose failure the caller can be told, a failed call is repeated while there
// is time.
func (b *ItemBody) readPart() (found bool, err error) {
	ctx, cancel := context.WithTimeout(b.ctx, itemBodyPartTimeout)
	defer cancel()
	for {
		r, err := callLeaderFor[coordinator.ItemBodyRequest, coordinator.ItemBodyReply](ctx, b.gateway, b.caller, coordinator.MethodItemBody, b.next, batchCallTimeout)
		if err == nil {
			b.part, b.Length = partOf(r, b.next.Offset)
			b.next.Offset += len(b.part)
			return r.Found, nil
		}
		again := errs.Is(err, errs.OutcomeUnknown) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.NotLeader)
		if b.next.Offset == 0 || !again || ctx.Err() != nil {
			b.gateway.recordBatchEvent(events.RequestFailed, b.next.Item, err)
			if errs.Is(err, errs.OutcomeUnknown) {
				err = errs.Wrap(err, errs.Unavailable, "read again", "the leader did not answer the read of item %s", b.next.Item)
			}
			return false, err
		}
		forward.SleepWithJitter(ctx, leaderRetryDelay)
	}
}

// partOf returns the part of a body that was asked for at offset, and the length of the body. A leader of an earlier build sends
// the whole body whatever the offset, and no length.
func partOf(r coordinator.ItemBodyReply, offset int) (part []byte, length int) {
	if r.Length > 0 {
		return r.Body, r.Length
	}
	return r.Body[min(offset, len(r.Body)):], len(r.Body)
}

// EndBatch ends a batch. The error is of kind errs.NotFound if the batch does not exist.
func (g *Gateway) EndBatch(ctx context.Context, caller *Caller, batch string) error {
	q := coordinator.EndBatchRequest{Batch: batch, Workspace: caller.Workspace}
	_, err := callLeaderFor[coordinator.EndBatchRequest, coordinator.Empty](ctx, g, caller, coordinator.MethodEndBatch, q, batchCallTimeout)
	g.recordBatchEvent(events.BatchEnded, batch, err)
	return err
}

// recordBatchEvent records an event about the batch or batch item id, or events.RequestFailed if err is not nil.
func (g *Gateway) recordBatchEvent(name events.Name, id string, err error) {
	e := events.Event{Name: name, Request: id, Detail: "leader at " + g.currentLeader()}
	if err != nil {
		e.Name, e.Detail = events.RequestFailed, err.Error()
	}
	if reason := refusalReason(err); reason != "" {
		e.Name, e.Reason = events.KeyRefused, reason
	}
	g.opts.Events.Record(e)
}

// callLeader calls a method of the leader. If the call certainly did not run, it is retried once, at the leader that
// is known by then.
func callLeader[Q, R any](ctx context.Context, g *Gateway, method string, request Q, timeout time.Duration) (R, error) {
	return callLeaderFor[Q, R](ctx, g, nil, method, request, timeout)
}

// callLeaderFor is callLeader for a caller, which may be nil. Its key must still be valid when a leader has been found.
func callLeaderFor[Q, R any](ctx context.Context, g *Gateway, caller *Caller, method string, request Q, timeout time.Duration) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var zero R
	for first := true; ; first = false {
		leader, err := g.waitForLeader(ctx)
		if err != nil {
			return zero, err
		}
		if caller != nil {
			if err := caller.Check(); err != nil {
				return zero, err
			}
		}
		reply, err := link.Call[Q, R](ctx, g.client, leader, method, request)
		notRun := errs.Is(err, errs.NotLeader) || errs.Is(err, errs.Unavailable)
		if !notRun || !first {
			return reply, err
		}
		forward.SleepWithJitter(ctx, leaderRetryDelay)
	}
}
