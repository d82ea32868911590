package forward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
	"filbertledge/internal/suspects"
)

// slowServers answer after a delay and record how many of them work on a request at the same time.
type slowServers struct {
	mu                sync.Mutex
	running, together int
	exchanges         int
}

func (s *slowServers) Exchange(ctx context.Context, _ fleet.Server, r *Request, _ Attempt) (*Response, bool, error) {
	s.mu.Lock()
	s.exchanges++
	s.running++
	s.together = max(s.together, s.running)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(4 * minHedgeDelay):
		return &Response{Status: 200, Signature: "signed", Body: []byte(r.ID)}, false, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// newSuspectForwarder returns a forwarder of three servers, and Suspects that know a number of crashes of the request.
func newSuspectForwarder(t *testing.T, r *Request, crashes int) (*Forwarder, *Suspects, *slowServers) {
	t.Helper()
	registry := fleet.NewRegistry(time.Second)
	for i := range 3 {
		registry.Announce(fleet.Server{ID: fmt.Sprint("s", i), Service: "app", Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1, Slots: 4}, boottime.Now())
	}
	recorder := events.NewLogRecorder("vm", io.Discard)
	s := NewSuspects(SuspectsOptions{Events: recorder, Clock: boottime.Now, Prober: probeFunc(allDark), Changed: func([]suspects.Report) {}})
	for i := range crashes {
		s.Table().Merge(suspects.Report{Request: suspects.Digest(r.Body, r.Host, r.Method, r.URI), Server: "lost", Incarnation: uint64(i), Confirmed: true}, boottime.Now())
	}
	servers := &slowServers{}
	return New(Options{Registry: registry, Exchanger: servers, Events: recorder, Suspects: s}), s, servers
}

// Guards against a hedged second attempt of a request that may crash servers, and against suspecting it after an answer.
func TestSuspectIsNotHedgedAndClearedByAnswer(t *testing.T) {
	route := &routes.Route{Name: "r", Kind: routes.Idempotent, MaxAttempts: 3, Timeout: 5 * time.Second, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}}
	for crashes, together := range map[int]int{0: 2, 1: 1, 2: 1} {
		r := &Request{ID: "a", Method: "POST", URI: "/x", Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second)}
		f, s, servers := newSuspectForwarder(t, r, crashes)
		if _, err := f.Forward(context.Background(), r, route); err != nil {
			t.Errorf("after %d crashes: %v", crashes, err)
		}
		if servers.together != together {
			t.Errorf("after %d crashes it ran on %d servers at the same time, want %d", crashes, servers.together, together)
		}
		if verdict, _, n := s.Judge(suspects.Digest(r.Body, r.Host, r.Method, r.URI)); verdict != suspects.Free {
			t.Errorf("after an answer %d of %d crashes count", n, crashes)
		}
	}
}

// Guards against two suspects that run at the same time, so that a crash tells nothing, and against a refusal that blocks
// the next one.
func TestSuspectsRunOneAtATime(t *testing.T) {
	route := &routes.Route{Name: "r", Kind: routes.Idempotent, MaxAttempts: 1, Timeout: 5 * time.Second, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}}
	r := &Request{ID: "a", Method: "POST", URI: "/x", Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second)}
	f, _, servers := newSuspectForwarder(t, r, suspects.MaxCrashes-1)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, refused := 0, 0
	for range 5 {
		wg.Go(func() {
			_, err := f.Forward(context.Background(), r, route)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case errs.Is(err, errs.Unavailable):
				refused++
			default:
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if answered != 1 || refused != 4 || servers.exchanges != 1 {
		t.Errorf("%d answered, %d refused, %d sent", answered, refused, servers.exchanges)
	}
	if _, err := f.Forward(context.Background(), r, route); err != nil {
		t.Errorf("the next one: %v", err)
	}
}

// Guards against a refused request that reaches a server, or waits.
func TestRefusedSuspectIsNotSent(t *testing.T) {
	route := &routes.Route{Name: "r", Kind: routes.NonIdempotent, Timeout: 5 * time.Second, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}}
	r := &Request{ID: "a", Method: "POST", URI: "/x", Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second)}
	f, _, servers := newSuspectForwarder(t, r, suspects.MaxCrashes)
	_, err := f.Forward(context.Background(), r, route)
	if !errs.Is(err, errs.Unavailable) || servers.exchanges > 0 {
		t.Errorf("%d sent: %v", servers.exchanges, err)
	}
	other := &Request{ID: "b", Method: "POST", URI: "/x", Body: []byte("another body"), Deadline: time.Now().Add(5 * time.Second)}
	if _, err := f.Forward(context.Background(), other, route); err != nil {
		t.Errorf("a request with another body: %v", err)
	}
}
