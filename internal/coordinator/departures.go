package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
)

const (
	// confirmationTime is how long the sender of a departure that names no start must keep its connection open. If the
	// departure was held up, the end of its connection follows it within a round trip, or after one retransmission of TCP,
	// whose shortest timeout is 200 ms.
	confirmationTime = 250 * time.Millisecond
	// senderPatience is how long the sender of a departure waits for the answer before it calls another VM.
	senderPatience = time.Second
	// departureRetryInterval is the time between two attempts to pass a departure to the leader, as during an election.
	departureRetryInterval = 50 * time.Millisecond
	// readyTimeToReturn is how long a departed server must go on announcing itself as ready until its departure counts as wrong.
	// A server that leaves may do so for many seconds before it exits, and must get no requests in that time; a wrong departure
	// costs only the use of one server.
	readyTimeToReturn = time.Minute
	// returnStateVersion is the version of the state from which replicas know Command.Return.
	returnStateVersion = 3
)

// Departure is a server's message that it leaves, as a VM received it.
type Departure struct {
	Server string
	// Start is the incarnation of the server that the message or its connection names; nil if neither does.
	Start     *int64
	Connected time.Time // when the VM accepted the sender's connection
	// Received is when the VM read the message, in time since boot, which goes on while the VM is suspended.
	Received time.Duration
	// SenderWaits reports whether the sender keeps its connection open.
	SenderWaits func() bool
}

// senderMayWait reports whether the sender may still wait for the answer. The connection alone does not tell after the VM was
// suspended: the end of the connection may then arrive seconds later.
func (d *Departure) senderMayWait() bool {
	return boottime.Now()-d.Received < senderPatience && d.SenderWaits()
}

// describe tells for the log which start a departure means, and over which VM and connection it came.
func (d *Departure) describe(start, vm string) string {
	return fmt.Sprintf("start %s, over %s, connected %s ago, received %s ago", start, vm, time.Since(d.Connected).Round(time.Millisecond), (boottime.Now() - d.Received).Round(time.Millisecond))
}

// ServerStartRequest asks the leader which incarnation of a server it knows.
type ServerStartRequest struct {
	Server string `cbor:"1,keyasint"`
}

// ServerStartReply is the reply to a ServerStartRequest.
type ServerStartReply struct {
	Found       bool  `cbor:"1,keyasint,omitempty"`
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
}

// DepartRequest tells the leader that a start of a server leaves or has left. It may be delivered late: it never applies to a later
// start than the one that it names.
type DepartRequest struct {
	Server string `cbor:"1,keyasint"`
	// HasStart is false in requests of older builds, which name no start. They apply to the start that the leader knows.
	HasStart    bool  `cbor:"2,keyasint,omitempty"`
	Incarnation int64 `cbor:"3,keyasint,omitempty"`
	// Origin tells for the log how the start was determined, and over which VM and connection the departure came.
	Origin string `cbor:"4,keyasint,omitempty"`
}

// DepartReply is the reply to a DepartRequest. Older builds reply with no fields.
type DepartReply struct {
	// Replaced is true if the leader knows a later start than the named one, which the departure did not change.
	Replaced bool `cbor:"1,keyasint,omitempty"`
}

// Depart records that a server leaves or has left. The departure applies to one start of the server: the one that its sender
// names, or the one that is known while the sender waits for the answer. Without either, as for a departure that was held up until
// its sender had left, nothing changes, and the error is of the kind errs.Canceled. The error for a server that has not announced
// itself is of the kind errs.NotFound.
func (n *Node) Depart(ctx context.Context, d Departure) error {
	if err := fleet.ValidateID(d.Server); err != nil {
		n.RecordInvalidAnnouncement(err)
		return err
	}
	for {
		if d.Start == nil && !d.senderMayWait() {
			return n.voidDeparture(&d)
		}
		err := n.tryDepart(ctx, &d)
		isTransient := errs.Is(err, errs.NotLeader) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.OutcomeUnknown)
		if !isTransient || ctx.Err() != nil {
			return err
		}
		sleep(ctx, departureRetryInterval)
	}
}

// tryDepart passes a departure to the leader once. It may be repeated: the leader applies it to a start only once.
func (n *Node) tryDepart(ctx context.Context, d *Departure) error {
	if d.Start != nil {
		_, err := callLeader(ctx, n, methodDepart, (*session).depart, DepartRequest{Server: d.Server, HasStart: true, Incarnation: *d.Start, Origin: d.describe("named by its sender", n.opts.Name)})
		return err
	}
	known, err := callLeader(ctx, n, methodServerStart, (*session).serverStart, ServerStartRequest{Server: d.Server})
	isOlderBuild := errs.Is(err, errs.NotFound) // the leader does not know the method
	switch {
	case isOlderBuild:
	case err != nil:
		return err
	case !known.Found:
		err := errUnknownServer(d.Server)
		n.RecordInvalidAnnouncement(err)
		return err
	}
	sleep(ctx, confirmationTime-(boottime.Now()-d.Received))
	if !d.senderMayWait() {
		return n.voidDeparture(d)
	}
	q := DepartRequest{Server: d.Server, HasStart: known.Found, Incarnation: known.Incarnation, Origin: d.describe("known while its sender waited", n.opts.Name)}
	reply, err := callLeader(ctx, n, methodDepart, (*session).depart, q)
	if err == nil && reply.Replaced {
		err = errs.New(errs.Unavailable, "call again", "server %q started again during its departure", d.Server)
	}
	return err
}

// voidDeparture records that a departure changes nothing because its sender does not wait for the answer.
func (n *Node) voidDeparture(d *Departure) error {
	n.opts.Events.Record(events.Event{Name: events.DepartureVoid, Server: api.ServerID(d.Server), Detail: d.describe("unknown, since its sender no longer waits", n.opts.Name)})
	return errs.New(errs.Canceled, "keep the connection open until the answer", "the sender of the departure of server %q does not wait for the answer", d.Server)
}

// knownStart returns the newest incarnation of a server that has announced itself or left.
func (s *session) knownStart(id string) (incarnation int64, found bool) {
	if incarnation, found = s.node.registry.FindStart(id); found {
		return incarnation, true
	}
	return s.node.state.LastDeparture(id)
}

// serverStart answers ServerStartRequest.
func (s *session) serverStart(_ context.Context, q ServerStartRequest) (ServerStartReply, error) {
	incarnation, found := s.knownStart(q.Server)
	return ServerStartReply{Found: found, Incarnation: incarnation}, s.checkLeadership()
}

// depart commits a departure before it is acknowledged.
func (s *session) depart(ctx context.Context, q DepartRequest) (DepartReply, error) {
	if err := fleet.ValidateID(q.Server); err != nil {
		s.node.RecordInvalidAnnouncement(err)
		return DepartReply{}, err
	}
	known, found := s.knownStart(q.Server)
	if !found {
		// Every server whose announcement was acknowledged is in the replicated state or was silent for long.
		err := errUnknownServer(q.Server)
		s.node.RecordInvalidAnnouncement(err)
		return DepartReply{}, cmp.Or(s.checkLeadership(), err)
	}
	left := rollout.ServerIncarnation{Server: q.Server, Incarnation: known}
	if q.HasStart {
		left.Incarnation = q.Incarnation
		if err := fleet.ValidateStart(q.Server, q.Incarnation, time.Now()); err != nil {
			s.node.RecordInvalidAnnouncement(err)
			return DepartReply{}, err
		}
	}
	if known > left.Incarnation {
		s.record(events.Event{Name: events.DepartureVoid, Server: api.ServerID(q.Server), Detail: fmt.Sprintf("of start %d, which %d has replaced; %s", left.Incarnation, known, q.Origin)})
		return DepartReply{Replaced: true}, s.checkLeadership()
	}
	leaving := events.Event{Name: events.ServerLeaving, Server: api.ServerID(q.Server), Detail: fmt.Sprintf("deregistered, start %d; %s", left.Incarnation, q.Origin)}
	// A server that waits for the configuration of its service is not in the replicated state.
	if _, listed := s.node.registry.Get(q.Server); !listed && s.node.registry.MarkWaitingLeaving(q.Server, left.Incarnation) {
		s.record(leaving)
		return DepartReply{}, s.checkLeadership()
	}
	if departed, ok := s.node.state.LastDeparture(q.Server); ok && departed >= left.Incarnation {
		return DepartReply{}, s.checkLeadership()
	}
	if _, err := s.node.propose(ctx, rollout.Command{Depart: &left}); err != nil {
		return DepartReply{}, err
	}
	s.record(leaving)
	s.signalServers()
	return DepartReply{}, nil
}

func errUnknownServer(id string) error {
	return errs.New(errs.NotFound, "announce the server first", "server %q has not announced itself", id)
}

// readySince tells how long a departed server has been announcing itself as ready, in boot time.
type readySince struct {
	incarnation   int64
	first, newest time.Duration
}

// isReadyForLong records that a departed server announced itself as ready, and reports whether it has done so for
// readyTimeToReturn without becoming silent.
func (s *session) isReadyForLong(v fleet.Server, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.readyAfterDeparture[v.ID]
	if !known || r.incarnation != v.Incarnation || now-r.newest > fleet.SilentAfter(s.node.opts.AnnounceInterval) {
		r = readySince{incarnation: v.Incarnation, first: now}
	}
	r.newest = now
	s.readyAfterDeparture[v.ID] = r
	return now-r.first >= readyTimeToReturn
}

// returnServer ends a departure that was wrong. The departure stays while a replica of an earlier build would ignore its end.
func (s *session) returnServer(ctx context.Context, v fleet.Server) {
	s.mu.Lock()
	delete(s.readyAfterDeparture, v.ID)
	s.mu.Unlock()
	known, found := s.node.registry.Get(v.ID)
	if !found || known.Incarnation != v.Incarnation {
		return
	}
	known.Leaving, known.Returns = false, known.Returns+1
	if version := s.membersStateVersion(returnStateVersion); version < returnStateVersion {
		s.node.opts.Events.Log().WithField("server", v.ID).Warnf("the server announces itself as ready long after its departure; it stays out of use, because a replica understands only version %d of the state", version)
		return
	}
	if _, err := s.node.propose(ctx, rollout.Command{Return: &known, Requires: returnStateVersion}); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("server", v.ID).Warn("cannot end the departure of a server that stays ready; it is tried again after the same time")
		return
	}
	s.record(events.Event{Name: events.ServerReturned, Server: serverID(known), Detail: fmt.Sprintf("start %d announced itself as ready for %s after its departure", known.Incarnation, readyTimeToReturn)})
}
