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

func leaseRemote(clock *fakeClock, call RPCFunc) *RemoteClient {
	return NewRemoteClient(RemoteClientOptions{
		VM: api.VM{ID: "one", Incarnation: 1}, Replicas: []ReplicaAddress{{Address: "a"}}, SendRPC: call, Clock: clock.Now,
		Events: events.NewRecorder("one", io.Discard),
	})
}

func answerOf(version uint64, priority int) WatchResponse {
	row := testRow("chat", priority)
	row.Version = version
	return WatchResponse{TableVersion: version, Rows: []table.Row{row}}
}

// TestLeaseCountsFromSending guards against a VM that trusts a table for longer than 3 s after it was confirmed:
// the answer may have been under way for any time, and the process may have been frozen.
func TestLeaseCountsFromSending(t *testing.T) {
	const leaseLength = 2940 * time.Millisecond // 3 s less 2%
	tests := []struct {
		name                string
		sent, arrives, asks time.Duration
		fresh               bool
	}{
		{"just sent", 0, 0, 0, true},
		{"last moment", 0, 0, leaseLength - 1, true},
		{"over", 0, 0, leaseLength, false},
		{"slow answer", 0, 2 * time.Second, leaseLength - 1, true},
		{"slow answer, over", 0, 2 * time.Second, leaseLength, false},
		{"frozen before the answer is read", 0, time.Minute, time.Minute, false},
		{"frozen after the answer is read", time.Second, time.Second, time.Minute, false},
	}
	for _, tt := range tests {
		clock := &fakeClock{now: time.Hour}
		r := leaseRemote(clock, nil)
		if r.TableLeaseValid() {
			t.Fatal("fresh without any answer")
		}
		clock.Advance(tt.arrives)
		if err := r.accept(answerOf(1, 0), time.Hour+tt.sent); err != nil {
			t.Fatal(err)
		}
		clock.Advance(tt.asks - tt.arrives)
		if r.TableLeaseValid() != tt.fresh {
			t.Errorf("%s: fresh %v, want %v", tt.name, r.TableLeaseValid(), tt.fresh)
		}
	}
}

// TestLeaseCoversDrift guards against a lease that outlasts 3 s of true time on a clock that is 1% slow.
func TestLeaseCoversDrift(t *testing.T) {
	local := leaseEnd(0).Seconds()
	if true := local / 0.99; true > TableLeaseDuration.Seconds() {
		t.Fatalf("the lease lasts %.3f s of true time", true)
	}
}

// TestVersionsNeverGoBack guards against a VM that takes an older table from a replica that lags, and against
// one that renews its lease with it.
func TestVersionsNeverGoBack(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := leaseRemote(clock, nil)
	var seen []uint64
	r.OnTableUpdate(func(s *table.Snapshot) { seen = append(seen, s.Version()) })
	if err := r.accept(answerOf(5, 5), clock.Now()); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2 * time.Second)
	if err := r.accept(answerOf(4, 4), clock.Now()); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("older answer: %v", err)
	}
	clock.Advance(2 * time.Second)
	if row, _ := r.Table().Row("chat"); row.Priority != 5 || r.TableLeaseValid() {
		t.Fatalf("row %+v, fresh %v", row, r.TableLeaseValid())
	}
	if err := r.accept(answerOf(6, 6), clock.Now()); err != nil || !r.TableLeaseValid() {
		t.Fatalf("newer answer: %v, fresh %v", err, r.TableLeaseValid())
	}
	if len(seen) != 2 || seen[0] != 5 || seen[1] != 6 {
		t.Fatalf("callbacks saw %v", seen)
	}
	late := 0
	r.OnTableUpdate(func(*table.Snapshot) { late++ })
	if late != 1 {
		t.Fatal("a late callback does not see the current table")
	}
}

// TestWaitFresh guards against callers that start on no table or hang without one.
func TestWaitFresh(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := leaseRemote(clock, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := r.WaitForTableLease(ctx); !errs.Is(err, errs.StaleTable) {
		t.Fatalf("without an answer: %v", err)
	}
	done := make(chan error)
	go func() { done <- r.WaitForTableLease(context.Background()) }()
	if err := r.accept(answerOf(1, 0), clock.Now()); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestDoOutcomes guards against a command that is reported as not applied although it may be.
func TestDoOutcomes(t *testing.T) {
	clock := startClock()
	publish := Command{PublishWeights: &PublishWeights{Model: "tutor", Version: 3}}
	tests := []struct {
		name    string
		prepare func(c *fakeCluster)
		kind    errs.Kind
		applied bool
	}{
		{"first replica is not the leader", func(c *fakeCluster) { c.leader = 2 }, "", true},
		{"answer is lost once", func(c *fakeCluster) { c.loseNext = true }, "", true},
		{"nothing can be reached", func(c *fakeCluster) { c.cut["a"], c.cut["b"], c.cut["c"] = true, true, true }, errs.Unavailable, false},
		{"leader cannot be reached", func(c *fakeCluster) { c.leader, c.cut["c"] = 2, true }, errs.Unavailable, false},
		{"leader vanishes after the answer is lost", func(c *fakeCluster) {
			c.loseNext = true
			c.afterLoss = func() { c.cut["a"] = true }
		}, errs.OutcomeUnknown, true},
	}
	for _, tt := range tests {
		c := newFakeCluster(t, 3, clock)
		tt.prepare(c)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := newRemote(c, "one", clock).Do(ctx, publish)
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
	res, err := newRemote(c, "one", clock).Do(context.Background(), edit(idAt(time.Now(), 1), 4, testRow("chat", 1)))
	if !errs.Is(err, errs.Conflict) || res.Row == nil {
		t.Errorf("a conflict is reported as %v with row %+v", err, res.Row)
	}
}

// TestPollTakesTheTimeOfSending guards against a lease that counts from the arrival of the answer.
func TestPollTakesTheTimeOfSending(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	r := leaseRemote(clock, func(context.Context, string, string, []byte) ([]byte, error) {
		clock.Advance(2 * time.Second)
		return encodeAnswer(answerOf(1, 0), nil, "")
	})
	if err := r.poll(context.Background(), "a", false); err != nil || !r.TableLeaseValid() {
		t.Fatalf("%v, fresh %v", err, r.TableLeaseValid())
	}
	clock.Advance(time.Second)
	if r.TableLeaseValid() {
		t.Fatal("the lease is valid 3 s after the poll was sent")
	}
}
