package trainer

import (
	"cmp"
	"container/heap"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
)

// quantumTokens is how much the token deficit of a row grows in each of its turns of the deficit round robin.
const quantumTokens = 256

// rowQueue holds the waiting jobs of one row. It is guarded by runner.mu.
type rowQueue struct {
	row          api.RowName
	heap         jobHeap // jobs that can start now
	delayed      []*job  // jobs whose notBefore has not been checked yet or is in the future
	inFlight     int     // runs of this row on an engine
	deficit      int     // predicted tokens that the row may still start in this turn
	quantumAdded bool    // deficit includes quantumTokens for this turn
}

func (q *rowQueue) addDelayed(j *job) { q.delayed = append(q.delayed, j) }

// promoteReady moves the delayed jobs that can start now to the heap. It drops delayed jobs that are done, and jobs
// that have ended from the top of the heap.
func (q *rowQueue) promoteReady(now time.Time) {
	waiting := q.delayed[:0]
	for _, j := range q.delayed {
		switch {
		case j.done:
		case now.Before(j.notBefore):
			waiting = append(waiting, j)
		default:
			heap.Push(&q.heap, j)
		}
	}
	clear(q.delayed[len(waiting):])
	q.delayed = waiting
	for len(q.heap) > 0 && q.heap[0].hasEnded(now) {
		heap.Pop(&q.heap)
	}
}

// hasEnded reports whether the job is done or the deadline of its step has passed.
func (j *job) hasEnded(now time.Time) bool {
	return j.done || !j.deadline.IsZero() && !now.Before(j.deadline)
}

// resetDeficit is called for a row that cannot start a job in its turn, so that it does not save up tokens.
func (q *rowQueue) resetDeficit() { q.deficit, q.quantumAdded = 0, false }

// popNext removes and returns the first job of the heap, which must not be empty, if the deficit covers its predicted
// tokens. Otherwise it returns nil: the row's turn is over, and the deficit stays for its next turn.
func (q *rowQueue) popNext() *job {
	if !q.quantumAdded {
		q.deficit += quantumTokens
		q.quantumAdded = true
	}
	if q.heap[0].predictedTokens > q.deficit {
		q.quantumAdded = false
		return nil
	}
	j := heap.Pop(&q.heap).(*job)
	q.deficit -= j.predictedTokens
	return j
}

// jobHeap orders jobs by step, then by predicted output, longest first, because a long member that starts last delays
// its step.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	x, y := h[a], h[b]
	return cmp.Or(
		cmp.Compare(x.id.Step.Step, y.id.Step.Step),
		cmp.Compare(y.predictedTokens, x.predictedTokens),
		strings.Compare(x.id.Group, y.id.Group),
		cmp.Compare(x.id.Member, y.id.Member),
	) < 0
}

func (h jobHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

func groupName(step control.StepID, group string) string {
	return fmt.Sprintf("%s/%d/%s", step.Row, step.Step, group)
}

func sampleName(id control.SampleID) string {
	return fmt.Sprintf("%s/%d", groupName(id.Step, id.Group), id.Member)
}

// samplingSeed returns the engine's random seed for a run. It differs between the members of a group, between the
// attempts of a member and between the runs of an attempt.
func samplingSeed(j *job, run int) uint64 {
	const signBit = 1 << 63 // cleared because engines read the seed as a signed integer
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", sampleName(j.id), j.attempt, run, j.failures)) &^ signBit
}
