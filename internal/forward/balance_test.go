package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
)

// Guards against a choice by load that sends a request to a server that leaves, is silent, has refused it, failed recently or
// may be running it, that passes over a limit, or that changes anything without being enabled.
func TestOtherReasonsPrecedeLoad(t *testing.T) {
	servers := []fleet.Server{{ID: "s0", FailureDomain: "a", Slots: 6}, {ID: "s1", FailureDomain: "a", Slots: 6}}
	for name, tc := range map[string]struct {
		change  func(f *forwardState, list []fleet.Server)
		enabled bool
		want    string // servers that may be chosen
		basis   string
	}{
		"both":         {nil, true, "s0 s1", "by the requests of this VM alone"},
		"not enabled":  {nil, false, "", ""},
		"leaves":       {func(_ *forwardState, list []fleet.Server) { list[0].Leaving = true }, true, "s1", "alone"},
		"silent":       {func(_ *forwardState, list []fleet.Server) { list[0].Silent = true }, true, "s1", "alone"},
		"refused":      {func(f *forwardState, _ []fleet.Server) { f.refused = []string{"s0"} }, true, "s1", "alone"},
		"may have run": {func(f *forwardState, _ []fleet.Server) { f.mayHaveRun = []string{"s0"} }, true, "s1", "alone"},
		"failed": {func(f *forwardState, _ []fleet.Server) {
			f.forwarder.health.markOverdue([]string{"s0"}, boottime.Now())
		}, true, "s1", "alone"},
		"overdue but slow": {func(f *forwardState, _ []fleet.Server) {
			f.forwarder.health.entry("s0").meanLatency = 3 * time.Second
			f.forwarder.health.markOverdue([]string{"s0"}, boottime.Now())
		}, true, "s0 s1", "alone"},
		"limited": {func(f *forwardState, _ []fleet.Server) {
			f.forwarder.opts.Limiter = &fakeLimiter{waits: map[string]time.Duration{"s1": 0}}
		}, true, "", "by latency"},
		"none left": {func(f *forwardState, _ []fleet.Server) { f.refused = []string{"s0", "s1"} }, true, "", "by latency"},
	} {
		g := New(Options{FailureDomain: "a", Registry: fleet.NewRegistry(time.Second), Events: events.NewLogRecorder(api.VMID("vm"), io.Discard), Balancer: balance.NewTracker("vm", "a", tc.enabled)})
		f, list := &forwardState{forwarder: g, request: &Request{}}, append([]fleet.Server(nil), servers...)
		if tc.change != nil {
			tc.change(f, list)
		}
		seen := map[string]bool{}
		for range 100 {
			id := ""
			if s := f.chooseByLoad(list, boottime.Now()); s != nil {
				id = s.ID
			}
			seen[id] = true
		}
		for _, id := range strings.Split(tc.want, " ") {
			if !seen[id] {
				t.Errorf("%s: %q is never chosen, but %v", name, id, seen)
			}
			delete(seen, id)
		}
		if len(seen) > 0 || !strings.Contains(f.basis, tc.basis) || (f.basis == "") != !tc.enabled {
			t.Errorf("%s: chosen too: %v, basis %q", name, seen, f.basis)
		}
	}
}

// Guards against a server that answers every request at once with a signed status 500 and therefore seems fast and idle.
func TestFailingServerDrawsNoLoad(t *testing.T) {
	failures := make([]serverBehavior, 1000)
	for i := range failures {
		failures[i] = respondWith(500)
	}
	g, f := newForwarder(map[string][]serverBehavior{"s1": failures})
	balanced := New(Options{FailureDomain: "b", Registry: g.opts.Registry, Exchanger: f, Events: g.opts.Events, Balancer: balance.NewTracker("vm", "b", true)})
	for i := range 200 {
		if _, err := balanced.Forward(context.Background(), &Request{ID: fmt.Sprint(i), Deadline: time.Now().Add(time.Second)}, &testRoutes[0]); err != nil {
			t.Fatal(err)
		}
	}
	failed := 0
	for _, id := range f.asked {
		if id == "s1" {
			failed++
		}
	}
	if failed > 20 {
		t.Errorf("%d of %d attempts at the server that fails at once", failed, len(f.asked))
	}
}

// Guards against a refusal that counts as a failure, and against a failure that counts as an answer.
func TestBalanceResult(t *testing.T) {
	for _, tc := range []struct {
		result   attemptResult
		canceled bool
		want     balance.Result
	}{
		{attemptResult{response: &Response{Status: 404, Signature: "signed"}}, false, balance.Answered},
		{attemptResult{response: &Response{Status: 503, NotRun: true}}, false, balance.Refused},
		{attemptResult{response: &Response{Status: 500, Signature: "signed"}}, false, balance.Failed},
		{attemptResult{response: &Response{Status: 200}}, false, balance.Failed},
		{attemptResult{err: errConnBroken}, false, balance.Failed},
		{attemptResult{err: context.Canceled}, true, balance.Canceled},
		{attemptResult{err: errs.New(errs.Canceled, "", ""), notSent: true}, false, balance.Canceled},
	} {
		if got := balanceResult(tc.result, tc.canceled); got != tc.want {
			t.Errorf("%+v: %d, want %d", tc.result, got, tc.want)
		}
	}
}
