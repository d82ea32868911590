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

// ReplicaAddress is where a control replica answers.
type ReplicaAddress struct {
	Address string // QUIC endpoint
	Domain  api.FailureDomain
}

// RemoteClientOptions configure a Remote.
type RemoteClientOptions struct {
	VM       api.VM // of this VM; TableVersion and LastSeen are ignored
	Replicas []ReplicaAddress
	SendRPC  RPCFunc
	Clock    func() time.Duration // monotonic; must go on while the process is frozen
	Events   *events.Recorder
	// Loads returns the load of each row that has any. It must count each request from before Share was asked
	// for it. Nil reports no demand.
	Loads func() []RowLoad
}

// Timing of the client.
const (
	pollTimeout   = watchWait + readIndexTimeout + 300*time.Millisecond
	attemptWait   = 2 * time.Second // for one attempt of Do or Step
	retryPause    = 50 * time.Millisecond
	preferredPoll = 20 // polls to another replica after which the preferred one is tried again
)

// RemoteClient is the Client of every VM. It keeps the table through long polls to the replicas.
type RemoteClient struct {
	o        RemoteClientOptions
	replicas []string // own failure domain first

	view  atomic.Pointer[remoteView]
	lease atomic.Int64 // monotonic time in ns at which the table lease ends
	fresh atomic.Bool  // last state that was recorded as an event
	// released is set when the VM gives its shares back.
	released atomic.Bool

	mu      sync.Mutex
	leader  string
	renewed chan struct{} // closed at the next renewal of the lease

	callbackMu sync.Mutex
	callbacks  []func(*table.Snapshot)
}

// remoteView is immutable.
type remoteView struct {
	table          *table.Snapshot
	weightsVersion uint64
	weights        map[string]ModelWeights
	vms            []api.VM
	listHash       uint64
	claimRevision  uint64
	sharesKnown    bool
	sharesVersion  uint64
	shares         map[api.RowName]Share
}

var _ Client = (*RemoteClient)(nil)

// NewRemoteClient returns a client without a table. Run must run for it to get one.
func NewRemoteClient(o RemoteClientOptions) *RemoteClient {
	r := &RemoteClient{o: o, renewed: make(chan struct{})}
	ordered := slices.Clone(o.Replicas)
	slices.SortStableFunc(ordered, func(a, b ReplicaAddress) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(r.weight(a), r.weight(b)))
	})
	for _, a := range ordered {
		r.replicas = append(r.replicas, a.Address)
	}
	r.view.Store(&remoteView{table: table.NewSnapshot(0, nil)})
	return r
}

func (r *RemoteClient) distance(a ReplicaAddress) int {
	if a.Domain == r.o.VM.Domain {
		return 0
	}
	return 1
}

// weight spreads the VMs over the replicas outside their failure domain.
func (r *RemoteClient) weight(a ReplicaAddress) uint64 {
	return xxhash.Sum64String(string(r.o.VM.ID) + "\x00" + a.Address)
}

// Table implements Client.
func (r *RemoteClient) Table() *table.Snapshot { return r.view.Load().table }

// TableLeaseValid implements Client. It compares the clock at each call, so a process that was frozen sees the end of
// its lease on waking.
func (r *RemoteClient) TableLeaseValid() bool { return r.o.Clock() < time.Duration(r.lease.Load()) }

// Weights implements Client.
func (r *RemoteClient) Weights(model string) ModelWeights { return r.view.Load().weights[model] }

// ClaimRevision changes when ClaimGroups may return something new.
func (r *RemoteClient) ClaimRevision() uint64 { return r.view.Load().claimRevision }

// VMs implements Client. The table versions and ages are those of the time at which the list last changed.
func (r *RemoteClient) VMs() []api.VM {
	v := r.view.Load()
	out := slices.Clone(v.vms)
	i := slices.IndexFunc(out, func(vm api.VM) bool { return vm.ID == r.o.VM.ID })
	if i < 0 {
		out = append(out, r.o.VM)
		i = len(out) - 1
	}
	out[i] = r.o.VM
	out[i].TableVersion = v.table.Version()
	return out
}

// OnTableUpdate registers f, which is called with each new table, in order, from the goroutine of Run, before the
// lease covers that table. It is called at once with the current table if there is one. f must not call OnTableUpdate.
func (r *RemoteClient) OnTableUpdate(f func(*table.Snapshot)) {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	r.callbacks = append(r.callbacks, f)
	if t := r.Table(); t.Version() > 0 {
		f(t)
	}
}

// WaitForTableLease blocks until the table lease is valid. The error is of kind errs.StaleTable if ctx ends before.
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

// Run polls the replicas until ctx ends.
func (r *RemoteClient) Run(ctx context.Context) {
	current, elsewhere, failed := 0, 0, false
	for ctx.Err() == nil {
		if current != 0 && elsewhere >= preferredPoll {
			current, elsewhere = 0, 0
		}
		err := r.poll(ctx, r.replicas[current], failed)
		r.recordLease()
		failed = err != nil
		if failed {
			r.o.Events.Log().WithError(err).WithField("replica", r.replicas[current]).Debug("poll failed")
			current, elsewhere = (current+1)%len(r.replicas), 0
			pause(ctx, retryPause)
			continue
		}
		elsewhere++
	}
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
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
		VM: r.o.VM, TableVersion: v.table.Version(), WeightsVersion: v.weightsVersion,
		VMListHash: v.listHash, ClaimRevision: v.claimRevision, NoWait: noWait || !r.TableLeaseValid(),
		SharesVersion: v.sharesVersion, ShareReports: r.shareReport(v),
	}
	request, err := Encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := r.o.Clock()
	data, err := r.o.SendRPC(ctx, addr, MethodWatch, request)
	if err != nil {
		return err
	}
	var a WatchResponse
	if _, err := decodeAnswer(data, &a); err != nil {
		return err
	}
	return r.accept(a, sent)
}

// accept takes over a confirmed answer to a poll that was sent at time sent. An answer from a table older than
// the one held renews nothing: versions never go back.
func (r *RemoteClient) accept(a WatchResponse, sent time.Duration) error {
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
	if a.VMListHash != old.listHash {
		next.listHash, next.vms = a.VMListHash, a.VMs
	}
	next.takeShares(a)
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

// publish makes the new view visible before it renews the lease, so that Fresh never covers an older table.
func (r *RemoteClient) publish(old, next *remoteView, leader string, sent time.Duration) {
	r.view.Store(next)
	if next.table.Version() > old.table.Version() {
		r.o.Events.Record(events.Event{Name: events.TableApplied, Detail: versionDetail(next.table.Version())})
		r.callBack(next.table)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renew(sent)
	if leader != "" {
		r.leader = leader
	}
}

func (r *RemoteClient) callBack(t *table.Snapshot) {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	for _, f := range r.callbacks {
		f(t)
	}
}

// leaseEnd is the end of a lease whose poll was sent at time sent.
func leaseEnd(sent time.Duration) time.Duration {
	return sent + TableLeaseDuration - TableLeaseDuration*driftPercent/100
}

func (r *RemoteClient) renew(sent time.Duration) {
	if end := int64(leaseEnd(sent)); end > r.lease.Load() {
		r.lease.Store(end)
	}
	close(r.renewed)
	r.renewed = make(chan struct{})
}

func (r *RemoteClient) recordLease() {
	fresh := r.TableLeaseValid()
	if r.fresh.Swap(fresh) == fresh {
		return
	}
	name := events.TableLeaseExpired
	if fresh {
		name = events.TableLeaseRenewed
	}
	r.o.Events.Record(events.Event{Name: name})
}
