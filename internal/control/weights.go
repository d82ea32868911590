package control

import (
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of models.
const (
	keptPublications = 64
	maxModels        = 1024
	maxModelBytes    = 128
)

type modelEntry struct {
	ModelWeights
	index uint64 // of the last accepted PublishWeights
}

func (s *state) publishWeights(p PublishWeights) Result {
	if p.Model == "" || len(p.Model) > maxModelBytes || p.Version == 0 {
		return failure(errs.InvalidArgument, "name the model and a version of at least 1", "version %d of model %q cannot be published", p.Version, p.Model)
	}
	entry, ok := s.weights[p.Model]
	if !ok {
		if len(s.weights) >= maxModels {
			return failure(errs.Overloaded, "reuse a model name", "there are %d models", maxModels)
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

// publish adds version v. Versions that were skipped count as published at the same time; only the first
// version ever published has no known predecessors.
func (e *modelEntry) publish(v api.WeightVersion, now time.Time) {
	added := uint64(1)
	if e.Newest > 0 {
		added = min(uint64(v-e.Newest), keptPublications)
	}
	times := slices.Clone(e.PublishTimes) // readers share the old slice
	for range added {
		times = append(times, now)
	}
	e.PublishTimes = times[max(0, len(times)-keptPublications):]
	e.Newest = v
}

// SuccessorTime returns when the successor of version v was published. It is false if v is the newest version,
// or so old that the time is not kept.
func (w ModelWeights) SuccessorTime(v api.WeightVersion) (time.Time, bool) {
	if v >= w.Newest || v < w.OldestKept() {
		return time.Time{}, false
	}
	return w.PublishTimes[len(w.PublishTimes)-int(w.Newest-v)], true
}

// OldestKept returns the oldest version whose successor's time of publication is known.
func (w ModelWeights) OldestKept() api.WeightVersion {
	return w.Newest - min(w.Newest, api.WeightVersion(len(w.PublishTimes)))
}

// Weights returns what is known of a model.
func (m *StateMachine) Weights(model string) ModelWeights {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if e, ok := m.state.weights[model]; ok {
		return e.ModelWeights
	}
	return ModelWeights{}
}

func (s *state) beginOrders() Result {
	s.token++
	return Result{FencingToken: s.token, Accepted: true}
}

func (s *state) vmLost(v VMLost) Result {
	return Result{Count: s.calls.ownerLost(v.VM, v.Incarnation) + s.ledger.ownerLost(v.VM, v.Incarnation)}
}
