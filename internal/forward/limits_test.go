package forward

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/ratelimit"
)

// fakeLimiter is a Limiter whose limited servers have their next permission after a given time.
type fakeLimiter struct {
	mu       sync.Mutex
	waits    map[string]time.Duration // by limited server
	observed []ratelimit.Statement
	asked    int
}

func (f *fakeLimiter) Observe(_ string, s ratelimit.Statement, _ time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, s)
	return false
}

func (f *fakeLimiter) Limit(server string) (float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, limited := f.waits[server]
	return 1, limited
}

func (f *fakeLimiter) Reserve(_ context.Context, servers []string, maxWait time.Duration) ratelimit.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	best := slices.MinFunc(servers, func(a, b string) int { return cmp.Compare(f.waits[a], f.waits[b]) })
	grant := ratelimit.Grant{Server: best, Wait: f.waits[best]}
	if grant.Wait > maxWait {
		grant.Server = ""
	} else {
		f.waits[best] = time.Hour
	}
	return grant
}

// Guards against a request that goes to a limited server without permission, waits although another server has no
// limit, waits longer than its latency target, or is refused although it could be served in time.
func TestForwardKeepsLimits(t *testing.T) {
	// A request that waits for tooLate can be answered before its deadline, but not within the latency target.
	const soon, tooLate, late = 30 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond
	route := testRoutes[0]
	route.LatencyTarget = 150 * time.Millisecond
	for name, tc := range map[string]struct {
		waits     map[string]time.Duration
		behaviors map[string][]serverBehavior
		asked     []string
		maxTook   time.Duration
	}{
		"a server without a limit goes first":      {map[string]time.Duration{"s0": 0, "s1": 0}, nil, []string{"s2"}, soon},
		"all limited, a permission now":            {map[string]time.Duration{"s0": soon, "s1": 0, "s2": late}, nil, []string{"s1"}, soon},
		"all limited, a permission soon":           {map[string]time.Duration{"s0": late, "s1": soon, "s2": late}, nil, []string{"s1"}, 3 * soon},
		"all limited, no permission in time":       {map[string]time.Duration{"s0": late, "s1": late, "s2": late}, nil, nil, soon},
		"all limited, a permission too late":       {map[string]time.Duration{"s0": tooLate, "s1": tooLate, "s2": tooLate}, nil, nil, soon},
		"the server without a limit has failed":    {map[string]time.Duration{"s0": soon, "s1": late}, map[string][]serverBehavior{"s2": {failToConnect}}, []string{"s2", "s0"}, 5 * soon},
		"second attempt needs a permission":        {map[string]time.Duration{"s0": late, "s1": 0}, map[string][]serverBehavior{"s2": {hang}}, []string{"s2", "s1"}, 150 * time.Millisecond},
		"second attempt without permission is not": {map[string]time.Duration{"s0": soon, "s1": soon}, map[string][]serverBehavior{"s2": {hang}}, []string{"s2"}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := &fakeLimiter{waits: tc.waits}
			f, servers := newForwarder(tc.behaviors)
			f.opts.Limiter, f.health.limit = limiter, limiter.Limit
			started := time.Now()
			_, err := f.Forward(context.Background(), &Request{ID: "r", Deadline: started.Add(time.Second)}, &route)
			took := time.Since(started)
			servers.mu.Lock()
			defer servers.mu.Unlock()
			if !slices.Equal(servers.asked, tc.asked) || took > tc.maxTook {
				t.Fatalf("sent to %v after %s, want %v within %s; error %v", servers.asked, took, tc.asked, tc.maxTook, err)
			}
			var refused *RefusedError
			if tc.asked == nil && (!errs.Is(err, errs.Unavailable) || !errors.As(err, &refused) || refused.RetryAfter != tc.waits["s0"]) {
				t.Fatalf("error %v, want a refusal that tells when the next permission is due", err)
			}
		})
	}
}
