package trainer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
)

// Names of the RPC methods that VMs call on each other.
const (
	MethodFetchBodies   = "trainer.body"
	MethodReleaseBodies = "trainer.release"
)

// sampleBody is the part of a finished sample that only its holder stores, the VM that generated it. The replicated
// ledger has its digest.
type sampleBody struct {
	Text      string           `cbor:"1,keyasint"`
	Tokens    int              `cbor:"2,keyasint"`
	Labels    []api.PieceLabel `cbor:"3,keyasint"`
	Score     *float64         `cbor:"4,keyasint"`
	Queued    time.Duration    `cbor:"5,keyasint"`
	Generated time.Duration    `cbor:"6,keyasint"`
}

// bodyKey identifies the body of one finished attempt. The digest distinguishes the results of an attempt that ran
// twice, as stragglers do.
type bodyKey struct {
	ID      control.SampleID `cbor:"1,keyasint"`
	Attempt uint64           `cbor:"2,keyasint"`
	Digest  uint64           `cbor:"3,keyasint"` // xxhash of the encoded body
}

// bodyStore keeps encoded sample bodies in memory until the trainer has acknowledged the samples.
type bodyStore struct {
	mu    sync.Mutex
	steps map[control.StepID]map[bodyKey][]byte
}

func newBodyStore() *bodyStore { return &bodyStore{steps: map[control.StepID]map[bodyKey][]byte{}} }

func (b *bodyStore) put(k bodyKey, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bodies, ok := b.steps[k.ID.Step]
	if !ok {
		bodies = map[bodyKey][]byte{}
		b.steps[k.ID.Step] = bodies
	}
	bodies[k] = data
}

func (b *bodyStore) get(k bodyKey) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, ok := b.steps[k.ID.Step][k]
	return data, ok
}

func (b *bodyStore) drop(k bodyKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bodies := b.steps[k.ID.Step]
	delete(bodies, k)
	if len(bodies) == 0 {
		delete(b.steps, k.ID.Step)
	}
}

// dropSamples drops the bodies of all attempts of the given samples.
func (b *bodyStore) dropSamples(ids []control.SampleID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	acked := map[control.SampleID]bool{}
	for _, id := range ids {
		acked[id] = true
	}
	for step, bodies := range b.steps {
		for k := range bodies {
			if acked[k.ID] {
				delete(bodies, k)
			}
		}
		if len(bodies) == 0 {
			delete(b.steps, step)
		}
	}
}

func (b *bodyStore) dropStep(id control.StepID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.steps, id)
}

func (b *bodyStore) stepIDs() []control.StepID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []control.StepID
	for id := range b.steps {
		out = append(out, id)
	}
	return out
}

type fetchBodiesRequest struct {
	Keys []bodyKey `cbor:"1,keyasint"`
}

// fetchBodiesResponse has the bodies of the first keys of the request, as many as fit into a message, in the order
// of the keys. The entry of a body that is not stored is nil.
type fetchBodiesResponse struct {
	Bodies [][]byte `cbor:"1,keyasint"`
}

const (
	maxBodyKeys    = 1024
	maxBodiesBytes = 4 << 20 // leaves room in a transport message, which holds 8 MiB
)

func (s *Service) handleFetchBodies(_ context.Context, data []byte) ([]byte, error) {
	var req fetchBodiesRequest
	if err := control.Decode(data, &req); err != nil {
		return nil, err
	}
	if len(req.Keys) > maxBodyKeys {
		return nil, errs.New(errs.InvalidArgument, "split the request", "the request asks for %d sample bodies; at most %d are allowed", len(req.Keys), maxBodyKeys)
	}
	resp, total := fetchBodiesResponse{}, 0
	for _, k := range req.Keys {
		data, _ := s.bodies.get(k)
		total += len(data)
		if total > maxBodiesBytes && len(resp.Bodies) > 0 {
			break
		}
		resp.Bodies = append(resp.Bodies, data)
	}
	return control.Encode(resp)
}

type releaseBodiesRequest struct {
	Samples []control.SampleID `cbor:"1,keyasint"`
}

func (s *Service) handleReleaseBodies(_ context.Context, data []byte) ([]byte, error) {
	var req releaseBodiesRequest
	if err := control.Decode(data, &req); err != nil {
		return nil, err
	}
	s.bodies.dropSamples(req.Samples)
	return nil, nil
}

// fetchResult is a holder's answer about one body. Only a lost body is a reason to generate the sample again.
type fetchResult struct {
	data []byte
	lost bool // the holder does not have the body, or has a damaged one
}

// fetchTimeout is how long a request waits for one holder. After a timeout, a later request delivers the samples.
const fetchTimeout = 3 * time.Second

// fetchBodies gets the bodies of samples from their holders, all of which it asks in parallel. A sample has no entry
// in the result if its holder cannot be reached now.
func (s *Service) fetchBodies(ctx context.Context, samples []control.SampleView) map[control.SampleID]fetchResult {
	byHolder := map[api.VMID][]control.SampleView{}
	for _, v := range samples {
		byHolder[v.VM] = append(byHolder[v.VM], v)
	}
	vms := s.opts.Client.VMs()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[control.SampleID]fetchResult{}
	for holder, list := range byHolder {
		wg.Go(func() {
			got := s.fetchFromHolder(ctx, vms, holder, list)
			mu.Lock()
			defer mu.Unlock()
			for id, f := range got {
				out[id] = f
			}
		})
	}
	wg.Wait()
	return out
}

func bodyKeyOf(v control.SampleView) bodyKey {
	return bodyKey{ID: v.ID, Attempt: v.Attempt, Digest: v.Digest}
}

func (s *Service) fetchFromHolder(ctx context.Context, vms []api.VM, holder api.VMID, list []control.SampleView) map[control.SampleID]fetchResult {
	out := map[control.SampleID]fetchResult{}
	i := slices.IndexFunc(vms, func(vm api.VM) bool { return vm.ID == holder })
	if i < 0 {
		return out
	}
	var wanted []control.SampleView
	for _, v := range list {
		switch {
		case v.Incarnation < vms[i].Incarnation:
			out[v.ID] = fetchResult{lost: true} // the holder restarted, which loses its bodies because they are only in memory
		case v.Incarnation == vms[i].Incarnation:
			wanted = append(wanted, v)
		}
	}
	if holder == s.opts.VM.ID {
		for _, v := range wanted {
			data, ok := s.bodies.get(bodyKeyOf(v))
			out[v.ID] = fetchResult{data: data, lost: !ok}
		}
		return out
	}
	s.fetchFromRemote(ctx, vms[i].Address, wanted, out)
	return out
}

func (s *Service) fetchFromRemote(ctx context.Context, addr string, wanted []control.SampleView, out map[control.SampleID]fetchResult) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for len(wanted) > 0 {
		batch := wanted[:min(len(wanted), maxBodyKeys)]
		bodies, err := s.requestBodies(ctx, addr, batch)
		if err != nil || len(bodies) == 0 || len(bodies) > len(batch) {
			s.opts.Events.Log().WithError(err).WithField("holder", addr).Warn("failed to fetch sample bodies; a later request fetches them again")
			return
		}
		for i, data := range bodies {
			lost := data == nil || xxhash.Sum64(data) != batch[i].Digest
			out[batch[i].ID] = fetchResult{data: data, lost: lost}
		}
		wanted = wanted[len(bodies):]
	}
}

func (s *Service) requestBodies(ctx context.Context, addr string, batch []control.SampleView) ([][]byte, error) {
	req := fetchBodiesRequest{}
	for _, v := range batch {
		req.Keys = append(req.Keys, bodyKeyOf(v))
	}
	request, err := control.Encode(req)
	if err != nil {
		return nil, err
	}
	data, err := s.opts.CallVM(ctx, addr, MethodFetchBodies, request)
	if err != nil {
		return nil, err
	}
	var resp fetchBodiesResponse
	err = control.Decode(data, &resp)
	return resp.Bodies, err
}

// releaseBodies tells the holders of acknowledged samples to drop the bodies. If a message is lost, the bodies stay
// in memory until dropEndedSteps drops those of the whole step.
func (s *Service) releaseBodies(ctx context.Context, samples []control.SampleView) {
	byHolder := map[api.VMID][]control.SampleID{}
	for _, v := range samples {
		byHolder[v.VM] = append(byHolder[v.VM], v.ID)
	}
	s.bodies.dropSamples(byHolder[s.opts.VM.ID])
	for _, vm := range s.opts.Client.VMs() {
		ids := byHolder[vm.ID]
		if len(ids) == 0 || vm.ID == s.opts.VM.ID {
			continue
		}
		request, err := control.Encode(releaseBodiesRequest{Samples: ids})
		if err == nil {
			_, err = s.opts.CallVM(ctx, vm.Address, MethodReleaseBodies, request)
		}
		if err != nil {
			s.opts.Events.Log().WithError(err).WithField("holder", vm.ID).Debug("failed to tell a holder to drop the bodies of acknowledged samples")
		}
	}
}

// dropEndedSteps drops the bodies and jobs of steps that were removed from the ledger or whose samples are all
// acknowledged.
func (s *Service) dropEndedSteps(ctx context.Context) {
	for _, id := range slices.Concat(s.bodies.stepIDs(), s.runner.stepIDs()) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		view, err := s.opts.Client.Step(ctx, id)
		cancel()
		removed := errs.Is(err, errs.NotFound)
		if removed || err == nil && view.Acked == view.Groups*view.Size {
			s.bodies.dropStep(id)
			s.runner.dropStep(id)
		}
	}
}
