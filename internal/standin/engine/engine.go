// Package engine is a stand-in for a model engine: continuous batching in real time, a prefix cache, weight
// orders, and text that a checker can compute. It serves the wire protocol of the design page on loopback.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// Options configures an engine. The zero value of a field selects the stated default.
type Options struct {
	Listen              string // default 127.0.0.1:0
	ID                  api.ServerID
	Pool                api.Pool
	Domain              api.FailureDomain
	Model               string            // default: the pool's name
	Version             api.WeightVersion // loaded at start; default 1
	Token               string            // pool token
	Entries             []string          // IP:port of entry VMs
	WeightStoreURL      string            // base URL of the weight store; without it, loads need no blob
	Capacity            int               // concurrent requests; default 8
	RoundTime           time.Duration     // time of a round; default 2 ms
	RoundTimePerRequest time.Duration     // additional time of a round for each running request; default 0.2 ms
	PrefillTimePerBlock time.Duration     // time to compute a prompt block that is not cached; default 0.1 ms
	CacheBlocks         int               // limit of the prefix cache; default 1024, negative for no cache
	LoadTime            time.Duration     // least time of a load; default 300 ms
	SwitchTime          time.Duration     // default 50 ms
	LoadReportDelay     time.Duration     // age of load reports; default 500 ms
	CacheEventDelay     time.Duration     // age of cache events; default 2 s
	CacheEventLossRate  float64           // share of lost cache events; default 0.1, negative for none
	IgnoreFencing       bool
	NoTokenDelay        bool // generate without any token time, for the measurement of overhead
	LogFile             string
	NoLog               bool
	Seed                uint64
	OnCrash             func() // called instead of resetting all connections
}

func (o *Options) setDefaults() {
	def(&o.Listen, "127.0.0.1:0")
	def(&o.Model, string(o.Pool))
	def(&o.Version, 1)
	def(&o.Capacity, 8)
	def(&o.RoundTime, 2*time.Millisecond)
	def(&o.RoundTimePerRequest, 200*time.Microsecond)
	def(&o.PrefillTimePerBlock, 100*time.Microsecond)
	def(&o.CacheBlocks, 1024)
	def(&o.LoadTime, 300*time.Millisecond)
	def(&o.SwitchTime, 50*time.Millisecond)
	def(&o.LoadReportDelay, 500*time.Millisecond)
	def(&o.CacheEventDelay, 2*time.Second)
	def(&o.CacheEventLossRate, 0.1)
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// loadInterval is the time between two samples of the load report.
const loadInterval = 100 * time.Millisecond

type loadSample struct {
	at   time.Time
	load api.Load
}

// Engine is a running stand-in.
type Engine struct {
	opts        Options
	server      *standin.Server
	announcer   *standin.Announcer
	faults      *standin.FaultState
	log         *standin.Log
	batch       *batch
	cache       *prefixCache
	client      *http.Client
	incarnation uint64
	ctx         context.Context // ends with the engine
	cancel      context.CancelFunc
	background  sync.WaitGroup

	mu      sync.Mutex
	current api.WeightVersion
	loaded  []api.WeightVersion
	loading map[api.WeightVersion]bool
	highest uint64 // fencing token
	samples []loadSample
	partner *run // waits for an exchange of answers
	rng     *rand.Rand
	closed  bool
}

// Start starts an engine.
func Start(opts Options) (*Engine, error) {
	opts.setDefaults()
	log, err := standin.NewLog(opts.LogFile, opts.NoLog)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		opts:        opts,
		faults:      standin.NewFaultState(opts.IgnoreFencing),
		log:         log,
		cache:       newPrefixCache(max(opts.CacheBlocks, 0)),
		client:      &http.Client{},
		incarnation: uint64(time.Now().UnixMilli()),
		ctx:         ctx,
		cancel:      cancel,
		current:     opts.Version,
		loaded:      []api.WeightVersion{opts.Version},
		loading:     map[api.WeightVersion]bool{},
		rng:         rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	e.batch = &batch{capacity: opts.Capacity, base: opts.RoundTime, slope: opts.RoundTimePerRequest, faults: e.faults, version: e.Version, admit: e.prefill}
	e.batch.start()
	e.server, err = standin.Serve(opts.Listen, e.route)
	if err != nil {
		cancel()
		e.batch.stop()
		return nil, err
	}
	e.background.Go(e.sampleLoad)
	e.announcer = standin.StartAnnouncer(standin.AnnouncerOptions{Token: opts.Token, Entries: opts.Entries, Seed: opts.Seed, Describe: e.describe})
	return e, nil
}

// Address returns the IP:port of the engine.
func (e *Engine) Address() string { return e.server.Address() }

// Log returns what the engine saw so far.
func (e *Engine) Log() standin.LogContent { return e.log.Content() }

// Version returns the version that new tokens are generated with.
func (e *Engine) Version() api.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Leave announces that the engine is leaving. Running and new requests are still served.
func (e *Engine) Leave() { e.announcer.Leave() }

// Idle reports whether no request is inside the engine.
func (e *Engine) Idle() bool {
	running, waiting := e.batch.counts()
	return running+waiting == 0
}

// Close ends the engine and resets its connections.
func (e *Engine) Close() {
	e.mu.Lock()
	closed := e.closed
	e.closed = true
	e.mu.Unlock()
	if closed {
		return
	}
	e.cancel()
	e.announcer.Close()
	e.batch.stop()
	e.server.Abort()
	e.background.Wait()
	e.client.CloseIdleConnections()
}

// Crash ends the engine as the death of its process would.
func (e *Engine) Crash() {
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
		return
	}
	go e.Close()
}

// prefill looks up the prompt of an admitted request and sets the time at which its first token may come.
func (e *Engine) prefill(r *run) {
	min := r.request.minVersion()
	if e.faults.StaleCache() {
		min = 0
	}
	reused, computed := e.cache.use(r.prompt, e.Version(), min)
	r.reused = reused
	r.readyAt = r.admitted.Add(time.Duration(computed) * e.opts.PrefillTimePerBlock)
}

func (e *Engine) describe() api.Announcement {
	now := time.Now()
	e.mu.Lock()
	loaded := slices.Clone(e.loaded)
	current := e.current
	load := e.lateLoad(now)
	lost := func() bool { return e.rng.Float64() < e.opts.CacheEventLossRate }
	events := e.cache.announce(now, e.opts.CacheEventDelay, lost)
	e.mu.Unlock()
	return api.Announcement{
		ID: e.opts.ID, Incarnation: e.incarnation, Address: e.server.Address(), Domain: e.opts.Domain,
		Pool: e.opts.Pool, Engine: true, Model: e.opts.Model, Current: current, Loaded: loaded,
		Capacity: e.opts.Capacity, Load: load, Fencing: e.fencing(), CacheEvents: events,
	}
}

func (e *Engine) fencing() api.Fencing {
	if e.opts.IgnoreFencing {
		return api.FencingIgnored
	}
	return api.FencingChecked
}

// lateLoad returns the newest sample that is older than the lag; the caller holds e.mu.
func (e *Engine) lateLoad(now time.Time) api.Load {
	var load api.Load
	for _, s := range e.samples {
		if now.Sub(s.at) < e.opts.LoadReportDelay {
			break
		}
		load = s.load
	}
	return load
}

func (e *Engine) sampleLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	last := e.batch.generated.Load()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			running, waiting := e.batch.counts()
			total := e.batch.generated.Load()
			rate := float64(total-last) / loadInterval.Seconds()
			last = total
			e.keepSample(loadSample{at: now, load: api.Load{Running: running, Waiting: waiting, TokensPerSecond: rate}})
		}
	}
}

func (e *Engine) keepSample(s loadSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, s)
	keep := int(e.opts.LoadReportDelay/loadInterval) + 16
	if len(e.samples) > keep {
		e.samples = slices.Delete(e.samples, 0, len(e.samples)-keep)
	}
}
