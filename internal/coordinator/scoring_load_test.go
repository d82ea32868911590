package coordinator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// The load of TestScorerLoad: the texts of four trainers' steps that end within a second, on a service of three servers
// that callers use too. The numbers are those of the users' largest deployment with scorers.
const (
	loadScorers        = 3
	loadScorerSlots    = 6
	loadScorerQueue    = 4 // requests that wait at a server; it refuses more
	loadCallTime       = 30 * time.Millisecond
	loadLookupTime     = 21 * time.Millisecond
	loadLookupTarget   = 150 * time.Millisecond
	loadLookupDeadline = 2 * time.Second
	loadLookupInterval = time.Second / 12
	loadEntryVMs       = 4
	loadTrainers       = 4
	loadGroups         = 12
	loadGroupSize      = 8
	loadTextsEndWithin = time.Second
	loadFailingShare   = 0.02 // of the calls
	// loadScoredWithin is how long after the last text all scores must be there: a step is due 7.5 s after its
	// submission, and its longest items take about 5 s.
	loadScoredWithin = 2 * time.Second
	// loadServedInTarget is the share of lookups that must be answered within their target beside the calls.
	loadServedInTarget = 0.95
)

// simulatedScorer is a server with slots and a queue in the virtual time of a synctest bubble.
type simulatedScorer struct {
	slots    chan struct{}
	waiting  chan struct{}
	slowdown int
	dark     bool
}

// simulatedScorers is an Exchanger in virtual time.
type simulatedScorers struct {
	servers map[string]*simulatedScorer
}

// alwaysFails reports whether the scorers answer each attempt of a call with status 500.
func alwaysFails(id string) bool {
	return strings.HasPrefix(id, callID("")) && unitHash(id) < loadFailingShare
}

func (s *simulatedScorers) Exchange(ctx context.Context, v fleet.Server, r *forward.Request, _ forward.Attempt) (*forward.Response, bool, error) {
	server := s.servers[v.ID]
	if server.dark {
		<-ctx.Done()
		return nil, false, ctx.Err()
	}
	select {
	case server.waiting <- struct{}{}:
	default:
		return &forward.Response{Status: http.StatusServiceUnavailable, NotRun: true}, false, nil
	}
	select {
	case server.slots <- struct{}{}:
		<-server.waiting
	case <-ctx.Done():
		<-server.waiting
		return nil, false, ctx.Err()
	}
	defer func() { <-server.slots }()
	work := loadLookupTime
	if r.Method == http.MethodPost {
		work = loadCallTime
	}
	select {
	case <-time.After(work * time.Duration(server.slowdown)):
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	status := http.StatusOK
	if alwaysFails(r.ID) {
		status = http.StatusInternalServerError
	}
	return &forward.Response{Status: status, Signature: "signed " + r.ID}, false, nil
}

// scorerLoad is the virtual deployment of TestScorerLoad.
type scorerLoad struct {
	t         *testing.T
	exchanger *simulatedScorers
	registry  *fleet.Registry
	clock     func() time.Duration // boot time that advances with the virtual time
}

func newScorerLoad(t *testing.T) *scorerLoad {
	start, boot := time.Now(), boottime.Now()
	l := &scorerLoad{
		t: t, exchanger: &simulatedScorers{servers: map[string]*simulatedScorer{}},
		registry: fleet.NewRegistry(time.Hour), clock: func() time.Duration { return boot + time.Since(start) },
	}
	for i := range loadScorers {
		id := fmt.Sprintf("x%d", i)
		l.exchanger.servers[id] = &simulatedScorer{slots: make(chan struct{}, loadScorerSlots), waiting: make(chan struct{}, loadScorerQueue), slowdown: 1}
		l.registry.Announce(fleet.Server{ID: id, Service: testScorerService, Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: fmt.Sprintf("zone-%d", i), Incarnation: 1, Slots: loadScorerSlots}, l.clock())
	}
	return l
}

func (l *scorerLoad) forwarder(zone string) *forward.Forwarder {
	return forward.New(forward.Options{FailureDomain: zone, Registry: l.registry, Exchanger: l.exchanger, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard), Clock: l.clock})
}

// lookUp sends callers' lookups from several entry VMs until ctx ends, and returns the share of those answered within
// their target.
func (l *scorerLoad) lookUp(ctx context.Context) float64 {
	route := routes.Route{Name: "lookup", Kind: routes.Idempotent, MaxAttempts: 2, Timeout: loadLookupDeadline, LatencyTarget: loadLookupTarget, ServiceWeights: []routes.ServiceWeight{{Service: testScorerService, Weight: 1}}}
	var entries []*forward.Forwarder
	for i := range loadEntryVMs {
		entries = append(entries, l.forwarder(fmt.Sprintf("zone-%d", i%loadScorers)))
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	sent, inTarget := 0, 0
	for ; ctx.Err() == nil; sent++ {
		entry, id := entries[sent%loadEntryVMs], fmt.Sprintf("lookup-%d", sent)
		all.Go(func() {
			started := time.Now()
			_, err := entry.Forward(context.Background(), &forward.Request{ID: id, Method: http.MethodGet, Deadline: started.Add(loadLookupDeadline)}, &route)
			if err == nil && time.Since(started) <= loadLookupTarget {
				mu.Lock()
				inTarget++
				mu.Unlock()
			}
		})
		time.Sleep(loadLookupInterval)
	}
	all.Wait()
	return float64(inTarget) / float64(sent)
}

// runSteps ends the texts of all steps within loadTextsEndWithin and returns how long after the last one each group was
// whole, sorted, the number of items that were given up, and that of those whose call always fails.
func (l *scorerLoad) runSteps() (wholeAfter []time.Duration, givenUp, failing int) {
	s, stop := newStandaloneSession(l.t, nil)
	defer stop()
	s.node.registry, s.node.forwarder = l.registry, l.forwarder("zone-0")
	applyCommand(l.t, s, rollout.Command{Configure: &routes.Configuration{
		Version: 1, Services: []routes.Service{{Name: testService}, {Name: testScorerService}},
		Routes: []routes.Route{scorerRoute(testScorerService), {Name: "r", Host: testHost, Prefix: "/p/", Kind: routes.Rollout, MaxAttempts: 2, ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}}}},
	}})
	started := time.Now()
	var tasks []*task
	for trainer := range loadTrainers {
		b := addScorers(newBatch(fmt.Sprintf("step-%d", trainer), loadGroups*loadGroupSize, 0))
		for i := range b.Items {
			b.Items[i].Group = fmt.Sprintf("g%d", i/loadGroupSize)
		}
		b.Submitted = started.UnixMilli()
		s.addBatch(rollout.OpenBatch{Batch: *b, HasResult: make([]bool, len(b.Items))})
		tasks = append(tasks, s.batches[b.ID].tasks...)
	}
	for i, t := range tasks {
		if alwaysFails(t.batch.Items[t.item].Scorer.ID) {
			failing++
		}
		// The members of a group end at different times.
		delay := loadTextsEndWithin * time.Duration(i*37%len(tasks)) / time.Duration(len(tasks))
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			t.text, t.events = []byte("text"), 1
			s.completeText(t)
		})
	}
	left := map[string]int{}
	for remaining := len(tasks); remaining > 0; {
		select {
		case <-s.scorerWake:
		case <-time.After(scheduleInterval):
		case r := <-s.results:
			group := r.Batch + s.batches[r.Batch].Items[r.Result.Item].Group
			if left[group]++; left[group] == loadGroupSize {
				wholeAfter = append(wholeAfter, time.Since(started)-loadTextsEndWithin)
			}
			if !r.Result.Completed {
				givenUp++
			}
			remaining--
		}
		s.startCalls()
		if time.Since(started) > time.Minute {
			l.t.Fatalf("%d texts are without a score after a minute", remaining)
		}
	}
	slices.Sort(wholeAfter)
	return wholeAfter, givenUp, failing
}

// TestScorerLoad plays the burst of scorer calls at the end of four steps beside callers' lookups, with all scorers
// sound, and with one that does not answer and one that is slow. It guards against groups that are held back by a dark
// or slow scorer, against items that are given up though their call does not fail, and against callers who wait behind
// the calls.
func TestScorerLoad(t *testing.T) {
	for name, tc := range map[string]struct {
		dark     int // scorers that do not answer
		slowdown int // of the last scorer
	}{
		"all scorers sound":     {0, 1},
		"one dark":              {1, 1},
		"one slow":              {0, 6},
		"one dark and one slow": {1, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newScorerLoad(t)
				l.exchanger.servers["x2"].slowdown = tc.slowdown
				l.exchanger.servers["x0"].dark = tc.dark > 0
				ctx, stop := context.WithCancel(context.Background())
				var share float64
				var callers sync.WaitGroup
				callers.Go(func() { share = l.lookUp(ctx) })
				wholeAfter, givenUp, failing := l.runSteps()
				stop()
				callers.Wait()
				last := wholeAfter[len(wholeAfter)-1]
				t.Logf("groups whole: half %s, all %s after the last text; %.3f of the lookups in their target; %d items given up", wholeAfter[len(wholeAfter)/2], last, share, givenUp)
				if len(wholeAfter) != loadTrainers*loadGroups || last > loadScoredWithin {
					t.Errorf("%d of %d groups are whole, the last %s after its text, want %s", len(wholeAfter), loadTrainers*loadGroups, last, loadScoredWithin)
				}
				if givenUp != failing {
					t.Errorf("%d items were given up, but %d calls fail", givenUp, failing)
				}
				if share < loadServedInTarget {
					t.Errorf("%.3f of the lookups were answered within %s, want %.2f", share, loadLookupTarget, loadServedInTarget)
				}
			})
		})
	}
}
