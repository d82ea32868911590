// Package policy holds the decisions about work on backend servers: its order, the choice of server, the
// ejection of slow servers, the prediction of run times and the retry budgets.
//
// The package is pure: it reads no clock, starts no goroutine and locks nothing. Times are durations since an
// arbitrary start, and random numbers come from the caller's seeded source.
package policy

import (
	"container/heap"
	"math"
	"math/bits"
	"slices"
	"time"

	"filbertledge/internal/api"
)

// Class orders work before priority does.
type Class uint8

// Classes of work, the first goes first.
const (
	Customer Class = iota
	Trainer
)

// quantum is what a row may run in one round of the deficit round robin, in predicted time.
const quantum = time.Second

// Job is one request that waits for a backend server.
type Job struct {
	Row              api.RowName
	Class            Class
	Priority         int // higher goes first within a class
	PredictedRunTime time.Duration
	ArrivedAt        time.Duration
	Payload          any // of the caller

	key   time.Duration
	seq   uint64
	index int
	row   *rowQueue
}

// rowQueue is the queue of one row, shortest predicted first.
type rowQueue struct {
	name    api.RowName
	rank    rank
	jobs    jobHeap
	deficit time.Duration
	visited bool // the round robin gave the quantum of this visit
	// predicted sums the predicted times by size, so that the wait of a new job can be predicted.
	predicted [sizeClasses]time.Duration
}

type rank struct {
	class    Class
	priority int
}

func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	return r.priority > o.priority
}

// group holds the rows of one rank in round robin order.
type group struct {
	rank   rank
	rows   []*rowQueue
	cursor int
}

// Queue orders the waiting work of one pool: customers before trainers, then priority, then deficit round
// robin between rows, then shortest predicted first with ageing. The zero value is an empty queue.
type Queue struct {
	rows   map[rowKey]*rowQueue
	groups []*group
	seq    uint64
	length int
}

type rowKey struct {
	name api.RowName
	rank rank
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.length }

// Push adds a job.
func (q *Queue) Push(j *Job) {
	q.seq++
	j.seq = q.seq
	j.key = orderKey(j)
	j.row = q.rowFor(j)
	heap.Push(&j.row.jobs, j)
	j.row.predicted[sizeClass(j.PredictedRunTime)] += j.PredictedRunTime
	q.length++
}

// orderKey orders the jobs of a row. A job's urgency is its waiting time less its predicted time; the
// difference between two jobs does not change while both wait, so the key is fixed. For trainers the longest
// goes first: the last long member decides when a step is complete.
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

func (q *Queue) groupFor(k rank) *group {
	i := 0
	for i < len(q.groups) && q.groups[i].rank.before(k) {
		i++
	}
	if i < len(q.groups) && q.groups[i].rank == k {
		return q.groups[i]
	}
	g := &group{rank: k}
	q.groups = slices.Insert(q.groups, i, g)
	return g
}

// Remove takes a waiting job out. It reports whether the job was waiting.
func (q *Queue) Remove(j *Job) bool {
	if j.row == nil {
		return false
	}
	r := j.row
	heap.Remove(&r.jobs, j.index)
	r.predicted[sizeClass(j.PredictedRunTime)] -= j.PredictedRunTime
	j.row = nil
	q.length--
	if len(r.jobs) == 0 {
		q.dropRow(r)
	}
	return true
}

// dropRow forgets an empty row. Its deficit is lost: a row without work saves nothing up.
func (q *Queue) dropRow(r *rowQueue) {
	delete(q.rows, rowKey{r.name, r.rank})
	for gi, g := range q.groups {
		if g.rank != r.rank {
			continue
		}
		i := slices.Index(g.rows, r)
		g.rows = slices.Delete(g.rows, i, i+1)
		if g.cursor > i {
			g.cursor--
		}
		if len(g.rows) == 0 {
			q.groups = slices.Delete(q.groups, gi, gi+1)
		}
		return
	}
}

// Next offers the first job of each row to place, in order, until place takes one. It returns that job, which
// no longer waits, or nil. A row whose first job cannot be placed does not hold up the others.
func (q *Queue) Next(place func(*Job) bool) *Job {
	for _, g := range q.groups {
		if j := g.next(place); j != nil {
			q.Remove(j)
			return j
		}
	}
	return nil
}

// next runs the deficit round robin of one group.
func (g *group) next(place func(*Job) bool) *Job {
	blocked := 0
	short := make([]*rowQueue, 0, len(g.rows))
	for range g.rows {
		r := g.rows[g.cursor%len(g.rows)]
		r.visit()
		head := r.jobs[0]
		if r.deficit < head.PredictedRunTime {
			short = append(short, r)
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
	if len(short) == 0 {
		return nil
	}
	return g.topUp(short, place)
}

func (r *rowQueue) visit() {
	if r.visited {
		return
	}
	r.visited = true
	r.deficit = min(r.deficit+quantum, r.jobs[0].PredictedRunTime+quantum)
}

func (g *group) advance(r *rowQueue) {
	r.visited = false
	g.cursor = (g.cursor + 1) % len(g.rows)
}

// topUp gives the rows that lack deficit as many rounds at once as the nearest of them needs, instead of
// going round that often. It counts as a visit of each.
func (g *group) topUp(short []*rowQueue, place func(*Job) bool) *Job {
	slices.SortStableFunc(short, func(a, b *rowQueue) int { return int(a.rounds() - b.rounds()) })
	for _, r := range short {
		rounds := r.rounds()
		if !place(r.jobs[0]) {
			continue
		}
		for _, other := range short {
			other.deficit += time.Duration(rounds) * quantum
			other.visited = true
		}
		r.deficit -= r.jobs[0].PredictedRunTime
		return r.jobs[0]
	}
	return nil
}

// rounds is the number of quanta that the first job lacks.
func (r *rowQueue) rounds() int64 {
	lack := r.jobs[0].PredictedRunTime - r.deficit
	return int64((lack + quantum - 1) / quantum)
}

// sizeClasses are powers of two of a millisecond, up to 32 s and above.
const sizeClasses = 16

func sizeClass(d time.Duration) int {
	return min(bits.Len64(uint64(max(0, d.Milliseconds()))), sizeClasses-1)
}

// PredictedWait estimates how long a new job of this rank and length would wait with so many slots: the work
// that goes before it, divided by the slots.
func (q *Queue) PredictedWait(class Class, priority int, row api.RowName, predicted time.Duration, slots int) time.Duration {
	if slots < 1 {
		return math.MaxInt64
	}
	mine := rank{class, priority}
	var ahead time.Duration
	for _, g := range q.groups {
		if mine.before(g.rank) {
			break
		}
		for _, r := range g.rows {
			ahead += r.ahead(mine, row, predicted)
		}
	}
	return ahead / time.Duration(slots)
}

func (r *rowQueue) ahead(mine rank, row api.RowName, predicted time.Duration) time.Duration {
	last := sizeClasses - 1
	if r.name == row && r.rank == mine && mine.class == Customer {
		last = sizeClass(predicted)
	}
	var sum time.Duration
	for _, d := range r.predicted[:last+1] {
		sum += d
	}
	return sum
}

// jobHeap implements heap.Interface.
type jobHeap []*Job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, k int) bool {
	if h[i].key != h[k].key {
		return h[i].key < h[k].key
	}
	return h[i].seq < h[k].seq
}

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.index = len(*h)
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
