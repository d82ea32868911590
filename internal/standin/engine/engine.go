// Package engine simulates a model engine: continuous batching in real time, a prefix cache, orders to load, switch
// and unload weight versions, and deterministic text that a test can compute itself. It serves the wire protocol of
// docs/design.md on loopback.
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
	Token               string            // pool token for the announcements
	Entries             []string          // IP:port of the entry VMs to announce to
	WeightStoreURL      string            // base URL of the weight store; if empty, a load reads no blob
	Capacity            int               // maximum of concurrently running requests; default 8
	RoundTime           time.Duration     // fixed part of the time of a decoding round; default 2 ms
	RoundTimePerRequest time.Duration     // additional time of a round for each running request; default 0.2 ms
	PrefillTimePerBlock time.Duration     // time to compute a prompt block that is not cached; default 0.1 ms
	CacheBlocks         int               // capacity of the prefix cache; default 1024, negative disables the cache
	LoadTime            time.Duration     // minimum time to load a weight version; default 300 ms
	SwitchTime          time.Duration     // time to switch the weight version; default 50 ms
	LoadReportDelay     time.Duration     // age of the announced load; default 500 ms
	CacheEventDelay     time.Duration     // age at which cache events are announced; default 2 s
	CacheEventLossRate  float64           // share of cache events that are dropped; default 0.1, negative for none
	IgnoreFencing       bool
	NoTokenDelay        bool // generate without delay and batching, to measure the overhead of an entry VM
	LogFile             string
	NoLog               bool
	Seed                uint64
	OnCrash             func() // called instead of resetting all connections
}

func (o *Options) setDefaults() {
	setDefault(&o.Listen, "127.0.0.1:0")
	setDefault(&o.Model, string(o.Pool))
	setDefault(&o.Version, 1)
	setDefault(&o.Capacity, 8)
	setDefault(&o.RoundTime, 2*time.Millisecond)
	setDefault(&o.RoundTimePerRequest, 200*time.Microsecond)
	setDefault(&o.PrefillTimePerBlock, 100*time.Microsecond)
	setDefault(&o.CacheBlocks, 1024)
	setDefault(&o.LoadTime, 300*time.Millisecond)
	setDefault(&o.SwitchTime, 50*time.Millisecond)
	setDefault(&o.LoadReportDelay, 500*time.Millisecond)
	setDefault(&o.CacheEventDelay, 2*time.Second)
	setDefault(&o.CacheEventLossRate, 0.1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// loadSampleInterval is the time between two samples of the load.
const loadSampleInterval = 100 * time.Millisecond

type loadSample struct {
	at   time.Time
	load api.Load
}

// Engine is a running simulated engine.
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
	ctx         context.Context // cancelled by Close
	cancel      context.CancelFunc
	background  sync.WaitGroup

	mu                  sync.Mutex
	currentVersion      api.WeightVersion
	loadedVersions      []api.WeightVersion
	loadingVersions     map[api.WeightVersion]bool
	highestFencingToken uint64 // highest fencing token of the orders so far
	loadSamples         []loadSample
	exchangePartner     *generation // waits for a second request to exchange answers with
	rng                 *rand.Rand
	closed              bool
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
		opts:            opts,
		faults:          standin.NewFaultState(opts.IgnoreFencing),
		log:             log,
		cache:           newPrefixCache(max(opts.CacheBlocks, 0)),
		client:          &http.Client{},
		incarnation:     uint64(time.Now().UnixMilli()),
		ctx:             ctx,
		cancel:          cancel,
		currentVersion:  opts.Version,
		loadedVersions:  []api.WeightVersion{opts.Version},
		loadingVersions: map[api.WeightVersion]bool{},
		rng:             rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	e.batch = &batch{capacity: opts.Capacity, baseRoundTime: opts.RoundTime, roundTimePerRequest: opts.RoundTimePerRequest, faults: e.faults, version: e.Version, admit: e.prefill}
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

// Log returns the requests and orders received so far.
func (e *Engine) Log() standin.LogContent { return e.log.Content() }

// Version returns the weight version that generates new tokens.
func (e *Engine) Version() api.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentVersion
}

// Leave announces that the engine is leaving. Running and new requests are still served.
func (e *Engine) Leave() { e.announcer.Leave() }

// Idle reports whether the engine has no running or waiting request.
func (e *Engine) Idle() bool {
	running, waiting := e.batch.counts()
	return running+waiting == 0
}

// Close stops the engine and resets its connections.
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

// Crash stops the engine as if its process had been killed.
func (e *Engine) Crash() {
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
		return
	}
	go e.Close()
}

// prefill looks up the prompt of an admitted request in the prefix cache and sets the time from which it generates
// tokens.
func (e *Engine) prefill(r *generation) {
	minVersion := r.request.minVersion()
	if e.faults.StaleCache() {
		minVersion = 0
	}
	reused, computed := e.cache.lookupOrInsert(r.prompt, e.Version(), minVersion)
	r.reused = reused
	r.readyAt = r.admitted.Add(time.Duration(computed) * e.opts.PrefillTimePerBlock)
}

func (e *Engine) describe() api.Announcement {
	now := time.Now()
	e.mu.Lock()
	loaded := slices.Clone(e.loadedVersions)
	current := e.currentVersion
	load := e.delayedLoad(now)
	lost := func() bool { return e.rng.Float64() < e.opts.CacheEventLossRate }
	events := e.cache.takeEvents(now, e.opts.CacheEventDelay, lost)
	e.mu.Unlock()
	return api.Announcement{
		ID: e.opts.ID, Incarnation: e.incarnation, Address: e.server.Address(), Domain: e.opts.Domain,
		Pool: e.opts.Pool, Engine: true, Model: e.opts.Model, Current: current, Loaded: loaded,
		Capacity: e.opts.Capacity, Load: load, Fencing: e.fencingMode(), CacheEvents: events,
	}
}

func (e *Engine) fencingMode() api.Fencing {
	if e.opts.IgnoreFencing {
		return api.FencingIgnored
	}
	return api.FencingChecked
}

// delayedLoad returns the newest load sample that is at least LoadReportDelay old. The caller holds e.mu.
func (e *Engine) delayedLoad(now time.Time) api.Load {
	var load api.Load
	for _, s := range e.loadSamples {
		if now.Sub(s.at) < e.opts.LoadReportDelay {
			break
		}
		load = s.load
	}
	return load
}

func (e *Engine) sampleLoad() {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	last := e.batch.generated.Load()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			running, waiting := e.batch.counts()
			total := e.batch.generated.Load()
			rate := float64(total-last) / loadSampleInterval.Seconds()
			last = total
			e.addLoadSample(loadSample{at: now, load: api.Load{Running: running, Waiting: waiting, TokensPerSecond: rate}})
		}
	}
}

// addLoadSample appends a sample and drops those that are too old to be reported.
func (e *Engine) addLoadSample(s loadSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadSamples = append(e.loadSamples, s)
	keep := int(e.opts.LoadReportDelay/loadSampleInterval) + 16
	if len(e.loadSamples) > keep {
		e.loadSamples = slices.Delete(e.loadSamples, 0, len(e.loadSamples)-keep)
	}
}
