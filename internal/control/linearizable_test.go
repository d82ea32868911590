package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// rowState is the state of the only row in the model.
type rowState struct {
	version  uint64
	priority int
}

type rowInput struct {
	edit     bool
	expected uint64
	priority int // new priority; unique for each edit
}

type rowOutput struct {
	kind errs.Kind // error kind of an edit; empty on success
	row  rowState  // row in the response
}

// rowModel models the row as a compare-and-set register. An edit with an unknown outcome may or may not have been
// applied.
func rowModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{rowState{}} },
		Step: func(state, input, output any) []any {
			return rowStep(state.(rowState), input.(rowInput), output.(rowOutput))
		},
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

func rowStep(s rowState, in rowInput, out rowOutput) []any {
	applied := rowState{s.version + 1, in.priority}
	matches := in.expected == s.version
	switch {
	case !in.edit && out.row == s:
		return []any{s}
	case !in.edit:
		return nil
	case out.kind == errs.OutcomeUnknown && matches:
		return []any{s, applied}
	case out.kind == errs.OutcomeUnknown, out.kind == errs.Unavailable:
		return []any{s}
	case out.kind == "" && matches && out.row == applied:
		return []any{applied}
	case out.kind == errs.Conflict && !matches && out.row == s:
		return []any{s}
	default:
		return nil
	}
}

// registerClient issues edits and confirmed reads of the row and records them as operations.
type registerClient struct {
	id     int
	c      *fakeCluster
	remote *RemoteClient
	random *rand.Rand
	start  time.Time
	ops    []porcupine.Operation
	last   rowState
}

func (r *registerClient) run(n int) {
	for i := range n {
		op := porcupine.Operation{ClientId: r.id, Call: time.Since(r.start).Nanoseconds()}
		if r.random.IntN(2) == 0 {
			op.Input, op.Output = r.edit(r.id*n + i + 1)
		} else {
			op.Input, op.Output = r.read()
		}
		op.Return = time.Since(r.start).Nanoseconds()
		if op.Output.(rowOutput).kind == errs.OutcomeUnknown {
			op.Return = time.Hour.Nanoseconds() // the edit may take effect at any later time
		}
		r.ops = append(r.ops, op)
	}
}

func (r *registerClient) edit(priority int) (rowInput, rowOutput) {
	in := rowInput{edit: true, expected: r.last.version, priority: priority}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if r.random.IntN(4) == 0 {
		cancel() // no retry after the first attempt
	}
	res, err := r.remote.Do(ctx, edit(idAt(time.Now(), uint64(priority)), in.expected, testRow("chat", priority)))
	out := rowOutput{}
	if err != nil {
		out.kind = errs.KindOf(err)
	}
	if res.Row != nil {
		out.row = rowState{res.Row.Version, res.Row.Priority}
		r.last = out.row
	}
	return in, out
}

// read polls a random replica, like a VM that has no table yet.
func (r *registerClient) read() (rowInput, rowOutput) {
	member := r.c.members[r.random.IntN(len(r.c.members))]
	for {
		request, _ := Encode(WatchRequest{VM: api.VM{ID: "reader"}, NoWait: true})
		data, err := member.server.handleWatch(context.Background(), request)
		var a WatchResponse
		if err == nil {
			_, err = decodeResponse(data, &a)
		}
		if err != nil {
			continue
		}
		out := rowOutput{}
		for _, row := range a.Rows {
			out.row = rowState{row.Version, row.Priority}
		}
		r.last = out.row
		return rowInput{}, out
	}
}

// TestEditsAndReadsAreLinearizable guards against reads that miss an accepted edit and edits that overwrite one, while
// replicas apply entries late, the leader changes and responses are lost.
func TestEditsAndReadsAreLinearizable(t *testing.T) {
	const clients, operations = 5, 60
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := startClock()
	c := newFakeCluster(t, 3, clock)
	c.run(ctx)
	start := time.Now()
	var wg sync.WaitGroup
	all := make([]*registerClient, clients)
	for i := range all {
		random := rand.New(rand.NewPCG(20260301, uint64(i)))
		all[i] = &registerClient{id: i, c: c, remote: newTestClient(c, "one", clock), random: random, start: start}
		wg.Go(func() { all[i].run(operations) })
	}
	go c.injectFaults(ctx, rand.New(rand.NewPCG(20260301, 99)))
	wg.Wait()
	var ops []porcupine.Operation
	for _, r := range all {
		ops = append(ops, r.ops...)
	}
	if got := porcupine.CheckOperationsTimeout(rowModel(), ops, 20*time.Second); got != porcupine.Ok {
		t.Fatalf("the history of %d operations is %s", len(ops), got)
	}
}

// injectFaults changes the leader and loses responses until ctx is done.
func (c *fakeCluster) injectFaults(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, 5*time.Millisecond) {
		c.mu.Lock()
		switch random.IntN(8) {
		case 0:
			c.leader = random.IntN(len(c.members))
			c.members[c.leader].catchUp(len(c.log))
		case 1:
			c.loseNextResponse = true
		}
		c.mu.Unlock()
	}
}
