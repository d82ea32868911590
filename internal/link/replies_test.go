package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

// Guards against replies that pile up in memory for a VM that does not read, against one such VM that takes the room of the
// others, and against room that is never given back.
func TestRepliesWaitForRoom(t *testing.T) {
	const replyBytes, limit, calls = 1 << 20, 8 << 20, 40
	s := NewServer()
	s.LimitReplies(limit)
	var built atomic.Int32
	s.HandleRaw("large", func(ctx context.Context, _ []byte) ([]byte, error) {
		if err := ReserveReply(ctx, replyBytes); err != nil {
			return nil, err
		}
		built.Add(1)
		return make([]byte, replyBytes), nil
	})
	addr := startServer(t, s)
	// A peer that sends calls and reads nothing.
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	silent := newConn(nc)
	go silent.writeLoop()
	for i := range calls {
		silent.enqueue(frame{kind: frameRequest, callID: uint64(i + 1), method: "large"})
	}
	time.Sleep(300 * time.Millisecond)
	// The kernel's buffers take some replies.
	if n := built.Load(); n >= calls/2 {
		t.Errorf("%d of %d replies were built for a peer that does not read", n, calls)
	}
	c := newClient(t)
	for range 20 {
		body, err := c.Call(testContext(t), addr, "large", nil)
		if err != nil || len(body) != replyBytes {
			t.Fatalf("call beside a peer that does not read: %d bytes, %v", len(body), err)
		}
	}
	silent.close()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			if _, err := newClient(t).Call(testContext(t), addr, "large", nil); err != nil {
				t.Errorf("call after the other peer has left: %v", err)
			}
		})
	}
	wg.Wait()
	deadline := time.Now().Add(testTimeout)
	for !s.replies.TryAcquire(limit) {
		if time.Now().After(deadline) {
			t.Fatal("room is not given back")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a call that waits for room without end, and against replies that are larger than the room: they must be sent,
// but not several at a time.
func TestReplyWithoutRoomIsUnavailable(t *testing.T) {
	const limit = 100
	s := NewServer()
	s.LimitReplies(limit)
	holds, release := make(chan struct{}, 1), make(chan struct{})
	s.HandleRaw("hold", func(ctx context.Context, _ []byte) ([]byte, error) {
		err := ReserveReply(ctx, 10*limit)
		if err == nil {
			holds <- struct{}{}
			<-release
		}
		return nil, err
	})
	s.HandleRaw("small", func(ctx context.Context, _ []byte) ([]byte, error) { return nil, ReserveReply(ctx, 1) })
	addr, c, other := startServer(t, s), newClient(t), newClient(t)
	held := make(chan error, 1)
	go func() {
		_, err := c.Call(testContext(t), addr, "hold", nil)
		held <- err
	}()
	<-holds
	if _, err := c.Call(testContext(t), addr, "small", nil); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a call on a connection without room: %v", err)
	}
	if _, err := other.Call(testContext(t), addr, "hold", nil); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a second reply larger than the room: %v", err)
	}
	if _, err := other.Call(testContext(t), addr, "small", nil); err != nil {
		t.Errorf("a call on another connection: %v", err)
	}
	close(release)
	if err := <-held; err != nil {
		t.Errorf("a reply larger than the room: %v", err)
	}
	if _, err := c.Call(testContext(t), addr, "small", nil); err != nil {
		t.Errorf("after the room was given back: %v", err)
	}
}

// Guards against requests and replies without a bound in the send queue of a connection, and against small frames and snapshots
// that are refused because of them.
func TestSendQueueIsBoundedInBytes(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := newConn(a) // nothing is written, since writeLoop does not run
	large := frame{kind: frameResponse, body: make([]byte, maxQueuedBytes+1)}
	if !c.enqueue(large) {
		t.Error("a large frame is refused by an empty queue")
	}
	if c.enqueue(frame{kind: frameResponse, body: make([]byte, smallFrameBytes+1)}) {
		t.Error("a full queue accepts another reply")
	}
	if !c.enqueue(frame{kind: framePong}) || !c.enqueue(frame{kind: frameOneWay, body: make([]byte, 1<<20)}) {
		t.Error("a full queue refuses a pong or a one-way message")
	}
	c.dropQueued()
	if n := c.queuedBytes.Load(); n != 0 {
		t.Errorf("%d bytes count as queued in an empty queue", n)
	}
}
