package policy

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertledge/internal/api"
)

// TestMain fixes the seed of property tests, so that the verdict is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func always(*Job) bool { return true }

// Guards against an order other than customers, priority, and shortest predicted with ageing.
func TestQueueOrder(t *testing.T) {
	var q Queue
	for _, j := range []*Job{
		{Row: "t", Class: Trainer, Priority: 9, PredictedRunTime: time.Second, Payload: "trainer short"},
		{Row: "t", Class: Trainer, Priority: 9, PredictedRunTime: 9 * time.Second, Payload: "trainer long"},
		{Row: "a", Class: Customer, Priority: 1, PredictedRunTime: 4 * time.Second, Payload: "long"},
		{Row: "a", Class: Customer, Priority: 1, PredictedRunTime: time.Second, ArrivedAt: time.Second, Payload: "short"},
		{Row: "a", Class: Customer, Priority: 1, PredictedRunTime: time.Second, ArrivedAt: 4 * time.Second, Payload: "late short"},
		{Row: "b", Class: Customer, Priority: 2, PredictedRunTime: 9 * time.Second, Payload: "urgent"},
	} {
		q.Push(j)
	}
	var got []string
	for j := q.Next(always); j != nil; j = q.Next(always) {
		got = append(got, j.Payload.(string))
	}
	want := "[urgent short long late short trainer long trainer short]"
	if fmt.Sprint(got) != want {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against a row that waits behind another row's job that cannot be placed.
func TestBlockedRowDoesNotHoldUpOthers(t *testing.T) {
	var q Queue
	q.Push(&Job{Row: "blocked", PredictedRunTime: time.Minute})
	q.Push(&Job{Row: "free", PredictedRunTime: time.Second})
	j := q.Next(func(j *Job) bool { return j.Row == "free" })
	if j == nil || j.Row != "free" || q.Len() != 1 {
		t.Fatalf("job %v, %d left", j, q.Len())
	}
}

// Guards against a row that gets more than its part because its requests are long or many.
func TestRoundRobinIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Int64Range(10, 5000), 2, 5).Draw(t, "costs in ms")
		var q Queue
		push := func(i int) {
			q.Push(&Job{Row: api.RowName(fmt.Sprint(i)), PredictedRunTime: time.Duration(costs[i]) * time.Millisecond, Payload: i})
		}
		for i := range costs {
			push(i)
			push(i)
		}
		served := make([]time.Duration, len(costs))
		for total := time.Duration(0); total < 100*time.Second; {
			j := q.Next(always)
			served[j.Payload.(int)] += j.PredictedRunTime
			total += j.PredictedRunTime
			push(j.Payload.(int))
		}
		const bound = 2 * (5*time.Second + quantum)
		if least, most := slices.Min(served), slices.Max(served); most-least > bound {
			t.Fatalf("rows were served %v", served)
		}
	})
}

// Guards against jobs that are lost or given out twice, and a length or predicted wait that drifts.
func TestQueueKeepsJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting := map[*Job]bool{}
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
				j := &Job{
					Row:      api.RowName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row")),
					Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"), ArrivedAt: now,
					PredictedRunTime: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "predicted")) * time.Millisecond,
				}
				q.Push(j)
				waiting[j] = true
			},
			"next": func(t *rapid.T) {
				free := rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "free row")
				j := q.Next(func(j *Job) bool { return free == "" || string(j.Row) == free })
				if j == nil {
					for w := range waiting {
						if free == "" || string(w.Row) == free {
							t.Fatalf("job of row %q was not offered", w.Row)
						}
					}
					return
				}
				if !waiting[j] {
					t.Fatal("job was given out twice")
				}
				delete(waiting, j)
			},
			"remove": func(t *rapid.T) {
				for j := range waiting {
					if !q.Remove(j) || q.Remove(j) {
						t.Fatal("waiting job was not removed once")
					}
					delete(waiting, j)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("length %d, want %d", q.Len(), len(waiting))
				}
				var sum time.Duration
				for j := range waiting {
					sum += j.PredictedRunTime
				}
				if got := q.PredictedWait(Trainer, -1, "new", time.Second, 2); got != sum/2 {
					t.Fatalf("predicted wait %v, want %v", got, sum/2)
				}
			},
		})
	})
}

// Guards against early refusals of short or urgent work because of long work that it passes.
func TestPredictedWait(t *testing.T) {
	var q Queue
	q.Push(&Job{Row: "a", Class: Customer, Priority: 1, PredictedRunTime: 30 * time.Second})
	q.Push(&Job{Row: "t", Class: Trainer, Priority: 1, PredictedRunTime: 60 * time.Second})
	for _, c := range []struct {
		name      string
		class     Class
		priority  int
		row       api.RowName
		predicted time.Duration
		want      time.Duration
	}{
		{"short of the same row", Customer, 1, "a", time.Second, 0},
		{"long of the same row", Customer, 1, "a", 30 * time.Second, 15 * time.Second},
		{"another row", Customer, 1, "b", time.Second, 15 * time.Second},
		{"higher priority", Customer, 2, "b", time.Second, 0},
		{"trainer", Trainer, 1, "t", time.Second, 45 * time.Second},
	} {
		if got := q.PredictedWait(c.class, c.priority, c.row, c.predicted, 2); got != c.want {
			t.Errorf("%s: wait %v, want %v", c.name, got, c.want)
		}
	}
}

func BenchmarkQueue(b *testing.B) {
	var q Queue
	for i := range 2000 {
		q.Push(&Job{Row: api.RowName(fmt.Sprint(i % 14)), Class: Trainer, PredictedRunTime: time.Duration(i) * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		j := q.Next(always)
		q.Push(j)
	}
}
