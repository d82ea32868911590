package trainer

import (
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// distinctVersions returns the weight versions that an answer was generated with, in ascending order and without
// duplicates, as reported by the engine. Those with which a reused part of the KV cache was computed are included.
func distinctVersions(labels []api.PieceLabel) []api.WeightVersion {
	var out []api.WeightVersion
	for _, l := range labels {
		out = append(out, l.Version)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// mergeLabels merges consecutive pieces of the same version, because engines report one piece per token.
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

// oldestAllowedVersion returns the oldest weight version that the row's staleness bounds and version range allow now.
func oldestAllowedVersion(row table.Row, weights control.ModelWeights, now time.Time) api.WeightVersion {
	oldest := max(row.Weights.Min, 1)
	if maxLag := api.WeightVersion(row.MaxStalenessVersions); weights.Newest > maxLag {
		oldest = max(oldest, weights.Newest-maxLag)
	}
	if row.MaxStalenessTime <= 0 {
		return oldest
	}
	// The age of versions before the oldest kept one is unknown, so they are not allowed.
	oldest = max(oldest, weights.OldestKept())
	for oldest < weights.Newest {
		supersededAt, ok := weights.SuccessorTime(oldest)
		if ok && now.Sub(supersededAt) <= row.MaxStalenessTime {
			break
		}
		oldest++
	}
	return oldest
}

// rejectionReason returns why a sample with these versions may not be delivered to the row's trainer now, or an empty
// string if it may.
func rejectionReason(row table.Row, weights control.ModelWeights, versions []api.WeightVersion, now time.Time) string {
	if len(versions) == 0 || versions[0] == 0 {
		return "the engine did not report the weight versions of the answer"
	}
	oldest := oldestAllowedVersion(row, weights, now)
	if versions[0] < oldest {
		return fmt.Sprintf("weight version %d is older than the oldest allowed version %d", versions[0], oldest)
	}
	for _, v := range versions {
		if !row.Weights.Allows(v) {
			return fmt.Sprintf("the row does not allow weight version %d", v)
		}
	}
	return ""
}
