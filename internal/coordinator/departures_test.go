package coordinator

import (
	"context"
	"fmt"
	"testing"

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
			err := n.Depart(ctx, Departure{Server: id, SenderWaits: func() bool { return true }})
			if errs.Is(err, errs.NotFound) {
				t.Errorf("%s: %v", id, err)
				return nil
			}
			return err
		})
	}
}
