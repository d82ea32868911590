package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
)

// Guards against a server that announced itself and that the next leader does not know, so that it would refuse the server's
// departure.
func TestAcknowledgedServerIsKnownToEveryLeader(t *testing.T) {
	const servers = 20
	c := startCluster(t, 3)
	c.configure(1)
	for i := range servers {
		v := fleet.Server{ID: fmt.Sprintf("s%d", i), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Incarnation: 1, Sequence: 1, Slots: 1}
		c.callLeader("the announcement", func(ctx context.Context, n *Node) error {
			_, err := n.Announce(ctx, v)
			if err == nil && !n.state.IsRegistered(v.ID, v.Incarnation) {
				t.Errorf("the announcement of %s was acknowledged before it was stored", v.ID)
			}
			return err
		})
	}
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		c.callLeader("the departure", func(ctx context.Context, n *Node) error {
			err := n.Depart(ctx, Departure{Server: id, Received: boottime.Now(), SenderWaits: func() bool { return true }})
			if errs.Is(err, errs.NotFound) {
				t.Errorf("%s: %v", id, err)
				return nil
			}
			return err
		})
	}
}

// Guards against a server that stays out of use until its next start because of a departure that it did not send, and against one
// that is used again while it serves out its time.
func TestWrongDepartureEnds(t *testing.T) {
	const interval = 200 * time.Millisecond // AnnounceInterval of the cluster
	c := startCluster(t, 3)
	c.configure(1)
	v := fleet.Server{ID: "s", Service: testService, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, Slots: 1}
	announce := func(ctx context.Context, n *Node) error {
		_, err := n.Announce(ctx, v)
		return err
	}
	c.callLeader("the first announcement", announce)
	c.callLeader("the departure", func(ctx context.Context, n *Node) error {
		return n.Depart(ctx, Departure{Server: v.ID, Received: boottime.Now(), SenderWaits: func() bool { return true }})
	})
	isUsed := func(i int) bool {
		known, ok := c.nodes[i].registry.Get(v.ID)
		return ok && !known.Leaving
	}
	s, err := c.nodes[c.leader()].currentSession()
	if err != nil {
		t.Fatal(err)
	}
	ready := func(from, to time.Duration) (returns bool) {
		for now := from; now < to; now += interval {
			returns = s.isReadyForLong(v, now)
		}
		return returns
	}
	silence := 2 * fleet.SilentAfter(interval)
	if ready(0, readyTimeToReturn-interval) {
		t.Error("the departure ended too early")
	}
	if ready(readyTimeToReturn+silence, readyTimeToReturn+2*silence) {
		t.Error("the departure ended after a silence")
	}
	if !ready(readyTimeToReturn+2*silence, 2*readyTimeToReturn+2*silence) {
		t.Error("the departure did not end")
	}
	s.returnServer(context.Background(), v)
	c.waitUntil("the return on all VMs", func() bool { return isUsed(0) && isUsed(1) && isUsed(2) })
	for range 2 { // the mark stays ended for later leaders and their lists
		before := c.leader()
		v.Sequence++
		c.callLeader("an announcement", announce)
		if !isUsed(c.leader()) {
			t.Error("the departure came back")
		}
		c.stop(before)
		c.start(before, false)
		c.waitUntil("another leader", func() bool { return c.leader() != before })
	}
	c.callLeader("another departure", func(ctx context.Context, n *Node) error {
		return n.Depart(ctx, Departure{Server: v.ID, Received: boottime.Now(), SenderWaits: func() bool { return true }})
	})
	c.waitUntil("the departure on all VMs", func() bool { return !isUsed(0) && !isUsed(1) && !isUsed(2) })
}

// Guards against sound departures that fail while the leadership changes: their senders exit whether or not they are acknowledged.
func TestDeparturesWaitForNextLeader(t *testing.T) {
	const servers, interval = 30, 20 * time.Millisecond
	c := startCluster(t, 3)
	c.configure(1)
	id := func(i int) string { return fmt.Sprintf("s%d", i) }
	for i := range servers {
		c.callLeader("the announcement", func(ctx context.Context, n *Node) error {
			_, err := n.Announce(ctx, fleet.Server{ID: id(i), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Incarnation: 1, Sequence: 1, Slots: 1})
			return err
		})
	}
	before := c.leader()
	follower := c.nodes[(before+1)%len(c.nodes)]
	var all sync.WaitGroup
	all.Go(func() { time.Sleep(servers * interval / 3); c.stop(before) })
	for i := range servers {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), senderPatience)
			defer cancel()
			if err := follower.Depart(ctx, Departure{Server: id(i), Received: boottime.Now(), SenderWaits: func() bool { return true }}); err != nil {
				t.Errorf("departure of %s: %v", id(i), err)
			}
		})
		time.Sleep(interval)
	}
	all.Wait()
	c.waitUntil("all departures", func() bool { return len(follower.state.Servers()) == 0 })
}
