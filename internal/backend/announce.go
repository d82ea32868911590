package backend

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/front"
	"filbertledge/internal/pki"
)

// AnnouncePath is the path at which backend servers announce themselves.
const AnnouncePath = "/backend/v1/announce"

// maxVMAddresses bounds the number of VM addresses in a response.
const maxVMAddresses = 8

// maxServerIDBytes bounds the length of a server ID.
const maxServerIDBytes = 128

// Registry is the part of membership.Registry that the announce endpoint uses.
type Registry interface {
	Announce(api.Announcement) bool
	Addresses(domain api.FailureDomain, max int) []string
}

// AnnounceOptions configures the announce endpoint. Events may be nil.
type AnnounceOptions struct {
	Registry Registry
	// TokenDigests are the SHA-256 digests of the pool tokens in the settings.
	TokenDigests map[api.Pool]string
	Events       *events.Recorder
}

type announceResponse struct {
	VMs []string `json:"vms"`
}

// AnnounceHandler returns the handler of the announce endpoint. The handler reports whether it served the request's
// path.
func AnnounceHandler(o AnnounceOptions) func(*fasthttp.RequestCtx) bool {
	return func(ctx *fasthttp.RequestCtx) bool {
		if string(ctx.Path()) != AnnouncePath {
			return false
		}
		if err := o.announce(ctx); err != nil {
			front.WriteError(ctx, err)
		}
		return true
	}
}

func (o *AnnounceOptions) announce(ctx *fasthttp.RequestCtx) error {
	if !ctx.IsPost() {
		return errs.New(errs.InvalidArgument, "use POST", "method %s is not allowed for %s", ctx.Method(), AnnouncePath)
	}
	var a api.Announcement
	if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "send an announcement as JSON", "announcement is malformed")
	}
	if err := o.authenticate(ctx, a.Pool); err != nil {
		return err
	}
	if err := validate(&a); err != nil {
		return err
	}
	o.Registry.Announce(a)
	front.WriteJSON(ctx, announceResponse{VMs: o.Registry.Addresses(a.Domain, maxVMAddresses)})
	return nil
}

// authenticate checks the pool's token. It compares in constant time, also for an unknown pool.
func (o *AnnounceOptions) authenticate(ctx *fasthttp.RequestCtx, pool api.Pool) error {
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if pki.TokenMatches(token, o.TokenDigests[pool]) && ok {
		return nil
	}
	if o.Events != nil {
		o.Events.Record(events.Event{Name: events.CredentialRefused, Detail: fmt.Sprintf("announcement for pool %q from %s", pool, ctx.RemoteAddr())})
	}
	return errs.New(errs.Unauthenticated, "send the pool's token as Authorization: Bearer", "token for pool %q was refused", pool)
}

func validate(a *api.Announcement) error {
	const remedy = "correct the announcement"
	if a.ID == "" || len(a.ID) > maxServerIDBytes {
		return errs.New(errs.InvalidArgument, remedy, "id must have 1 to %d bytes", maxServerIDBytes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errs.New(errs.InvalidArgument, remedy, "address %q is not IP:port", a.Address)
	}
	if a.Incarnation == 0 || a.Sequence == 0 {
		return errs.New(errs.InvalidArgument, remedy, "incarnation and sequence must be positive")
	}
	if a.Capacity < 1 {
		return errs.New(errs.InvalidArgument, remedy, "capacity must be at least 1")
	}
	if a.State != api.ServerServing && a.State != api.ServerLeaving {
		return errs.New(errs.InvalidArgument, remedy, "state %q is neither %q nor %q", a.State, api.ServerServing, api.ServerLeaving)
	}
	return nil
}
