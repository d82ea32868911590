// Package policy implements the scheduling decisions for backend servers: the order of waiting requests, the choice of
// a server, the ejection of slow servers, the prediction of run times and retry budgets.
//
// The package is deterministic: it reads no clock, starts no goroutine and takes no lock. Times are durations since an
// arbitrary start, and random numbers come from a source that the calling code seeds.
package policy

import (
	"container/heap"
	"math"
	"math/bits"
	"slices"
	"time"

	"filbertledge/internal/api"
)

// Class is the kind of sender of a job. A lower class goes first whatever the priorities.
type Class uint8

// Classes of jobs, in the order in which they are served.
const (
	Customer Class = iota
	Trainer
)

// rowQuantum is the predicted run time that each round of the deficit round robin adds to a row's deficit.
const rowQuantum = time.Second

// Job is one request that waits in a Queue for a backend server.
type Job struct {
	Row              api.RowName
	Class            Class
	Priority         int // higher goes first within the class
	PredictedRunTime time.Duration
	ArrivedAt        time.Duration
	Payload          any // opaque to the queue

	orderKey  time.Duration
	pushOrder uint64
	heapIndex int
	row       *rowQueue
}

// rowQueue holds the waiting jobs of one row, ordered by orderKey.
type rowQueue struct {
	name         api.RowName
	rank         rank
	jobs         jobHeap
	deficit      time.Duration
	quantumAdded bool // the quantum of the current round was added to deficit
	// predictedBySize holds the sum of the predicted run times for each runTimeClass, to predict the wait of a new job.
	predictedBySize [runTimeClasses]time.Duration
}

type rank struct {
	class    Class
	priority int
}

func (r rank) precedes(other rank) bool {
	if r.class != other.class {
		return r.class < other.class
	}
	return r.priority > other.priority
}

// rankGroup holds the rows of one class and priority in round robin order.
type rankGroup struct {
	rank    rank
	rows    []*rowQueue
	nextRow int
}

// Queue orders the waiting jobs of one pool: customers before trainers, then by priority, then by deficit round robin
// between rows. Within a row, the job with the shortest predicted run time goes first for customers and the longest
// for trainers, with ageing. The zero value is an empty queue.
type Queue struct {
	rows          map[rowKey]*rowQueue
	groups        []*rankGroup
	lastPushOrder uint64
	length        int
}

type rowKey struct {
	name api.RowName
	rank rank
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.length }

// Push adds a job.
func (q *Queue) Push(j *Job) {
	q.lastPushOrder++
	j.pushOrder = q.lastPushOrder
	j.orderKey = orderKey(j)
	j.row = q.rowFor(j)
	heap.Push(&j.row.jobs, j)
	j.row.predictedBySize[runTimeClass(j.PredictedRunTime)] += j.PredictedRunTime
	q.length++
}

// orderKey returns the key that orders the jobs of a row; the lowest goes first. The urgency of a customer's job is its
// waiting time less its predicted run time. The difference in urgency between two jobs stays the same while both wait,
// so the key is computed once. For trainers, long jobs go first: the longest rollout decides when a step is complete.
func orderKey(j *Job) time.Duration {
	if j.Class == Trainer {
		return j.ArrivedAt - j.PredictedRunTime
	}
	return j.ArrivedAt + j.PredictedRunTime
}

func (q *Queue) rowFor(j *Job) *rowQueue {
	key := rowKey{j.Row, rank{j.Class, j.Priority}}
	if r := q.rows[key]; r != nil {
		return r
	}
	if q.rows == nil {
		q.rows = map[rowKey]*rowQueue{}
	}
	r := &rowQueue{name: j.Row, rank: key.rank}
	q.rows[key] = r
	g := q.groupFor(key.rank)
	g.rows = append(g.rows, r)
	return r
}

func (q *Queue) groupFor(wanted rank) *rankGroup {
	i := 0
	for i < len(q.groups) && q.groups[i].rank.precedes(wanted) {
		i++
	}
	if i < len(q.groups) && q.groups[i].rank == wanted {
		return q.groups[i]
	}
	g := &rankGroup{rank: wanted}
	q.groups = slices.Insert(q.groups, i, g)
	return g
}

// Remove removes a job from the queue and reports whether it was waiting.
func (q *Queue) Remove(j *Job) bool {
	if j.row == nil {
		return false
	}
	r := j.row
	heap.Remove(&r.jobs, j.heapIndex)
	r.predictedBySize[runTimeClass(j.PredictedRunTime)] -= j.PredictedRunTime
	j.row = nil
	q.length--
	if len(r.jobs) == 0 {
		q.dropRow(r)
	}
	return true
}

// dropRow removes an empty row together with its deficit, so that a row without jobs does not accumulate credit.
func (q *Queue) dropRow(r *rowQueue) {
	delete(q.rows, rowKey{r.name, r.rank})
	for gi, g := range q.groups {
		if g.rank != r.rank {
			continue
		}
		i := slices.Index(g.rows, r)
		g.rows = slices.Delete(g.rows, i, i+1)
		if g.nextRow > i {
			g.nextRow--
		}
		if len(g.rows) == 0 {
			q.groups = slices.Delete(q.groups, gi, gi+1)
		}
		return
	}
}

// Next calls place with the first job of each row, in order, until place returns true. It removes that job from the
// queue and returns it, or returns nil if none was placed. A row whose first job cannot be placed does not delay the
// other rows.
func (q *Queue) Next(place func(*Job) bool) *Job {
	for _, g := range q.groups {
		if j := g.next(place); j != nil {
			q.Remove(j)
			return j
		}
	}
	return nil
}

// next runs one round of the deficit round robin over the rows of a group.
func (g *rankGroup) next(place func(*Job) bool) *Job {
	blocked := 0
	lacking := make([]*rowQueue, 0, len(g.rows))
	for range g.rows {
		r := g.rows[g.nextRow%len(g.rows)]
		r.beginVisit()
		head := r.jobs[0]
		if r.deficit < head.PredictedRunTime {
			lacking = append(lacking, r)
			g.advance(r)
			continue
		}
		if place(head) {
			r.deficit -= head.PredictedRunTime
			return head
		}
		blocked++
		g.advance(r)
	}
	if len(lacking) == 0 {
		return nil
	}
	return g.addMissingQuanta(lacking, place)
}

func (r *rowQueue) beginVisit() {
	if r.quantumAdded {
		return
	}
	r.quantumAdded = true
	r.deficit = min(r.deficit+rowQuantum, r.jobs[0].PredictedRunTime+rowQuantum)
}

func (g *rankGroup) advance(r *rowQueue) {
	r.quantumAdded = false
	g.nextRow = (g.nextRow + 1) % len(g.rows)
}

// addMissingQuanta serves the row that needs the fewest further rounds, and credits all rows that lack deficit with
// that many rounds at once, instead of running the rounds one by one. It counts as a visit of each of these rows.
func (g *rankGroup) addMissingQuanta(lacking []*rowQueue, place func(*Job) bool) *Job {
	slices.SortStableFunc(lacking, func(a, b *rowQueue) int { return int(a.missingQuanta() - b.missingQuanta()) })
	for _, r := range lacking {
		rounds := r.missingQuanta()
		if !place(r.jobs[0]) {
			continue
		}
		for _, other := range lacking {
			other.deficit += time.Duration(rounds) * rowQuantum
			other.quantumAdded = true
		}
		r.deficit -= r.jobs[0].PredictedRunTime
		return r.jobs[0]
	}
	return nil
}

// missingQuanta returns the number of quanta that the row needs before its first job may run.
func (r *rowQueue) missingQuanta() int64 {
	missing := r.jobs[0].PredictedRunTime - r.deficit
	return int64((missing + rowQuantum - 1) / rowQuantum)
}

// runTimeClasses is the number of classes of predicted run times. Their bounds are powers of two in milliseconds, and
// the last class holds all longer run times.
const runTimeClasses = 16

func runTimeClass(d time.Duration) int {
	return min(bits.Len64(uint64(max(0, d.Milliseconds()))), runTimeClasses-1)
}

// PredictedWait estimates how long a new job would wait if the pool had the given number of slots: the predicted run
// time of all jobs that would go first, divided by the number of slots.
func (q *Queue) PredictedWait(class Class, priority int, row api.RowName, predicted time.Duration, slots int) time.Duration {
	if slots < 1 {
		return math.MaxInt64
	}
	newRank := rank{class, priority}
	var ahead time.Duration
	for _, g := range q.groups {
		if newRank.precedes(g.rank) {
			break
		}
		for _, r := range g.rows {
			ahead += r.workAhead(newRank, row, predicted)
		}
	}
	return ahead / time.Duration(slots)
}

func (r *rowQueue) workAhead(newRank rank, row api.RowName, predicted time.Duration) time.Duration {
	largestClass := runTimeClasses - 1
	if r.name == row && r.rank == newRank && newRank.class == Customer {
		largestClass = runTimeClass(predicted)
	}
	var sum time.Duration
	for _, d := range r.predictedBySize[:largestClass+1] {
		sum += d
	}
	return sum
}

// jobHeap implements heap.Interface.
type jobHeap []*Job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, k int) bool {
	if h[i].orderKey != h[k].orderKey {
		return h[i].orderKey < h[k].orderKey
	}
	return h[i].pushOrder < h[k].pushOrder
}

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
