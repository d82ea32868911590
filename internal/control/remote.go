package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

// ReplicaAddress is the address and failure domain of a control replica.
type ReplicaAddress struct {
	Address string // QUIC endpoint
	Domain  api.FailureDomain
}

// RemoteClientOptions configures a RemoteClient.
type RemoteClientOptions struct {
	VM       api.VM // this VM; TableVersion and SinceLastSeen are ignored
	Replicas []ReplicaAddress
	SendRPC  RPCFunc
	Clock    func() time.Duration // monotonic; must keep running while the process is suspended
	Events   *events.Recorder
	// Loads returns the load of each row that has any. A request must be counted before Share is consulted for it. Nil
	// means no demand.
	Loads func() []RowLoad
}

// Timeouts and intervals of the client.
const (
	pollTimeout               = watchWait + readIndexTimeout + networkAllowance
	networkAllowance          = 300 * time.Millisecond // for the transfer of a poll and its response
	attemptTimeout            = 2 * time.Second        // for one attempt of a request other than a poll
	retryDelay                = 50 * time.Millisecond
	pollsBeforePreferredRetry = 20 // polls of another replica before the preferred one is tried again
)

// RemoteClient is the Client that every VM uses. It keeps its copy of the table up to date by long-polling the
// replicas.
type RemoteClient struct {
	opts     RemoteClientOptions
	replicas []string // those in the same failure domain first; the first one is preferred

	view          atomic.Pointer[clientView]
	leaseExpiry   atomic.Int64 // monotonic time in nanoseconds at which the table lease expires
	recordedValid atomic.Bool  // lease validity as last recorded in an event
	// released is set when the VM starts to release its shares. From then on Share returns 0.
	released atomic.Bool

	mu      sync.Mutex
	leader  string
	renewed chan struct{} // closed at the next renewal of the lease

	callbackMu sync.Mutex
	callbacks  []func(*table.Snapshot)
}

// clientView is an immutable copy of the control state as this VM knows it.
type clientView struct {
	table          *table.Snapshot
	weightsVersion uint64
	weights        map[string]ModelWeights
	vms            []api.VM
	vmListHash     uint64
	claimRevision  uint64
	sharesKnown    bool
	sharesVersion  uint64
	shares         map[api.RowName]Share
}

var _ Client = (*RemoteClient)(nil)

// NewRemoteClient returns a client with an empty table. It receives the table once Run is called.
func NewRemoteClient(opts RemoteClientOptions) *RemoteClient {
	r := &RemoteClient{opts: opts, renewed: make(chan struct{})}
	ordered := slices.Clone(opts.Replicas)
	slices.SortStableFunc(ordered, func(a, b ReplicaAddress) int {
		return cmp.Or(cmp.Compare(r.domainDistance(a), r.domainDistance(b)), cmp.Compare(r.replicaHash(a), r.replicaHash(b)))
	})
	for _, a := range ordered {
		r.replicas = append(r.replicas, a.Address)
	}
	r.view.Store(&clientView{table: table.NewSnapshot(0, nil)})
	return r
}

func (r *RemoteClient) domainDistance(a ReplicaAddress) int {
	if a.Domain == r.opts.VM.Domain {
		return 0
	}
	return 1
}

// replicaHash distributes the VMs over the replicas outside their failure domain.
func (r *RemoteClient) replicaHash(a ReplicaAddress) uint64 {
	return xxhash.Sum64String(string(r.opts.VM.ID) + "\x00" + a.Address)
}

// Table implements Client.
func (r *RemoteClient) Table() *table.Snapshot { return r.view.Load().table }

// TableLeaseValid implements Client. It reads the clock on each call, so a process that was suspended sees that its
// lease has expired as soon as it resumes.
func (r *RemoteClient) TableLeaseValid() bool {
	return r.opts.Clock() < time.Duration(r.leaseExpiry.Load())
}

// Weights implements Client.
func (r *RemoteClient) Weights(model string) ModelWeights { return r.view.Load().weights[model] }

// ClaimRevision returns a number that changes whenever ClaimGroups may return something new.
func (r *RemoteClient) ClaimRevision() uint64 { return r.view.Load().claimRevision }

// VMs implements Client. The table versions and ages are as of the last change of the list.
func (r *RemoteClient) VMs() []api.VM {
	v := r.view.Load()
	out := slices.Clone(v.vms)
	i := slices.IndexFunc(out, func(vm api.VM) bool { return vm.ID == r.opts.VM.ID })
	if i < 0 {
		out = append(out, r.opts.VM)
		i = len(out) - 1
	}
	out[i] = r.opts.VM
	out[i].TableVersion = v.table.Version()
	return out
}

// OnTableUpdate registers f, which the goroutine of Run calls with each new table, in order, before the lease covers
// that table. If there already is a table, OnTableUpdate calls f with it at once. f must not call OnTableUpdate.
func (r *RemoteClient) OnTableUpdate(f func(*table.Snapshot)) {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	r.callbacks = append(r.callbacks, f)
	if t := r.Table(); t.Version() > 0 {
		f(t)
	}
}

// WaitForTableLease blocks until the table lease is valid. The error is of kind errs.StaleTable if ctx ends first.
func (r *RemoteClient) WaitForTableLease(ctx context.Context) error {
	for {
		r.mu.Lock()
		renewed := r.renewed
		r.mu.Unlock()
		if r.TableLeaseValid() {
			return nil
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.StaleTable, "check that a control replica can be reached", "no confirmed table")
		}
	}
}

// Run polls the replicas until ctx is done.
func (r *RemoteClient) Run(ctx context.Context) {
	current, pollsSinceSwitch, failed := 0, 0, false
	for ctx.Err() == nil {
		if current != 0 && pollsSinceSwitch >= pollsBeforePreferredRetry {
			current, pollsSinceSwitch = 0, 0
		}
		err := r.poll(ctx, r.replicas[current], failed)
		r.recordLeaseState()
		failed = err != nil
		if failed {
			r.opts.Events.Log().WithError(err).WithField("replica", r.replicas[current]).Debug("poll failed")
			current, pollsSinceSwitch = (current+1)%len(r.replicas), 0
			sleep(ctx, retryDelay)
			continue
		}
		pollsSinceSwitch++
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *RemoteClient) poll(ctx context.Context, addr string, noWait bool) error {
	v := r.view.Load()
	q := WatchRequest{
		VM: r.opts.VM, TableVersion: v.table.Version(), WeightsVersion: v.weightsVersion,
		VMListHash: v.vmListHash, ClaimRevision: v.claimRevision, NoWait: noWait || !r.TableLeaseValid(),
		SharesVersion: v.sharesVersion, ShareReports: r.shareReport(v),
	}
	request, err := Encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := r.opts.Clock()
	data, err := r.opts.SendRPC(ctx, addr, MethodWatch, request)
	if err != nil {
		return err
	}
	var a WatchResponse
	if _, err := decodeResponse(data, &a); err != nil {
		return err
	}
	return r.applyResponse(a, sent)
}

// applyResponse applies the response to a poll that was sent at time sent. A response with an older table or
// older weights than the current ones does not renew the lease: versions never decrease.
func (r *RemoteClient) applyResponse(a WatchResponse, sent time.Duration) error {
	old := r.view.Load()
	if a.TableVersion < old.table.Version() || a.WeightsVersion < old.weightsVersion {
		return errs.New(errs.Unavailable, "replace the replica if this persists",
			"the replica has table version %d, which is older than %d", a.TableVersion, old.table.Version())
	}
	next := *old
	if a.TableVersion > old.table.Version() {
		next.table = old.table.WithRows(a.TableVersion, a.Rows...)
	}
	if a.WeightsVersion > old.weightsVersion {
		next.weightsVersion, next.weights = a.WeightsVersion, mergeWeights(old.weights, a.Models)
	}
	if a.VMListHash != old.vmListHash {
		next.vmListHash, next.vms = a.VMListHash, a.VMs
	}
	next.applyShares(a)
	next.claimRevision = max(old.claimRevision, a.ClaimRevision)
	r.publish(old, &next, a.Leader, sent)
	return nil
}

func mergeWeights(old map[string]ModelWeights, changed []NamedWeights) map[string]ModelWeights {
	next := make(map[string]ModelWeights, len(old)+len(changed))
	for model, w := range old {
		next[model] = w
	}
	for _, n := range changed {
		if n.Weights.Newest >= next[n.Model].Newest {
			next[n.Model] = n.Weights
		}
	}
	return next
}

// publish makes the new view visible before it renews the lease, so that the renewed lease never covers an older
// table.
func (r *RemoteClient) publish(old, next *clientView, leader string, sent time.Duration) {
	r.view.Store(next)
	if next.table.Version() > old.table.Version() {
		r.opts.Events.Record(events.Event{Name: events.TableApplied, Detail: versionDetail(next.table.Version())})
		r.notifyTableUpdate(next.table)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewLease(sent)
	if leader != "" {
		r.leader = leader
	}
}

func (r *RemoteClient) notifyTableUpdate(t *table.Snapshot) {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	for _, f := range r.callbacks {
		f(t)
	}
}

// leaseEnd returns the end of the lease that a poll sent at time sent obtains.
func leaseEnd(sent time.Duration) time.Duration {
	return sent + TableLeaseDuration - TableLeaseDuration*driftPercent/100
}

func (r *RemoteClient) renewLease(sent time.Duration) {
	if end := int64(leaseEnd(sent)); end > r.leaseExpiry.Load() {
		r.leaseExpiry.Store(end)
	}
	close(r.renewed)
	r.renewed = make(chan struct{})
}

func (r *RemoteClient) recordLeaseState() {
	valid := r.TableLeaseValid()
	if r.recordedValid.Swap(valid) == valid {
		return
	}
	name := events.TableLeaseExpired
	if valid {
		name = events.TableLeaseRenewed
	}
	r.opts.Events.Record(events.Event{Name: name})
}
