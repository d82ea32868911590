package coordinator

import (
	"context"
	"crypto/rand"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"filbertledge/internal/rollout"
	"filbertledge/internal/storage"
)

// largeBodyBytes is the size of the largest body in a batch of 33,554,432 bytes of JSON.
const largeBodyBytes = 24 << 20

func newLargeBatch(id string, items, bodyBytes int) *rollout.Batch {
	b := newBatch(id, items, 0)
	for i := range b.Items {
		b.Items[i].Body = make([]byte, bodyBytes)
		_, _ = rand.Read(b.Items[i].Body) // never fails
	}
	return b
}

// upload stores up to maxParts parts of the bodies of a batch through the leader and returns the batch without them.
func (c *cluster) upload(b *rollout.Batch, maxParts int) *rollout.Batch {
	c.t.Helper()
	size := ReserveBatchRequest{Batch: b.ID, Bytes: b.RequestBytes(), BodyBytes: b.BodyBytes()}
	c.callLeader("room for the batch", func(ctx context.Context, n *Node) error {
		r, err := callLeader(ctx, n, MethodReserveBatch, (*session).reserveBatch, size)
		if err == nil && !r.StoresBodies {
			err = context.DeadlineExceeded // the members' versions are not known yet
		}
		return err
	})
	stripped, forEachPart := SplitBodies(b)
	parts := 0
	err := forEachPart(func(p rollout.BodyPart) error {
		if parts++; parts > maxParts {
			return nil
		}
		c.callLeader("a part of the bodies", func(ctx context.Context, n *Node) error {
			_, err := callLeader(ctx, n, MethodStoreBodies, (*session).storeBodies, StoreBodiesRequest{Size: size, Part: p})
			return err
		})
		return nil
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return stripped
}

// checkBodiesRan checks that each item of a batch completed, and ran with its body.
func (c *cluster) checkBodiesRan(b *rollout.Batch) {
	c.t.Helper()
	for i, r := range c.waitForResults(b.ID, len(b.Items)).Results {
		if !r.Completed {
			c.t.Errorf("result %d is not complete", i)
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if c.engines.bodies[item.ID] != xxhash.Sum64(item.Body) {
			c.t.Errorf("item %s ran with another body", item.ID)
		}
	}
}

// largestRecord returns the size of the largest record that a stopped node stores.
func largestRecord(t *testing.T, dataDir string) int {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dataDir, storage.FileName), 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	largest := 0
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(_, value []byte) error {
				largest = max(largest, len(value))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return largest
}

// Guards against a batch of the largest legal size that each VM holds whole in its log, its messages and its snapshots, which
// took the leader over its memory limit. The whole batch comes from an entry VM of an earlier build.
func TestLargeBatchIsReplicatedInParts(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announceServers(2, 4)
	c.waitUntil("the versions of the members", func() bool {
		s, err := c.nodes[c.leader()].currentSession()
		return err == nil && s.recordedStateVersion() == rollout.StateVersion
	})
	b := newLargeBatch("b", 1, largeBodyBytes)
	c.callLeader("the submission", func(ctx context.Context, n *Node) error {
		s, err := n.currentSession()
		if err == nil {
			_, err = s.submit(context.Background(), b)
		}
		return err
	})
	c.checkBodiesRan(b)
	for i := range c.nodes {
		c.stop(i)
		if n := largestRecord(t, c.dataDirs[i]); n > rollout.BodyPartBytes+1<<10 {
			t.Errorf("node %d stores a record of %d bytes", i, n)
		}
	}
}

// Guards against a large batch that is lost, or runs with other bodies, if the leader is lost between its parts, between the
// last part and the batch, or after it, or if a replica that was away catches up by a snapshot.
func TestLargeBatchSurvivesLossOfLeaders(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.waitUntil("the versions of the members", func() bool {
		s, err := c.nodes[c.leader()].currentSession()
		return err == nil && s.recordedStateVersion() == rollout.StateVersion
	})
	loseLeader := func() int {
		lost := c.leader()
		c.stop(lost)
		c.waitUntil("another leader", func() bool { return c.leader() != lost })
		return lost
	}
	b := newLargeBatch("b", 3, 4<<20)
	c.upload(b, 5)
	away := loseLeader()
	stripped := c.upload(b, 1<<20) // as a trainer that submits again
	c.start(away, false)
	c.waitUntil("the replica that was away", func() bool {
		return c.nodes[away].replica.Status().Applied >= c.nodes[c.leader()].replica.Status().Applied
	})
	c.start(loseLeader(), false)
	c.submit(stripped)
	for i := range c.nodes {
		c.stop(i)
	}
	for i := range c.nodes {
		c.start(i, false)
	}
	c.announceServers(2, 4)
	c.checkBodiesRan(b)
	if known, err := c.reserve(b); err != nil || !known {
		t.Errorf("the batch, submitted again: known %t, %v", known, err)
	}
}

func (c *cluster) reserve(b *rollout.Batch) (known bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := callLeader(ctx, c.nodes[c.leader()], MethodReserveBatch, (*session).reserveBatch, ReserveBatchRequest{Batch: b.ID, Bytes: b.RequestBytes(), BodyBytes: b.BodyBytes()})
	return r.Known, err
}

// Guards against uploads that are kept for ever because their batch never followed.
func TestOldUploadsAreDropped(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	b := newLargeBatch("b", 1, 2<<20)
	stripped := c.upload(b, 2)
	s, err := c.nodes[c.leader()].currentSession()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.uploads[stripped.Upload] -= uploadLifetime
	s.mu.Unlock()
	c.waitUntil("the end of the upload", func() bool { return len(c.nodes[c.leader()].state.Uploads()) == 0 })
	c.callLeader("refusal of the batch without its bodies", func(ctx context.Context, n *Node) error {
		if _, err := callLeader(ctx, n, MethodSubmitBatch, (*session).submit, stripped); err == nil {
			t.Error("a batch without its bodies was accepted")
		}
		return nil
	})
}

// Guards against a large batch that smaller ones keep out for ever, and against one that was given up and keeps out others.
func TestRoomIsGivenInOrder(t *testing.T) {
	const limit, second = 100, time.Second
	r := reservations{limit: limit, inOrder: true}
	for i, step := range []struct {
		batch string
		bytes int64
		open  int64
		now   time.Duration
		want  bool
	}{
		{"small-1", 60, 0, second, true},
		{"large", 90, 0, second, false},
		{"small-2", 10, 0, second, false}, // would fit, but comes after the large one
		{"small-1", 60, 0, second, true},  // has room already
		{"large", 90, 60, 2 * second, false},
		{"small-2", 10, 60, 2 * second, false},
		{"large", 90, 0, 7 * second, true},
		{"small-2", 10, 0, 7 * second, true},
		{"large-2", 90, 0, 8 * second, false}, // and is given up
		{"small-3", 0, 0, 8*second + refusalLifetime, false},
		{"small-3", 0, 0, 9*second + refusalLifetime, true},
	} {
		if got := r.reserve(step.batch, step.bytes, step.open, step.now+4*second, step.now); got != step.want {
			t.Fatalf("step %d, batch %s: got %t", i, step.batch, got)
		}
		if step.batch == "small-1" && step.now == second && step.want && i > 0 {
			r.release("small-1")
		}
	}
}
