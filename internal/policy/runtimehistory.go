package policy

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxRunTimes is the number of run times that are kept for each prompt size class, and for all sizes together.
	maxRunTimes = 64
	// minRunTimes is the number of run times of a row below which high quantiles are not reliable.
	minRunTimes = maxRunTimes / 4
	// promptSizeClasses is the number of prompt size classes. Each covers a factor of four in bytes.
	promptSizeClasses = 12
	// DefaultPrediction is the predicted run time for a row without history.
	DefaultPrediction = time.Second
)

// RunTimeHistory predicts the run times of one row's requests from the row's recent run times, by prompt size class.
// The zero value has no history.
type RunTimeHistory struct {
	classes  [promptSizeClasses]runTimeRing
	allSizes runTimeRing
}

// runTimeRing is a ring buffer of the newest run times with a sorted copy.
type runTimeRing struct {
	values []time.Duration
	next   int
	sorted []time.Duration
}

func promptSizeClass(promptBytes int) int {
	return min(bits.Len(uint(max(0, promptBytes)))/2, promptSizeClasses-1)
}

// Add records the run time of a finished request.
func (h *RunTimeHistory) Add(promptBytes int, runTime time.Duration) {
	h.classes[promptSizeClass(promptBytes)].add(runTime)
	h.allSizes.add(runTime)
}

// Quantile returns the quantile q of the run times of requests with prompts of similar size. If there are too few, it
// uses all requests of the row; without any, it returns DefaultPrediction.
func (h *RunTimeHistory) Quantile(promptBytes int, q float64) time.Duration {
	const minClassRunTimes = 4 // with fewer, the class is not used
	if r := &h.classes[promptSizeClass(promptBytes)]; len(r.values) >= minClassRunTimes {
		return r.quantile(q)
	}
	if len(h.allSizes.values) > 0 {
		return h.allSizes.quantile(q)
	}
	return DefaultPrediction
}

// HasEnoughHistory reports whether high quantiles of the row's run times are reliable enough to act on.
func (h *RunTimeHistory) HasEnoughHistory() bool { return len(h.allSizes.values) >= minRunTimes }

func (r *runTimeRing) add(d time.Duration) {
	if len(r.values) < maxRunTimes {
		r.values = append(r.values, d)
	} else {
		i, _ := slices.BinarySearch(r.sorted, r.values[r.next])
		r.sorted = slices.Delete(r.sorted, i, i+1)
		r.values[r.next] = d
		r.next = (r.next + 1) % maxRunTimes
	}
	i, _ := slices.BinarySearch(r.sorted, d)
	r.sorted = slices.Insert(r.sorted, i, d)
}

func (r *runTimeRing) quantile(q float64) time.Duration {
	i := int(q * float64(len(r.sorted)))
	return r.sorted[min(max(i, 0), len(r.sorted)-1)]
}
