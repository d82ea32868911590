package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/control"
	"filbertledge/internal/events"
	"filbertledge/internal/membership"
	"filbertledge/internal/metrics"
	"filbertledge/internal/policy"
	"filbertledge/internal/table"
)

// judgeEvery is the time between comparisons of a pool's servers. It also bounds how long waiting work misses
// a change of the registry.
const judgeEvery = 20 * time.Millisecond

// Options configures a Dispatcher. Share, Metrics and Events may be nil.
type Options struct {
	FailureDomain api.FailureDomain // of this VM
	Registry      *membership.Registry
	Backend       *backend.Client
	Control       control.Client
	// InFlightShare returns how many requests of the row this VM may have in flight; it is asked only for rows with
	// MaxInFlight, and must not call the Dispatcher. The default is MaxInFlight, for a VM that is alone.
	InFlightShare func(row table.Row) int
	Metrics       *metrics.Metrics
	Events        *events.Recorder
	Seed          uint64
}

// Dispatcher runs requests on backend servers. It is safe for concurrent use.
type Dispatcher struct {
	opts  Options
	start time.Time
	loads rowLoads

	mu      sync.Mutex
	pools   map[api.Pool]*pool
	lengths map[api.RowName]*policy.RunTimeHistory // run times
	firsts  map[api.RowName]*policy.RunTimeHistory // times to first token of streams
}

var _ Generator = (*Dispatcher)(nil)

// New returns a dispatcher. Run must be running for it to work.
func New(opts Options) *Dispatcher {
	d := &Dispatcher{
		opts: opts, start: time.Now(), loads: newRowLoads(), pools: map[api.Pool]*pool{},
		lengths: map[api.RowName]*policy.RunTimeHistory{}, firsts: map[api.RowName]*policy.RunTimeHistory{},
	}
	if d.opts.InFlightShare == nil {
		d.opts.InFlightShare = func(row table.Row) int { return row.MaxInFlight }
	}
	return d
}

// Run compares the servers and places waiting work until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick()
		}
	}
}

func (d *Dispatcher) tick() {
	d.mu.Lock()
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.tick()
	}
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.start) }

func (d *Dispatcher) pool(name api.Pool) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = &pool{
			d: d, name: name,
			rng:      rand.New(rand.NewPCG(d.opts.Seed, xxhash.Sum64String(string(name)))),
			servers:  map[*membership.Server]*serverState{},
			affinity: map[uint64]*membership.Server{},
			emptying: map[*membership.Server]bool{},
		}
		d.pools[name] = p
	}
	return p
}

// predict returns the quantile q of the row's run times for a request of that size.
func (d *Dispatcher) predict(row api.RowName, bytes int, q float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.lengths[row]; l != nil {
		return l.Quantile(bytes, q)
	}
	return policy.DefaultPrediction
}

// known reports whether the row has enough history to act on its quantiles.
func (d *Dispatcher) known(row api.RowName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lengths[row]
	return l != nil && l.HasEnoughHistory()
}

// firstTokenQuantile returns the quantile q of the row's times to first token, and whether enough are known.
func (d *Dispatcher) firstTokenQuantile(row api.RowName, bytes int, q float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.firsts[row]
	if l == nil || !l.HasEnoughHistory() {
		return 0, false
	}
	return l.Quantile(bytes, q), true
}

func (d *Dispatcher) learn(row api.RowName, bytes int, ran time.Duration) {
	d.add(d.lengths, row, bytes, ran)
}

func (d *Dispatcher) learnFirstToken(row api.RowName, bytes int, after time.Duration) {
	d.add(d.firsts, row, bytes, after)
}

func (d *Dispatcher) add(to map[api.RowName]*policy.RunTimeHistory, row api.RowName, bytes int, v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := to[row]
	if l == nil {
		l = &policy.RunTimeHistory{}
		to[row] = l
	}
	l.Add(bytes, v)
}

func (d *Dispatcher) event(name events.Name, r *run, server api.ServerID, detail string) {
	if d.opts.Events != nil {
		d.opts.Events.Record(events.Event{Name: name, Request: r.work.RequestID, Row: r.work.Row.Name, Server: server, Detail: detail})
	}
}

// InFlight returns the number of this VM's requests on backend servers.
func (d *Dispatcher) InFlight() int {
	n := 0
	for _, s := range d.opts.Registry.AllServers() {
		n += int(s.InFlight())
	}
	return n
}
