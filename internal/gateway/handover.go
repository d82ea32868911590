package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/backend"
	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
)

const (
	// methodHandover sends a request through another VM; methodHandoverCancel ends it when its caller has left.
	methodHandover       = "request.handover"
	methodHandoverCancel = "request.handover_cancel"
	// maxHandedOver is the number of requests that a VM sends for others at the same time, so that the callers of VMs that
	// are cut off do not displace its own.
	maxHandedOver = 64
	// maxHandedOverBytes is the total size of their bodies.
	maxHandedOverBytes = 16 << 20
	// peerBackoff is how long a VM gets no requests of this one after it refused one or could not be reached.
	peerBackoff = time.Second
	// peerDomainPenalty is the number of requests in flight by which a VM of this failure domain may be busier than one
	// of another and is still preferred.
	peerDomainPenalty = 8
)

// handoverHeader is one header of a request or a response on the link.
type handoverHeader struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// handoverRequest asks another VM to send a request of a caller.
type handoverRequest struct {
	VM                   string           `cbor:"1,keyasint"` // that received the request
	Number               uint64           `cbor:"2,keyasint"` // identifies the request among those of VM
	ConfigurationVersion uint64           `cbor:"3,keyasint"` // that determined the route
	ID                   string           `cbor:"4,keyasint"`
	Method               string           `cbor:"5,keyasint"`
	URI                  string           `cbor:"6,keyasint"`
	Path                 string           `cbor:"7,keyasint"`
	Host                 string           `cbor:"8,keyasint"`
	Headers              []handoverHeader `cbor:"9,keyasint,omitempty"`
	Body                 []byte           `cbor:"10,keyasint,omitempty"`
	TimeLeft             time.Duration    `cbor:"11,keyasint"`
	TakesUp              bool             `cbor:"12,keyasint,omitempty"`
	TakenUpAttempt       string           `cbor:"13,keyasint,omitempty"` // of the stream that the request continues
	NewConnection        bool             `cbor:"14,keyasint,omitempty"`
	Excluded             []string         `cbor:"15,keyasint,omitempty"` // servers that may have run the request
	// Workspace and KeyHash are those of the caller, if the configuration has workspaces and the route is not public.
	Workspace string `cbor:"16,keyasint,omitempty"`
	KeyHash   []byte `cbor:"17,keyasint,omitempty"`
}

// handoverReply holds the response of a server, or an error. Without a response, Ran is empty if the request did not run.
type handoverReply struct {
	HasResponse bool             `cbor:"1,keyasint,omitempty"`
	Status      int              `cbor:"2,keyasint,omitempty"`
	Headers     []handoverHeader `cbor:"3,keyasint,omitempty"`
	Body        []byte           `cbor:"4,keyasint,omitempty"`
	NotRun      bool             `cbor:"5,keyasint,omitempty"`
	Signature   string           `cbor:"6,keyasint,omitempty"`
	Ran         []string         `cbor:"7,keyasint,omitempty"` // servers that may have run the request
	Kind        errs.Kind        `cbor:"8,keyasint,omitempty"`
	Message     string           `cbor:"9,keyasint,omitempty"`
	// SinceFirstEvent is as in forward.Response.
	SinceFirstEvent time.Duration `cbor:"10,keyasint,omitempty"`
}

// isValid reports whether the response in a reply is one of HTTP. An earlier build passes on whatever a server sends.
func (r *handoverReply) isValid() bool {
	return backend.IsStatus(r.Status) && !slices.ContainsFunc(r.Headers, func(h handoverHeader) bool { return !backend.IsField(h.Name, h.Value) })
}

// handoverCancel names a request whose caller has left.
type handoverCancel struct {
	VM     string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// handover sends requests through other VMs, and requests of other VMs to servers.
type handover struct {
	gateway  *Gateway
	last     atomic.Uint64
	draining atomic.Bool

	mu       sync.Mutex
	peers    []coordinator.Peer // as the leader named them
	inFlight map[string]int     // by VM
	avoid    map[string]time.Duration
	running  map[handoverCancel]context.CancelFunc // requests of other VMs
	bytes    int                                   // of their bodies
}

func newHandover(g *Gateway) *handover {
	return &handover{gateway: g, inFlight: map[string]int{}, avoid: map[string]time.Duration{}, running: map[handoverCancel]context.CancelFunc{}}
}

// setPeers takes over the VMs that the leader names.
func (h *handover) setPeers(peers []coordinator.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = peers
}

// Choose implements forward.Peers. It prefers VMs of this failure domain that have few requests of this VM, and uses one
// that failed a moment ago only if no other is left.
func (h *handover) Choose(refusals func(vm string) int) (forward.Peer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	var best *coordinator.Peer
	var bestCost [2]int
	for _, i := range rand.Perm(len(h.peers)) {
		p := &h.peers[i]
		n := refusals(p.VM)
		if n < 0 {
			continue
		}
		cost := [2]int{n, h.inFlight[p.VM]}
		if h.avoid[p.VM] > now {
			cost[0]++
		}
		if p.FailureDomain != h.gateway.opts.FailureDomain {
			cost[1] += peerDomainPenalty
		}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = p, cost
		}
	}
	if best == nil {
		return forward.Peer{}, false
	}
	return forward.Peer{VM: best.VM, Address: best.Address}, true
}

// Send implements forward.Peers.
func (h *handover) Send(ctx context.Context, p forward.Peer, r *forward.Request, timeLeft time.Duration, excluded []string) (*forward.Response, []string, bool, error) {
	h.count(p.VM, 1)
	defer h.count(p.VM, -1)
	q := handoverRequest{
		VM: h.gateway.opts.Name, Number: h.last.Add(1), ConfigurationVersion: r.ConfigurationVersion, ID: r.ID, Method: r.Method, URI: r.URI, Path: r.Path, Host: r.Host,
		Headers: toLink(r.Headers), Body: r.Body, TimeLeft: timeLeft, NewConnection: r.NewConnection, Excluded: excluded,
		Workspace: r.Workspace, KeyHash: r.KeyHash,
	}
	if r.TakeUp != nil {
		q.TakesUp, q.TakenUpAttempt = true, r.TakeUp.Attempt
	}
	reply, err := link.Call[handoverRequest, handoverReply](ctx, h.gateway.client, p.Address, methodHandover, q)
	if err != nil {
		notSent := errs.Is(err, errs.Unavailable) || errs.Is(err, errs.NotFound) // an earlier build does not know the method
		if ctx.Err() != nil {
			h.cancel(p, q)
		} else {
			h.avoidPeer(p.VM)
		}
		return nil, nil, notSent, errs.Wrap(err, errs.BackendFailed, "call again if the call may be repeated", "VM %s did not answer for the servers", p.VM)
	}
	if !reply.HasResponse {
		if len(reply.Ran) == 0 && reply.Kind != errs.Unauthenticated {
			h.avoidPeer(p.VM)
		}
		return nil, reply.Ran, len(reply.Ran) == 0, errs.New(reply.Kind, "call again if the call may be repeated", "VM %s: %s", p.VM, reply.Message)
	}
	if !reply.isValid() {
		return nil, reply.Ran, false, errs.New(errs.BackendFailed, "call again if the call may be repeated", "VM %s passed on a malformed answer with status %d", p.VM, reply.Status)
	}
	return &forward.Response{Status: reply.Status, Headers: fromLink(reply.Headers), Body: reply.Body, NotRun: reply.NotRun, Signature: reply.Signature, SinceFirstEvent: reply.SinceFirstEvent}, reply.Ran, false, nil
}

func (h *handover) count(vm string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[vm] += n; h.inFlight[vm] == 0 {
		delete(h.inFlight, vm)
	}
}

func (h *handover) avoidPeer(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[vm] = boottime.Now() + peerBackoff
}

// cancel ends a request that was handed over.
func (h *handover) cancel(p forward.Peer, q handoverRequest) {
	if err := link.SendOneWay(h.gateway.client, p.Address, methodHandoverCancel, handoverCancel{q.VM, q.Number}); err != nil {
		h.gateway.opts.Events.Log().WithError(err).WithField("request", q.ID).Info("cannot cancel a request that was handed over; it ends at its deadline")
	}
}

// accepts reports whether this VM sends requests for others.
func (h *handover) accepts() bool {
	return !h.draining.Load() && h.gateway.Ready() && !h.gateway.detour.CutOff()
}

// serve registers the methods that other VMs call.
func (h *handover) serve(s *link.Server) {
	link.Handle(s, methodHandover, h.handle)
	link.HandleOneWay(s, methodHandoverCancel, func(c handoverCancel) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if cancel := h.running[c]; cancel != nil {
			cancel()
		}
	})
}

// handle sends a request of another VM to servers.
func (h *handover) handle(ctx context.Context, q handoverRequest) (handoverReply, error) {
	ctx, release, err := h.begin(ctx, q)
	if err == nil {
		defer release()
		return h.forward(ctx, q)
	}
	h.gateway.RecordRefusal(q.ID, err)
	return handoverReply{Kind: errs.KindOf(err), Message: err.Error()}, nil
}

// begin registers a request of another VM, unless this VM cannot take it.
func (h *handover) begin(ctx context.Context, q handoverRequest) (context.Context, func(), error) {
	if !h.accepts() {
		return ctx, nil, errs.New(errs.Unavailable, "ask another VM", "this VM is cut off from the servers itself, starts or stops")
	}
	if c := h.gateway.Configuration(); c == nil || c.Version < q.ConfigurationVersion {
		if c == nil {
			return ctx, nil, errNoConfiguration()
		}
		return ctx, nil, errs.New(errs.Unavailable, "ask another VM", "this VM has configuration %d, older than %d", c.Version, q.ConfigurationVersion)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.running) >= maxHandedOver || h.bytes+len(q.Body) > maxHandedOverBytes {
		return ctx, nil, errs.New(errs.Unavailable, "ask another VM", "this VM sends %d requests with bodies of %d bytes for others already", len(h.running), h.bytes)
	}
	// The body is held twice: in the frame and decoded from it.
	giveBack, ok := h.gateway.borrow(2 * int64(len(q.Body)))
	if !ok {
		return ctx, nil, errs.New(errs.Unavailable, "ask another VM", "this VM has no memory for the request at the moment")
	}
	ctx, cancel := context.WithCancel(ctx)
	id := handoverCancel{q.VM, q.Number}
	h.running[id] = cancel
	h.bytes += len(q.Body)
	return ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.running, id)
		h.bytes -= len(q.Body)
		giveBack()
		cancel()
	}, nil
}

// borrow reserves memory for requests of other VMs.
func (g *Gateway) borrow(n int64) (release func(), ok bool) {
	if g.opts.Budget == nil {
		return func() {}, true
	}
	return g.opts.Budget.Borrow(n)
}

func (h *handover) forward(ctx context.Context, q handoverRequest) (handoverReply, error) {
	route, err := h.gateway.MatchRoute(q.Host, q.Path)
	if err != nil {
		return handoverReply{Kind: errs.Unavailable, Message: err.Error()}, nil
	}
	caller, headers, err := h.gateway.takeOver(route, &q)
	if err != nil {
		h.gateway.RecordRefusal(q.ID, err)
		return handoverReply{Kind: errs.KindOf(err), Message: err.Error()}, nil
	}
	once := *route
	once.MaxAttempts = 1 // the VM that received the request counts the attempts
	r := &forward.Request{
		ID: q.ID, Method: q.Method, URI: q.URI, Path: q.Path, Host: q.Host, Headers: headers, Body: q.Body, Deadline: time.Now().Add(q.TimeLeft),
		NewConnection: q.NewConnection, From: cmp.Or(q.VM, "unknown"), Excluded: q.Excluded,
	}
	caller.Identify(r, &once)
	if q.TakesUp {
		r.TakeUp = &forward.TakeUp{Attempt: q.TakenUpAttempt}
	}
	response, err := h.gateway.Forward(ctx, r, &once)
	if err != nil {
		return handoverReply{Kind: errs.KindOf(err), Message: err.Error(), Ran: forward.RanOn(err)}, nil
	}
	return handoverReply{
		HasResponse: true, Status: response.Status, Headers: toLink(response.Headers), Body: response.Body, NotRun: response.NotRun, Signature: response.Signature, Ran: response.Ran, SinceFirstEvent: response.SinceFirstEvent,
	}, nil
}

func toLink(headers []forward.Header) []handoverHeader {
	out := make([]handoverHeader, 0, len(headers))
	for _, h := range headers {
		out = append(out, handoverHeader(h))
	}
	return out
}

func fromLink(headers []handoverHeader) []forward.Header {
	out := make([]forward.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, forward.Header(h))
	}
	return out
}
