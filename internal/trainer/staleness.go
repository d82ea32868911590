package trainer

import (
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// versionsOf returns the weight versions that produced an answer, ascending and without repeats. It reads only
// what the engine reported, reused KV cache included.
func versionsOf(labels []api.PieceLabel) []api.WeightVersion {
	var out []api.WeightVersion
	for _, l := range labels {
		out = append(out, l.Version)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// mergeLabels joins neighbouring pieces of the same version. Engines report one piece for each token.
func mergeLabels(labels []api.PieceLabel) []api.PieceLabel {
	var out []api.PieceLabel
	for _, l := range labels {
		if n := len(out); n > 0 && out[n-1].Version == l.Version && out[n-1].Cached == l.Cached {
			out[n-1].Tokens += l.Tokens
			continue
		}
		out = append(out, l)
	}
	return out
}

// oldestAllowed returns the oldest weight version that a row may use now.
func oldestAllowed(row table.Row, w control.ModelWeights, now time.Time) api.WeightVersion {
	oldest := max(row.Weights.Min, 1)
	if bound := api.WeightVersion(row.MaxStalenessVersions); w.Newest > bound {
		oldest = max(oldest, w.Newest-bound)
	}
	if row.MaxStalenessTime <= 0 {
		return oldest
	}
	// The age of versions before the kept ones is not known; they could be older than the bound.
	oldest = max(oldest, w.OldestKept())
	for oldest < w.Newest {
		at, ok := w.SuccessorTime(oldest)
		if ok && now.Sub(at) <= row.MaxStalenessTime {
			break
		}
		oldest++
	}
	return oldest
}

// refuse returns why a sample with these versions may not reach the trainer of row now, or an empty string.
func refuse(row table.Row, w control.ModelWeights, versions []api.WeightVersion, now time.Time) string {
	if len(versions) == 0 || versions[0] == 0 {
		return "the engine did not report the weight versions"
	}
	oldest := oldestAllowed(row, w, now)
	if versions[0] < oldest {
		return fmt.Sprintf("version %d is older than %d", versions[0], oldest)
	}
	for _, v := range versions {
		if !row.Weights.Allows(v) {
			return fmt.Sprintf("the row does not allow version %d", v)
		}
	}
	return ""
}
