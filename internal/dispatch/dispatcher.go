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

// tickInterval is the time between two passes over the pools, which place waiting requests and check the servers for
// outliers. After a change in the registry, such as a new server, waiting requests are considered again within this
// time.
const tickInterval = 20 * time.Millisecond

// Options configures a Dispatcher. InFlightShare, Metrics and Events may be nil.
type Options struct {
	FailureDomain api.FailureDomain // of this VM
	Registry      *membership.Registry
	Backend       *backend.Client
	Control       control.Client
	// InFlightShare returns how many requests of a row this VM may have in flight, which is its share of the row's
	// MaxInFlight. It is called only for rows that set MaxInFlight, and must not call the Dispatcher. If it is nil,
	// the VM uses the whole of MaxInFlight.
	InFlightShare func(row table.Row) int
	Metrics       *metrics.Metrics
	Events        *events.Recorder
	Seed          uint64
}

// Dispatcher queues requests and runs them on backend servers. It is safe for concurrent use.
type Dispatcher struct {
	opts  Options
	start time.Time
	loads rowLoads

	mu              sync.Mutex
	pools           map[api.Pool]*pool
	runTimes        map[api.RowName]*policy.RunTimeHistory // of whole requests
	firstTokenTimes map[api.RowName]*policy.RunTimeHistory // of streams
}

var _ Generator = (*Dispatcher)(nil)

// New returns a dispatcher. The caller must start Run.
func New(opts Options) *Dispatcher {
	d := &Dispatcher{
		opts: opts, start: time.Now(), loads: newRowLoads(), pools: map[api.Pool]*pool{},
		runTimes: map[api.RowName]*policy.RunTimeHistory{}, firstTokenTimes: map[api.RowName]*policy.RunTimeHistory{},
	}
	if d.opts.InFlightShare == nil {
		d.opts.InFlightShare = func(row table.Row) int { return row.MaxInFlight }
	}
	return d
}

// Run periodically places waiting requests and ejects slow servers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// now returns the time since the dispatcher was created. The registry has a clock of its own.
func (d *Dispatcher) now() time.Duration { return time.Since(d.start) }

func (d *Dispatcher) pool(name api.Pool) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = &pool{
			d: d, name: name,
			rng:           rand.New(rand.NewPCG(d.opts.Seed, xxhash.Sum64String(string(name)))),
			servers:       map[*membership.Server]*serverState{},
			prefixServers: map[uint64]*membership.Server{},
			emptying:      map[*membership.Server]bool{},
		}
		d.pools[name] = p
	}
	return p
}

// predictRunTime returns the quantile q of the row's run times for a request of the given size.
func (d *Dispatcher) predictRunTime(row api.RowName, bytes int, q float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if history := d.runTimes[row]; history != nil {
		return history.Quantile(bytes, q)
	}
	return policy.DefaultPrediction
}

// hasEnoughHistory reports whether the quantiles of the row's run times are reliable enough to act on.
func (d *Dispatcher) hasEnoughHistory(row api.RowName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	history := d.runTimes[row]
	return history != nil && history.HasEnoughHistory()
}

// firstTokenQuantile returns the quantile q of the row's times to first token, and false if the history is too short.
func (d *Dispatcher) firstTokenQuantile(row api.RowName, bytes int, q float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	history := d.firstTokenTimes[row]
	if history == nil || !history.HasEnoughHistory() {
		return 0, false
	}
	return history.Quantile(bytes, q), true
}

func (d *Dispatcher) recordRunTime(row api.RowName, bytes int, runTime time.Duration) {
	d.addToHistory(d.runTimes, row, bytes, runTime)
}

func (d *Dispatcher) recordFirstToken(row api.RowName, bytes int, after time.Duration) {
	d.addToHistory(d.firstTokenTimes, row, bytes, after)
}

func (d *Dispatcher) addToHistory(histories map[api.RowName]*policy.RunTimeHistory, row api.RowName, bytes int, v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	history := histories[row]
	if history == nil {
		history = &policy.RunTimeHistory{}
		histories[row] = history
	}
	history.Add(bytes, v)
}

func (d *Dispatcher) recordEvent(name events.Name, r *run, server api.ServerID, detail string) {
	if d.opts.Events != nil {
		d.opts.Events.Record(events.Event{Name: name, Request: r.request.RequestID, Row: r.request.Row.Name, Server: server, Detail: detail})
	}
}

// InFlight returns the number of requests that this VM has in flight on backend servers.
func (d *Dispatcher) InFlight() int {
	n := 0
	for _, s := range d.opts.Registry.AllServers() {
		n += int(s.InFlight())
	}
	return n
}
