package forward

import (
	"context"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
)

var errKeyRemoved = errs.New(errs.Unauthenticated, "send a valid key", "the key was removed")

// Guards against an attempt that is sent after the caller's key was removed: the first one, a retry, a hedge, and one whose
// connection took a while; and against a request that is ended although a server runs it already.
func TestAttemptsNeedAuthorization(t *testing.T) {
	slow := func(context.Context) (*Response, bool, error) {
		time.Sleep(2 * minHedgeDelay)
		return &Response{Status: 200, Signature: "signed"}, false, nil
	}
	for name, tc := range map[string]struct {
		first    serverBehavior
		allowed  int // number of times that the caller is authorized; each attempt asks twice before it is handed on
		attempts int
		served   bool
	}{
		"first attempt":      {refuse, 0, 0, false},
		"wait for a server":  {refuse, 1, 0, false},
		"retry":              {refuse, 2, 1, false},
		"retry, still valid": {refuse, 4, 2, true},
		"hedge":              {slow, 2, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, servers := newForwarder(map[string][]serverBehavior{"s0": {tc.first}, "s1": {tc.first}, "s2": {tc.first}})
			if tc.served && tc.attempts == 2 {
				servers.behaviors = map[string][]serverBehavior{"s0": {tc.first}}
			}
			asked := 0
			r := &Request{ID: "r1", Workspace: "w", Deadline: time.Now().Add(time.Second), Authorize: func() error {
				if asked++; asked > tc.allowed {
					return errKeyRemoved
				}
				return nil
			}}
			_, err := f.Forward(context.Background(), r, &testRoutes[0])
			if len(servers.asked) != tc.attempts || (err == nil) != tc.served || err != nil && !errs.Is(err, errs.Unauthenticated) {
				t.Errorf("%d attempts: %v", len(servers.asked), err)
			}
		})
	}
}

// exchangeFunc is an Exchanger.
type exchangeFunc func(a Attempt) (*Response, bool, error)

func (f exchangeFunc) Exchange(_ context.Context, _ fleet.Server, _ *Request, a Attempt) (*Response, bool, error) {
	return f(a)
}

// Guards against a request that is written after its key was removed while its connection was opened.
func TestPermissionEndsWithKey(t *testing.T) {
	f, _ := newForwarder(nil)
	valid := true
	f.opts.Exchanger = exchangeFunc(func(a Attempt) (*Response, bool, error) {
		before := a.Permitted()
		valid = false // during the connection
		if !before || a.Permitted() {
			t.Errorf("permitted before %t, after %t", before, a.Permitted())
		}
		return nil, true, errConnBroken
	})
	r := &Request{ID: "r1", Workspace: "w", Deadline: time.Now().Add(time.Second), Authorize: func() error {
		if valid {
			return nil
		}
		return errKeyRemoved
	}}
	if _, err := f.Forward(context.Background(), r, &testRoutes[0]); !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("got %v", err)
	}
}
