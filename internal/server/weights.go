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

// stagedRefreshInterval is the interval at which the control leader asks the weight store for new versions.
const stagedRefreshInterval = 5 * time.Second

// stagedVersions tracks the newest version of each model in the weight store. Engines load it before it is published.
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

// run refreshes the versions from the weight store while this VM is the control leader, until ctx ends.
func (s *stagedVersions) run(ctx context.Context, isLeader func() bool) {
	if s.store == nil {
		return
	}
	ticker := time.NewTicker(stagedRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if isLeader() {
				s.refresh(ctx)
			}
		}
	}
}

func (s *stagedVersions) refresh(ctx context.Context) {
	for _, model := range s.vm.tableModels() {
		versions, err := s.store.Versions(ctx, model)
		if err != nil {
			s.vm.events.Log().WithError(err).Warn("cannot list the versions of the weight store; new weights are not loaded ahead of publication")
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

func (s *stagedVersions) newestVersion(model string) api.WeightVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[model].Version
}

// tableModels returns the models that rows of the table name, without duplicates.
func (vm *VM) tableModels() []string {
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

// weightTargets returns the weights that the engines of each model in the table have to run. It omits models without
// published weights.
func (vm *VM) weightTargets(staged *stagedVersions) map[string]weights.Target {
	rows := vm.control.Table()
	out := make(map[string]weights.Target)
	for _, model := range vm.tableModels() {
		if newest := vm.control.Weights(model).Newest; newest > 0 {
			t := weights.TargetForModel(model, newest, rows)
			t.Staged = staged.newestVersion(model)
			out[model] = t
		}
	}
	return out
}

// maxConcurrentLoads returns how many engines may load weights at once. It returns zero, which means the default, if no
// weight store is configured, if the store does not answer, or if it holds no weights of the table's models.
func (vm *VM) maxConcurrentLoads(ctx context.Context) int {
	if vm.cfg.Weights.Store == "" {
		return 0
	}
	store := weightstore.New(vm.cfg.Weights.Store)
	limits, err := store.Limits(ctx)
	if err != nil {
		vm.events.Log().WithError(err).Warn("cannot read the limits of the weight store; the default bounds concurrent weight loads")
		return 0
	}
	size := vm.largestWeights(ctx, store)
	if size == 0 {
		return 0
	}
	limits.BytesPerSecond = min(limits.BytesPerSecond, int64(vm.cfg.Weights.Rate))
	return weightstore.MaxConcurrentLoads(limits, size, targetLoadDuration)
}

// largestWeights returns the size in bytes of the largest stored weights of the table's models.
func (vm *VM) largestWeights(ctx context.Context, store *weightstore.Client) int64 {
	var largest int64
	for _, model := range vm.tableModels() {
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
