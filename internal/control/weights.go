package control

import (
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of the models and their weight versions.
const (
	maxPublishTimes = 64
	maxModels       = 1024
	maxModelBytes   = 128
)

type modelEntry struct {
	ModelWeights
	index uint64 // log index of the last accepted PublishWeights
}

func (s *state) publishWeights(p PublishWeights) Result {
	if p.Model == "" || len(p.Model) > maxModelBytes || p.Version == 0 {
		return failedResult(errs.InvalidArgument, "name the model and a version of at least 1", "version %d of model %q cannot be published", p.Version, p.Model)
	}
	entry, ok := s.weights[p.Model]
	if !ok {
		if len(s.weights) >= maxModels {
			return failedResult(errs.Overloaded, "reuse a model name", "the maximum of %d models is reached", maxModels)
		}
		entry = &modelEntry{}
		s.weights[p.Model] = entry
	}
	if p.Version <= entry.Newest {
		return Result{NewestWeights: entry.Newest}
	}
	entry.publish(p.Version, s.now)
	entry.index = s.index
	s.weightsVersion = s.index
	return Result{NewestWeights: entry.Newest, Accepted: true}
}

// publish adds version v. Skipped versions count as published at the same time, except below the first version ever
// published.
func (e *modelEntry) publish(v api.WeightVersion, now time.Time) {
	added := uint64(1)
	if e.Newest > 0 {
		added = min(uint64(v-e.Newest), maxPublishTimes)
	}
	times := slices.Clone(e.PublishTimes) // readers may hold the old slice
	for range added {
		times = append(times, now)
	}
	e.PublishTimes = times[max(0, len(times)-maxPublishTimes):]
	e.Newest = v
}

// SuccessorTime returns the time at which the successor of version v was published. It returns false if v is the
// newest version or so old that the time is no longer kept.
func (w ModelWeights) SuccessorTime(v api.WeightVersion) (time.Time, bool) {
	if v >= w.Newest || v < w.OldestKept() {
		return time.Time{}, false
	}
	return w.PublishTimes[len(w.PublishTimes)-int(w.Newest-v)], true
}

// OldestKept returns the oldest version for which SuccessorTime is known.
func (w ModelWeights) OldestKept() api.WeightVersion {
	return w.Newest - min(w.Newest, api.WeightVersion(len(w.PublishTimes)))
}

// Weights returns the published weight versions of a model.
func (m *StateMachine) Weights(model string) ModelWeights {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if e, ok := m.state.weights[model]; ok {
		return e.ModelWeights
	}
	return ModelWeights{}
}

func (s *state) issueFencingToken() Result {
	s.fencingToken++
	return Result{FencingToken: s.fencingToken, Accepted: true}
}

func (s *state) vmLost(v VMLost) Result {
	return Result{Count: s.calls.markOwnerLost(v.VM, v.Incarnation) + s.ledger.releaseLostOwner(v.VM, v.Incarnation)}
}
