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

// Methods between VMs.
const (
	MethodFetchBodies   = "trainer.body"
	MethodReleaseBodies = "trainer.release"
)

// body is what the VM that ran a sample holds of it.
type body struct {
	Text      string           `cbor:"1,keyasint"`
	Tokens    int              `cbor:"2,keyasint"`
	Labels    []api.PieceLabel `cbor:"3,keyasint"`
	Score     *float64         `cbor:"4,keyasint"`
	Queued    time.Duration    `cbor:"5,keyasint"`
	Generated time.Duration    `cbor:"6,keyasint"`
}

// bodyKey names one finished attempt. The digest tells duplicates of an attempt apart.
type bodyKey struct {
	ID      control.SampleID `cbor:"1,keyasint"`
	Attempt uint64           `cbor:"2,keyasint"`
	Digest  uint64           `cbor:"3,keyasint"` // xxhash of the encoded body
}

// bodyStore holds encoded bodies until they are acknowledged.
type bodyStore struct {
	mu    sync.Mutex
	steps map[control.StepID]map[bodyKey][]byte
}

func newBodyStore() *bodyStore { return &bodyStore{steps: map[control.StepID]map[bodyKey][]byte{}} }

func (b *bodyStore) put(k bodyKey, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.steps[k.ID.Step]
	if !ok {
		held = map[bodyKey][]byte{}
		b.steps[k.ID.Step] = held
	}
	held[k] = data
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
	held := b.steps[k.ID.Step]
	delete(held, k)
	if len(held) == 0 {
		delete(b.steps, k.ID.Step)
	}
}

// dropSamples drops all attempts of acknowledged samples.
func (b *bodyStore) dropSamples(ids []control.SampleID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	acked := map[control.SampleID]bool{}
	for _, id := range ids {
		acked[id] = true
	}
	for step, held := range b.steps {
		for k := range held {
			if acked[k.ID] {
				delete(held, k)
			}
		}
		if len(held) == 0 {
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

type bodyRequest struct {
	Keys []bodyKey `cbor:"1,keyasint"`
}

// bodyAnswer holds a prefix of the requested bodies, as many as fit. A body that is not held is nil.
type bodyAnswer struct {
	Bodies [][]byte `cbor:"1,keyasint"`
}

const (
	maxBodyKeys    = 1024
	maxBodiesBytes = 4 << 20 // a transport message holds 8 MiB
)

func (s *Service) handleBody(_ context.Context, request []byte) ([]byte, error) {
	var q bodyRequest
	if err := control.Decode(request, &q); err != nil {
		return nil, err
	}
	if len(q.Keys) > maxBodyKeys {
		return nil, errs.New(errs.InvalidArgument, "split the request", "%d bodies are asked for; at most %d are allowed", len(q.Keys), maxBodyKeys)
	}
	a, total := bodyAnswer{}, 0
	for _, k := range q.Keys {
		data, _ := s.bodies.get(k)
		total += len(data)
		if total > maxBodiesBytes && len(a.Bodies) > 0 {
			break
		}
		a.Bodies = append(a.Bodies, data)
	}
	return control.Encode(a)
}

type releaseRequest struct {
	Samples []control.SampleID `cbor:"1,keyasint"`
}

func (s *Service) handleRelease(_ context.Context, request []byte) ([]byte, error) {
	var q releaseRequest
	if err := control.Decode(request, &q); err != nil {
		return nil, err
	}
	s.bodies.dropSamples(q.Samples)
	return nil, nil
}

// fetched is the outcome of asking a holder for a body. Only lost is a reason to produce the sample anew.
type fetched struct {
	data []byte
	lost bool
}

// fetchTimeout bounds the wait for one holder; its samples are handed over later then.
const fetchTimeout = 3 * time.Second

// fetch asks the holders of samples for their bodies, all holders at the same time. Samples without an entry
// in the result have a holder that cannot be reached now.
func (s *Service) fetch(ctx context.Context, samples []control.SampleView) map[control.SampleID]fetched {
	byHolder := map[api.VMID][]control.SampleView{}
	for _, v := range samples {
		byHolder[v.VM] = append(byHolder[v.VM], v)
	}
	vms := s.o.Client.VMs()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[control.SampleID]fetched{}
	for holder, list := range byHolder {
		wg.Go(func() {
			got := s.fetchFrom(ctx, vms, holder, list)
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

func keyOf(v control.SampleView) bodyKey {
	return bodyKey{ID: v.ID, Attempt: v.Attempt, Digest: v.Digest}
}

func (s *Service) fetchFrom(ctx context.Context, vms []api.VM, holder api.VMID, list []control.SampleView) map[control.SampleID]fetched {
	out := map[control.SampleID]fetched{}
	i := slices.IndexFunc(vms, func(vm api.VM) bool { return vm.ID == holder })
	if i < 0 {
		return out
	}
	var ask []control.SampleView
	for _, v := range list {
		switch {
		case v.Incarnation < vms[i].Incarnation:
			out[v.ID] = fetched{lost: true} // the holder was restarted and holds its bodies in memory only
		case v.Incarnation == vms[i].Incarnation:
			ask = append(ask, v)
		}
	}
	if holder == s.o.VM.ID {
		for _, v := range ask {
			data, ok := s.bodies.get(keyOf(v))
			out[v.ID] = fetched{data: data, lost: !ok}
		}
		return out
	}
	s.fetchRemote(ctx, vms[i].Address, ask, out)
	return out
}

func (s *Service) fetchRemote(ctx context.Context, addr string, ask []control.SampleView, out map[control.SampleID]fetched) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for len(ask) > 0 {
		batch := ask[:min(len(ask), maxBodyKeys)]
		bodies, err := s.askBodies(ctx, addr, batch)
		if err != nil || len(bodies) == 0 || len(bodies) > len(batch) {
			s.o.Events.Log().WithError(err).WithField("holder", addr).Warn("sample bodies could not be fetched")
			return
		}
		for i, data := range bodies {
			bad := data == nil || xxhash.Sum64(data) != batch[i].Digest
			out[batch[i].ID] = fetched{data: data, lost: bad}
		}
		ask = ask[len(bodies):]
	}
}

func (s *Service) askBodies(ctx context.Context, addr string, batch []control.SampleView) ([][]byte, error) {
	q := bodyRequest{}
	for _, v := range batch {
		q.Keys = append(q.Keys, keyOf(v))
	}
	request, err := control.Encode(q)
	if err != nil {
		return nil, err
	}
	data, err := s.o.CallVM(ctx, addr, MethodFetchBodies, request)
	if err != nil {
		return nil, err
	}
	var a bodyAnswer
	err = control.Decode(data, &a)
	return a.Bodies, err
}

// release tells the holders of acknowledged samples to drop the bodies. A message that is lost costs memory
// until the step leaves the ledger.
func (s *Service) release(ctx context.Context, samples []control.SampleView) {
	byHolder := map[api.VMID][]control.SampleID{}
	for _, v := range samples {
		byHolder[v.VM] = append(byHolder[v.VM], v.ID)
	}
	s.bodies.dropSamples(byHolder[s.o.VM.ID])
	for _, vm := range s.o.Client.VMs() {
		ids := byHolder[vm.ID]
		if len(ids) == 0 || vm.ID == s.o.VM.ID {
			continue
		}
		request, err := control.Encode(releaseRequest{Samples: ids})
		if err == nil {
			_, err = s.o.CallVM(ctx, vm.Address, MethodReleaseBodies, request)
		}
		if err != nil {
			s.o.Events.Log().WithError(err).WithField("holder", vm.ID).Debug("acknowledged samples were not released")
		}
	}
}

// sweep drops the bodies and the work of steps that have left the ledger or are consumed.
func (s *Service) sweep(ctx context.Context) {
	for _, id := range slices.Concat(s.bodies.stepIDs(), s.run.stepIDs()) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		v, err := s.o.Client.Step(ctx, id)
		cancel()
		gone := errs.Is(err, errs.NotFound)
		if gone || err == nil && v.Acked == v.Groups*v.Size {
			s.bodies.dropStep(id)
			s.run.dropStep(id)
		}
	}
}
