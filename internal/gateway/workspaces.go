package gateway

import (
	"errors"
	"strings"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/forward"
	"filbertledge/internal/routes"
)

// defaultRevocationTime is Options.RevocationTime if it is not set.
const defaultRevocationTime = 5 * time.Second

// Reasons of refusals, as they appear in events and metrics.
const (
	reasonNoKey        = "no_key"
	reasonSeveralKeys  = "several_keys"
	reasonEmptyKey     = "empty_key"
	reasonOversizedKey = "oversized_key"
	reasonUnknownKey   = "unknown_key"
	reasonOtherOwner   = "other_workspace" // the key has moved to another workspace since the call arrived
	reasonNotConfirmed = "not_confirmed"   // no leader has confirmed the configuration, or not for too long
	reasonNotChecked   = "not_checked"     // the call arrived before the configuration had workspaces
)

// Caller is who made a call, as far as the configuration in force when the call arrived tells.
type Caller struct {
	// Workspace is the workspace of the key; empty if the call needs none.
	Workspace string
	// Priority is that of the workspace.
	Priority int
	// Managed is true if the configuration has workspaces. Headers in which the caller states a key or a workspace are then
	// dropped.
	Managed bool

	gateway *Gateway
	hash    routes.KeyHash
	checked *routes.Configuration // in which the key was found last
	refusal error                 // why a call that may need no key is not identified
}

// keyRefusedError is the error of a call that is refused for its key.
type keyRefusedError struct {
	error
	reason string
}

// Unwrap returns the cause, which tells the kind of the error.
func (e *keyRefusedError) Unwrap() error { return e.error }

// refuseKey returns the error of a call without a valid key of configuration c. Callers do not repeat a call that is not
// authenticated, so it is refused as such only while c is confirmed to be the newest: a newer one may have the key. A key that
// has moved to another workspace is valid, so its call may be repeated too. The confirmation is read first, because it is stored
// after the configuration that it confirms.
func (g *Gateway) refuseKey(c *routes.Configuration, reason string) error {
	err := errs.New(errs.Unauthenticated, "send one valid key", "the call has no valid key (%s)", reason)
	if reason == reasonNotConfirmed || reason == reasonNotChecked || reason == reasonOtherOwner || !g.ConfigurationConfirmed() || g.Configuration() != c {
		err = errs.New(errs.Unavailable, "call again in a second", "this VM cannot check the key of the call with the newest configuration (%s)", reason)
	}
	return &keyRefusedError{err, reason}
}

// Authenticate identifies the caller of a route's request. keys returns the keys that the call presents; it is not called
// if no key is needed. The error is of the kind errs.Unauthenticated or errs.Unavailable.
func (g *Gateway) Authenticate(route *routes.Route, keys func() []string) (*Caller, error) {
	c := g.Configuration()
	if c == nil {
		return nil, errNoConfiguration()
	}
	if !c.RequiresKeys || route.Public {
		return &Caller{gateway: g, Managed: c.RequiresKeys, checked: c}, nil
	}
	return g.identify(c, keys())
}

// AuthenticateBatchCall identifies the caller of a call about a batch. A batch of a public route needs no key, which only
// the leader knows: without a valid key the caller has no workspace, and the refusal applies if the batch needs one.
func (g *Gateway) AuthenticateBatchCall(keys func() []string) (*Caller, error) {
	c := g.Configuration()
	if c == nil {
		return nil, errNoConfiguration()
	}
	if !c.RequiresKeys {
		return &Caller{gateway: g, checked: c}, nil
	}
	caller, err := g.identify(c, keys())
	if err != nil {
		caller = &Caller{gateway: g, Managed: true, checked: c, refusal: err}
	}
	return caller, nil
}

// identify returns the caller with the given keys.
func (g *Gateway) identify(c *routes.Configuration, keys []string) (*Caller, error) {
	switch {
	case len(keys) == 0:
		return nil, g.refuseKey(c, reasonNoKey)
	case len(keys) > 1:
		return nil, g.refuseKey(c, reasonSeveralKeys)
	case keys[0] == "":
		return nil, g.refuseKey(c, reasonEmptyKey)
	case len(keys[0]) > routes.MaxKeyBytes:
		return nil, g.refuseKey(c, reasonOversizedKey)
	}
	return g.identifyHash(c, routes.HashKey(keys[0]))
}

func (g *Gateway) identifyHash(c *routes.Configuration, hash routes.KeyHash) (*Caller, error) {
	if !g.acceptsKeys() {
		return nil, g.refuseKey(c, reasonNotConfirmed)
	}
	w := c.WorkspaceOf(hash)
	if w == nil {
		return nil, g.refuseKey(c, reasonUnknownKey)
	}
	return &Caller{gateway: g, Managed: true, Workspace: w.Name, Priority: w.Priority, hash: hash, checked: c}, nil
}

// acceptsKeys reports whether the keys of the configuration may be used. They may once a leader has confirmed it: the one
// that a VM obtains without a leader after its start may be older than the one that it had before. With
// Options.RevokeStrictly the last confirmation must not be older than Options.RevocationTime.
func (g *Gateway) acceptsKeys() bool {
	confirmedAt := time.Duration(g.confirmedAt.Load())
	return confirmedAt != 0 && (!g.opts.RevokeStrictly || boottime.Now()-confirmedAt < g.opts.RevocationTime)
}

// Check returns an error if the newest configuration does not allow another attempt of the call: its key has been removed
// or belongs to another workspace, or keys are needed now and the call was not asked for one.
func (c *Caller) Check() error {
	newest := c.gateway.Configuration()
	switch {
	case newest == nil:
		return errNoConfiguration()
	case !newest.RequiresKeys || c.Managed && c.Workspace == "":
		return nil
	case !c.Managed:
		return c.gateway.refuseKey(newest, reasonNotChecked)
	case !c.gateway.acceptsKeys():
		return c.gateway.refuseKey(newest, reasonNotConfirmed)
	case newest == c.checked:
		return nil
	}
	switch w := newest.WorkspaceOf(c.hash); {
	case w == nil:
		return c.gateway.refuseKey(newest, reasonUnknownKey)
	case w.Name != c.Workspace:
		return c.gateway.refuseKey(newest, reasonOtherOwner)
	}
	return nil
}

// Refused reports whether the caller of a call about a batch was not identified.
func (c *Caller) Refused() bool { return c.refusal != nil }

// RefusalOr returns why the caller was not identified, or else err. It replaces the statement that a batch does not
// exist, which a caller without a key must not learn.
func (c *Caller) RefusalOr(err error) error {
	if c.refusal != nil {
		return c.refusal
	}
	return err
}

// takeOver identifies the caller of a request that another VM hands over, with the configuration of this VM, and sets the
// headers that tell its identity. Another VM may have an older configuration, or be of a build that knows no keys.
func (g *Gateway) takeOver(route *routes.Route, q *handoverRequest) (*Caller, []forward.Header, error) {
	headers, c := fromLink(q.Headers), g.Configuration()
	if c == nil {
		return nil, nil, errNoConfiguration()
	}
	if !c.RequiresKeys {
		return &Caller{gateway: g, checked: c}, headers, nil
	}
	kept := headers[:0]
	for _, h := range headers {
		if !strings.EqualFold(h.Name, g.opts.KeyHeader) && !strings.EqualFold(h.Name, g.opts.WorkspaceHeader) {
			kept = append(kept, h)
		}
	}
	if route.Public {
		return &Caller{gateway: g, Managed: true, checked: c}, kept, nil
	}
	if len(q.KeyHash) != len(routes.KeyHash{}) {
		return nil, nil, g.refuseKey(c, reasonNotChecked)
	}
	caller, err := g.identifyHash(c, routes.KeyHash(q.KeyHash))
	switch {
	case err != nil:
		return nil, nil, err
	case caller.Workspace != q.Workspace:
		return nil, nil, g.refuseKey(c, reasonOtherOwner)
	}
	return caller, append(kept, forward.Header{Name: g.opts.WorkspaceHeader, Value: caller.Workspace}), nil
}

// Identify sets what a request of the route says about its caller, and makes each of its attempts ask for the caller's key
// again.
func (c *Caller) Identify(r *forward.Request, route *routes.Route) {
	r.Authorize, r.Priority = c.Check, route.Priority
	if c.Workspace != "" {
		r.Workspace, r.Priority, r.KeyHash = c.Workspace, c.Priority, c.hash[:]
	}
}

func errNoConfiguration() error {
	return errs.New(errs.Unavailable, "call again in a second", "this VM has no configuration yet")
}

// refusalReason returns why a call was refused for its key, or an empty string.
func refusalReason(err error) string {
	var refused *keyRefusedError
	if errors.As(err, &refused) {
		return refused.reason
	}
	return ""
}
