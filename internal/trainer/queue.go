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

// quantum is the number of predicted tokens that a row may start at each turn.
const quantum = 256

// rowQueue holds the members of one row that wait. It is guarded by runner.mu.
type rowQueue struct {
	row      api.RowName
	heap     jobHeap
	delayed  []*job
	inFlight int
	deficit  int  // tokens
	granted  bool // the quantum of this turn is in deficit
}

func (q *rowQueue) push(j *job) { q.delayed = append(q.delayed, j) }

// ready moves the jobs whose pause is over to the heap, and drops those that ended.
func (q *rowQueue) ready(now time.Time) {
	left := q.delayed[:0]
	for _, j := range q.delayed {
		switch {
		case j.done:
		case now.Before(j.notBefore):
			left = append(left, j)
		default:
			heap.Push(&q.heap, j)
		}
	}
	clear(q.delayed[len(left):])
	q.delayed = left
	for len(q.heap) > 0 && q.heap[0].ended(now) {
		heap.Pop(&q.heap)
	}
}

func (j *job) ended(now time.Time) bool {
	return j.done || !j.deadline.IsZero() && !now.Before(j.deadline)
}

func (q *rowQueue) skip() { q.deficit, q.granted = 0, false }

// next returns the first job if the deficit covers it. Otherwise the turn of the row ends.
func (q *rowQueue) next() *job {
	if !q.granted {
		q.deficit += quantum
		q.granted = true
	}
	if q.heap[0].predicted > q.deficit {
		q.granted = false
		return nil
	}
	j := heap.Pop(&q.heap).(*job)
	q.deficit -= j.predicted
	return j
}

// jobHeap orders by step, then longest predicted output first: a long member that starts last delays its step.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	x, y := h[a], h[b]
	return cmp.Or(
		cmp.Compare(x.id.Step.Step, y.id.Step.Step),
		cmp.Compare(y.predicted, x.predicted),
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

// seedOf differs between the members of a group, between attempts and between the runs of an attempt.
func seedOf(j *job, run int) uint64 {
	const signBit = 1 << 63 // engines read the seed as a signed integer
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", sampleName(j.id), j.attempt, run, j.failures)) &^ signBit
}
