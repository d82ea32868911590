package dispatch

import (
	"net/http"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// TestRowLoads guards against a share that is used once per pool, and requests that are never counted off.
func TestRowLoads(t *testing.T) {
	l := newRowLoads()
	row := table.Row{Name: "r", Pool: "p", MaxInFlight: 9}
	share := func(table.Row) int { return 2 }
	moved := row
	moved.Pool = "q"
	if !l.reserve(row, share) || !l.reserve(moved, share) || l.reserve(row, share) || l.reserve(moved, share) {
		t.Fatal("not 2 requests in flight over both pools")
	}
	l.release("r")
	if !l.reserve(moved, share) {
		t.Fatal("the share is not free again")
	}
	l.wait("r", 1)
	l.wait("r", -1)
	l.release("r")
	l.release("r")
	if len(l.rows) != 0 {
		t.Fatalf("left: %+v", l.rows)
	}
}

// TestWorkWithoutShare guards against a VM without a share that sends requests, and work that does not start once
// a share is granted.
func TestWorkWithoutShare(t *testing.T) {
	f := newFixture(t)
	f.ctl.vms = make([]api.VM, 2) // the fixture's share of a limit of 1 is 0
	f.announce("s0", serve(t, func(_ int64, w http.ResponseWriter, req *http.Request) { whole(w, req) }), nil)
	w := chat(`{}`)
	w.Row.Version, w.Row.MaxInFlight = 1, 1
	if _, err := f.DoUnary(within(t, 100*time.Millisecond), w); OutcomeOf(err) != api.OutcomeNotRun {
		t.Fatalf("without a share: %v", err)
	}
	if n := f.RowLoads(); len(n) != 0 {
		t.Fatalf("loads after the refusal: %+v", n)
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
	f.ctl.table.Store(table.NewSnapshot(2, map[api.RowName]table.Row{row.Name: row}))
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
