package dispatch

import (
	"sync"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// rowLoads counts the requests of each row over all pools, as an edit may move a row to another pool while
// requests of it are in flight.
type rowLoads struct {
	mu   *sync.Mutex
	rows map[api.RowName]*rowLoad
}

type rowLoad struct{ inFlight, waiting int }

func newRowLoads() rowLoads {
	return rowLoads{mu: &sync.Mutex{}, rows: map[api.RowName]*rowLoad{}}
}

func (l rowLoads) row(name api.RowName) *rowLoad {
	r := l.rows[name]
	if r == nil {
		r = &rowLoad{}
		l.rows[name] = r
	}
	return r
}

// reserve counts one more request in flight unless the row's share is used up. The share is asked for under the
// lock, so that counts that are taken after a share was lowered hold every request that passed under the old one.
func (l rowLoads) reserve(row table.Row, share func(table.Row) int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.row(row.Name)
	if row.MaxInFlight > 0 && r.inFlight >= share(row) {
		l.drop(row.Name)
		return false
	}
	r.inFlight++
	return true
}

func (l rowLoads) release(name api.RowName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row(name).inFlight--
	l.drop(name)
}

func (l rowLoads) wait(name api.RowName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row(name).waiting += n
	l.drop(name)
}

func (l rowLoads) drop(name api.RowName) {
	if *l.rows[name] == (rowLoad{}) {
		delete(l.rows, name)
	}
}

// RowLoads returns the requests in flight and waiting of each row that has any.
func (d *Dispatcher) RowLoads() []control.RowLoad {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	out := make([]control.RowLoad, 0, len(d.loads.rows))
	for name, r := range d.loads.rows {
		out = append(out, control.RowLoad{Row: name, InFlight: r.inFlight, Waiting: r.waiting})
	}
	return out
}
