package server

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
	"filbertledge/internal/weights"
	"filbertledge/internal/weightstore"
)

// stagedInterval is how often the leader asks the weight store for new versions.
const stagedInterval = 5 * time.Second

// stagedVersions knows the newest version of each model that the weight store holds.
type stagedVersions struct {
	vm    *VM
	store *weightstore.Client // nil without a weight store

	mu     sync.Mutex
	newest map[string]weightstore.Version
}

func newStagedVersions(vm *VM) *stagedVersions {
	s := &stagedVersions{vm: vm, newest: map[string]weightstore.Version{}}
	if vm.cfg.Weights.Store != "" {
		s.store = weightstore.New(vm.cfg.Weights.Store)
	}
	return s
}

// run asks the store while this VM leads, until ctx ends.
func (s *stagedVersions) run(ctx context.Context, leads func() bool) {
	if s.store == nil {
		return
	}
	ticker := time.NewTicker(stagedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if leads() {
				s.refresh(ctx)
			}
		}
	}
}

func (s *stagedVersions) refresh(ctx context.Context) {
	for _, model := range s.vm.models() {
		versions, err := s.store.Versions(ctx, model)
		if err != nil {
			s.vm.events.Log().WithError(err).Warn("new weights are not loaded ahead")
			return
		}
		s.mu.Lock()
		for _, v := range versions {
			if v.Version >= s.newest[model].Version {
				s.newest[model] = v
			}
		}
		s.mu.Unlock()
	}
}

func (s *stagedVersions) version(model string) api.WeightVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[model].Version
}

// models returns the models of the table.
func (vm *VM) models() []string {
	seen := map[string]bool{"": true}
	var out []string
	vm.control.Table().Rows(func(r table.Row) {
		if !seen[r.Model] {
			seen[r.Model] = true
			out = append(out, r.Model)
		}
	})
	return out
}

// targets returns the weights that the engines of each model in the table have to run.
func (vm *VM) targets(staged *stagedVersions) map[string]weights.Target {
	rows := vm.control.Table()
	out := make(map[string]weights.Target)
	for _, model := range vm.models() {
		if newest := vm.control.Weights(model).Newest; newest > 0 {
			t := weights.TargetForModel(model, newest, rows)
			t.Staged = staged.version(model)
			out[model] = t
		}
	}
	return out
}

// maxLoads returns how many engines may load weights at once, or zero if there is no store to ask or it holds none.
func (vm *VM) maxLoads(ctx context.Context) int {
	if vm.cfg.Weights.Store == "" {
		return 0
	}
	store := weightstore.New(vm.cfg.Weights.Store)
	limits, err := store.Limits(ctx)
	if err != nil {
		vm.events.Log().WithError(err).Warn("loads are bounded by the default")
		return 0
	}
	size := vm.largestWeights(ctx, store)
	if size == 0 {
		return 0
	}
	limits.BytesPerSecond = min(limits.BytesPerSecond, int64(vm.cfg.Weights.Rate))
	return weightstore.MaxConcurrentLoads(limits, size, loadTarget)
}

func (vm *VM) largestWeights(ctx context.Context, store *weightstore.Client) int64 {
	var largest int64
	for _, model := range vm.models() {
		versions, err := store.Versions(ctx, model)
		if err != nil {
			continue
		}
		for _, v := range versions {
			largest = max(largest, v.SizeBytes)
		}
	}
	return largest
}
