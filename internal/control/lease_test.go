package control

import (
	"context"
	"io"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

func newClientWithRPC(clock *fakeClock, call RPCFunc) *RemoteClient {
	return NewRemoteClient(RemoteClientOptions{
		VM: api.VM{ID: "one", Incarnation: 1}, Replicas: []ReplicaAddress{{Address: "a"}}, SendRPC: call, Clock: clock.Now,
		Events: events.NewRecorder("one", io.Discard),
	})
}

func watchResponseOf(version uint64, priority int) WatchResponse {
	row := testRow("chat", priority)
	row.Version = version
	return WatchResponse{TableVersion: version, Rows: []table.Row{row}}
}

// TestTableLeaseStartsWhenPollIsSent guards against a VM that trusts a table for longer than 3 s after it was
// confirmed: the response may have been in transit for any time, and the process may have been suspended.
func TestTableLeaseStartsWhenPollIsSent(t *testing.T) {
	const leaseLength = 2940 * time.Millisecond // 3 s less 2%
	tests := []struct {
		name                          string
		sentAt, receivedAt, checkedAt time.Duration
		wantValid                     bool
	}{
		{"just sent", 0, 0, 0, true},
		{"just before expiry", 0, 0, leaseLength - 1, true},
		{"expired", 0, 0, leaseLength, false},
		{"slow response", 0, 2 * time.Second, leaseLength - 1, true},
		{"slow response, expired", 0, 2 * time.Second, leaseLength, false},
		{"suspended before the response is read", 0, time.Minute, time.Minute, false},
		{"suspended after the response is read", time.Second, time.Second, time.Minute, false},
	}
	for _, tt := range tests {
		clock := &fakeClock{now: time.Hour}
		r := newClientWithRPC(clock, nil)
		if r.TableLeaseValid() {
			t.Fatal("the lease is valid without any response")
		}
		clock.Advance(tt.receivedAt)
		if err := r.applyResponse(watchResponseOf(1, 0), time.Hour+tt.sentAt); err != nil {
			t.Fatal(err)
		}
		clock.Advance(tt.checkedAt - tt.receivedAt)
		if r.TableLeaseValid() != tt.wantValid {
			t.Errorf("%s: lease valid %v, want %v", tt.name, r.TableLeaseValid(), tt.wantValid)
		}
	}
}

// TestTableLeaseAllowsForClockDrift guards against a lease that lasts longer than 3 s of real time on a clock that is
// 1% slow.
func TestTableLeaseAllowsForClockDrift(t *testing.T) {
	local := leaseEnd(0).Seconds()
	const slowClockRate = 0.99
	if realTime := local / slowClockRate; realTime > TableLeaseDuration.Seconds() {
		t.Fatalf("the lease lasts %.3f s of real time", realTime)
	}
}

// TestTableVersionNeverDecreases guards against a VM that accepts an older table from a lagging replica, or renews its
// lease with it.
func TestTableVersionNeverDecreases(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := newClientWithRPC(clock, nil)
	var seen []uint64
	r.OnTableUpdate(func(s *table.Snapshot) { seen = append(seen, s.Version()) })
	if err := r.applyResponse(watchResponseOf(5, 5), clock.Now()); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2 * time.Second)
	if err := r.applyResponse(watchResponseOf(4, 4), clock.Now()); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("older response: %v", err)
	}
	clock.Advance(2 * time.Second)
	if row, _ := r.Table().Row("chat"); row.Priority != 5 || r.TableLeaseValid() {
		t.Fatalf("row %+v, lease valid %v", row, r.TableLeaseValid())
	}
	if err := r.applyResponse(watchResponseOf(6, 6), clock.Now()); err != nil || !r.TableLeaseValid() {
		t.Fatalf("newer response: %v, lease valid %v", err, r.TableLeaseValid())
	}
	if len(seen) != 2 || seen[0] != 5 || seen[1] != 6 {
		t.Fatalf("callbacks saw %v", seen)
	}
	late := 0
	r.OnTableUpdate(func(*table.Snapshot) { late++ })
	if late != 1 {
		t.Fatal("a callback that is registered later does not receive the current table")
	}
}

// TestWaitForTableLeaseBlocksUntilFirstTable guards against callers that start without a table, or that hang although
// ctx has ended.
func TestWaitForTableLeaseBlocksUntilFirstTable(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := newClientWithRPC(clock, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := r.WaitForTableLease(ctx); !errs.Is(err, errs.StaleTable) {
		t.Fatalf("without a response: %v", err)
	}
	done := make(chan error)
	go func() { done <- r.WaitForTableLease(context.Background()) }()
	if err := r.applyResponse(watchResponseOf(1, 0), clock.Now()); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestDoReportsUnknownOutcomeAfterLostResponse guards against a command that is reported as not applied although it
// may have been applied.
func TestDoReportsUnknownOutcomeAfterLostResponse(t *testing.T) {
	clock := startClock()
	publish := Command{PublishWeights: &PublishWeights{Model: "tutor", Version: 3}}
	tests := []struct {
		name    string
		prepare func(c *fakeCluster)
		kind    errs.Kind
		applied bool
	}{
		{"first replica is not the leader", func(c *fakeCluster) { c.leader = 2 }, "", true},
		{"response is lost once", func(c *fakeCluster) { c.loseNextResponse = true }, "", true},
		{"no replica can be reached", func(c *fakeCluster) { c.cut["a"], c.cut["b"], c.cut["c"] = true, true, true }, errs.Unavailable, false},
		{"leader cannot be reached", func(c *fakeCluster) { c.leader, c.cut["c"] = 2, true }, errs.Unavailable, false},
		{"leader becomes unreachable after the response is lost", func(c *fakeCluster) {
			c.loseNextResponse = true
			c.afterLoss = func() { c.cut["a"] = true }
		}, errs.OutcomeUnknown, true},
	}
	for _, tt := range tests {
		c := newFakeCluster(t, 3, clock)
		tt.prepare(c)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := newTestClient(c, "one", clock).Do(ctx, publish)
		cancel()
		kind := errs.Kind("")
		if err != nil {
			kind = errs.KindOf(err)
		}
		if kind != tt.kind || (len(c.log) > 0) != tt.applied {
			t.Errorf("%s: %v, applied %v; want kind %q, applied %v", tt.name, err, len(c.log) > 0, tt.kind, tt.applied)
		}
	}
	c := newFakeCluster(t, 1, clock)
	res, err := newTestClient(c, "one", clock).Do(context.Background(), edit(idAt(time.Now(), 1), 4, testRow("chat", 1)))
	if !errs.Is(err, errs.Conflict) || res.Row == nil {
		t.Errorf("a conflict is reported as %v with row %+v", err, res.Row)
	}
}

// TestPollRenewsLeaseFromSendTime guards against a lease that is counted from the arrival of the response.
func TestPollRenewsLeaseFromSendTime(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := newClientWithRPC(clock, func(context.Context, string, string, []byte) ([]byte, error) {
		clock.Advance(2 * time.Second)
		return encodeResponse(watchResponseOf(1, 0), nil, "")
	})
	if err := r.poll(context.Background(), "a", false); err != nil || !r.TableLeaseValid() {
		t.Fatalf("%v, lease valid %v", err, r.TableLeaseValid())
	}
	clock.Advance(time.Second)
	if r.TableLeaseValid() {
		t.Fatal("the lease is valid 3 s after the poll was sent")
	}
}
