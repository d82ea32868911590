package dispatch

import (
	"net/http"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// Guards against a share that each pool uses in full, and against finished requests that stay counted.
func TestRowLoadsShareOneLimitOverPools(t *testing.T) {
	l := newRowLoads()
	row := table.Row{Name: "r", Pool: "p", MaxInFlight: 9}
	share := func(table.Row) int { return 2 }
	moved := row
	moved.Pool = "q"
	if !l.reserve(row, share) || !l.reserve(moved, share) || l.reserve(row, share) || l.reserve(moved, share) {
		t.Fatal("the two pools together do not admit exactly 2 requests in flight")
	}
	l.release("r")
	if !l.reserve(moved, share) {
		t.Fatal("a released request still uses the share")
	}
	l.addWaiting("r", 1)
	l.addWaiting("r", -1)
	l.release("r")
	l.release("r")
	if len(l.rows) != 0 {
		t.Fatalf("rows left after all requests ended: %+v", l.rows)
	}
}

// Guards against a VM that sends requests although its share is 0, and against a waiting request that does not start
// once a share is granted.
func TestRequestWaitsUntilShareIsGranted(t *testing.T) {
	f := newFixture(t)
	f.control.vms = make([]api.VM, 2) // the fixture's share of a limit of 1 is 0
	f.announce("s0", startEngine(t, func(_ int64, w http.ResponseWriter, req *http.Request) { answerUnary(w, req) }), nil)
	w := chatRequest(`{}`)
	w.Row.Version, w.Row.MaxInFlight = 1, 1
	if _, err := f.DoUnary(within(t, 100*time.Millisecond), w); OutcomeOf(err) != api.OutcomeNotRun {
		t.Fatalf("the request without a share ended with %v", err)
	}
	if n := f.RowLoads(); len(n) != 0 {
		t.Fatalf("loads after the time-out: %+v", n)
	}
	done := make(chan error, 1)
	go func() { _, err := f.DoUnary(within(t, 5*time.Second), w); done <- err }()
	waiting := func() bool {
		n := f.RowLoads()
		return len(n) == 1 && n[0].Waiting == 1 && n[0].InFlight == 0
	}
	for i := 0; !waiting(); i++ {
		if i == 1000 {
			t.Fatalf("the request does not wait: %+v", f.RowLoads())
		}
		time.Sleep(time.Millisecond)
	}
	row := w.Row
	row.Version, row.MaxInFlight = 2, 2
	f.control.table.Store(table.NewSnapshot(2, map[api.RowName]table.Row{row.Name: row}))
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
