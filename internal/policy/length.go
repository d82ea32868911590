package policy

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// history is the number of finished requests kept per prompt size class.
	history = 64
	// promptClasses are powers of four of the prompt's bytes.
	promptClasses = 12
	// DefaultPrediction is used for a row without history.
	DefaultPrediction = time.Second
)

// RunTimeHistory predicts the run times of one row's requests from the row's own history by prompt size class. The
// zero value has no history.
type RunTimeHistory struct {
	classes [promptClasses]ring
	all     ring
}

// ring holds the newest run times and their sorted copy.
type ring struct {
	values []time.Duration
	next   int
	sorted []time.Duration
}

func promptClass(promptBytes int) int {
	return min(bits.Len(uint(max(0, promptBytes)))/2, promptClasses-1)
}

// Add records a finished request.
func (l *RunTimeHistory) Add(promptBytes int, ran time.Duration) {
	l.classes[promptClass(promptBytes)].add(ran)
	l.all.add(ran)
}

// Quantile returns the quantile q of the run times of requests with prompts of like size, or of all requests of
// the row, or DefaultPrediction.
func (l *RunTimeHistory) Quantile(promptBytes int, q float64) time.Duration {
	const enough = 4 // fewer finished requests say little about a class
	if r := &l.classes[promptClass(promptBytes)]; len(r.values) >= enough {
		return r.quantile(q)
	}
	if len(l.all.values) > 0 {
		return l.all.quantile(q)
	}
	return DefaultPrediction
}

// HasEnoughHistory reports whether the row has enough history to act on high quantiles.
func (l *RunTimeHistory) HasEnoughHistory() bool { return len(l.all.values) >= history/4 }

func (r *ring) add(d time.Duration) {
	if len(r.values) < history {
		r.values = append(r.values, d)
	} else {
		i, _ := slices.BinarySearch(r.sorted, r.values[r.next])
		r.sorted = slices.Delete(r.sorted, i, i+1)
		r.values[r.next] = d
		r.next = (r.next + 1) % history
	}
	i, _ := slices.BinarySearch(r.sorted, d)
	r.sorted = slices.Insert(r.sorted, i, d)
}

func (r *ring) quantile(q float64) time.Duration {
	i := int(q * float64(len(r.sorted)))
	return r.sorted[min(max(i, 0), len(r.sorted)-1)]
}
