package dispatch

import (
	"sync"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// rowLoads counts the requests of each row. It counts over all pools, because an edit may move a row to another pool
// while requests of the row are in flight.
type rowLoads struct {
	mu   *sync.Mutex
	rows map[api.RowName]*rowLoad
}

type rowLoad struct{ inFlight, waiting int }

func newRowLoads() rowLoads {
	return rowLoads{mu: &sync.Mutex{}, rows: map[api.RowName]*rowLoad{}}
}

func (l rowLoads) entry(name api.RowName) *rowLoad {
	r := l.rows[name]
	if r == nil {
		r = &rowLoad{}
		l.rows[name] = r
	}
	return r
}

// reserve counts one more request in flight, or returns false if this VM's share of the row's concurrency limit is used
// up. The share is read while the lock is held: counts that RowLoads returns after a share was lowered thus include
// every request that was admitted under the old share.
func (l rowLoads) reserve(row table.Row, share func(table.Row) int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.entry(row.Name)
	if row.MaxInFlight > 0 && r.inFlight >= share(row) {
		l.dropIfIdle(row.Name)
		return false
	}
	r.inFlight++
	return true
}

func (l rowLoads) release(name api.RowName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(name).inFlight--
	l.dropIfIdle(name)
}

func (l rowLoads) addWaiting(name api.RowName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(name).waiting += n
	l.dropIfIdle(name)
}

func (l rowLoads) dropIfIdle(name api.RowName) {
	if *l.rows[name] == (rowLoad{}) {
		delete(l.rows, name)
	}
}

// RowLoads returns the number of requests in flight and of waiting requests for each row that has any.
func (d *Dispatcher) RowLoads() []control.RowLoad {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	out := make([]control.RowLoad, 0, len(d.loads.rows))
	for name, r := range d.loads.rows {
		out = append(out, control.RowLoad{Row: name, InFlight: r.inFlight, Waiting: r.waiting})
	}
	return out
}
