package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/link"
	"filbertledge/internal/replica"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// registerHandlers registers the methods that this VM serves to other VMs.
func (n *Node) registerHandlers() {
	n.server.HandleOneWay(methodRaft, n.replica.Receive)
	link.Handle(n.server, methodBootstrap, n.replica.HandleBootstrap)
	link.Handle(n.server, methodJoin, n.replica.HandleJoin)
	link.Handle(n.server, methodLeader, n.handleLeader)
	link.Handle(n.server, methodTexts, n.handleTexts)
	link.Handle(n.server, methodPeek, n.handlePeek)
	handleOnLeader(n, methodFollow, (*session).follow)
	handleOnLeader(n, MethodSubmitBatch, (*session).submit)
	handleOnLeader(n, MethodReserveBatch, (*session).reserveBatch)
	handleOnLeader(n, MethodStoreBodies, (*session).storeBodies)
	handleOnLeader(n, MethodReadBatch, (*session).read)
	handleOnLeader(n, MethodItemBody, (*session).body)
	handleOnLeader(n, MethodEndBatch, (*session).end)
	handleOnLeader(n, methodAnnounce, (*session).announce)
	handleOnLeader(n, methodServerStart, (*session).serverStart)
	handleOnLeader(n, methodDepart, (*session).depart)
	handleOnLeader(n, methodConfigure, (*session).configure)
	handleOnLeader(n, methodConfig, (*session).configuration)
	handleOnLeader(n, methodPublish, (*session).publish)
	handleOnLeader(n, MethodPermission, (*session).permission)
	handleOnLeader(n, MethodLimits, (*session).reportLimits)
	handleOnLeader(n, MethodSuspects, (*session).reportSuspects)
	handleOnLeader(n, MethodBeginStream, (*session).beginStream)
	handleOnLeader(n, MethodFindStream, (*session).findStream)
	handleOnLeader(n, MethodLeaving, (*session).serverLeaves)
	handleOnLeader(n, methodUsage, (*session).reportUsage)
	handleOnLeader(n, methodRetire, (*session).retire)
	handleOnLeader(n, methodRetired, (*session).retired)
}

// handleOnLeader registers a method that only the leader serves.
func handleOnLeader[Q, R any](n *Node, method string, run func(*session, context.Context, Q) (R, error)) {
	link.Handle(n.server, method, func(ctx context.Context, q Q) (R, error) {
		s, err := n.currentSession()
		if err != nil {
			var none R
			return none, err
		}
		return run(s, ctx, q)
	})
}

func (n *Node) handleLeader(context.Context, Empty) (LeaderReply, error) {
	s, err := n.currentSession()
	r := LeaderReply{Leader: n.replica.Status().LeaderAddress, Replicas: n.replicas(), IsLeader: err == nil, StateVersion: rollout.StateVersion}
	if r.IsLeader {
		r.Term, r.Time = s.term, boottime.Now()
	}
	if at := n.lastLeaderAt.Load(); at != 0 {
		r.WasLeader, r.SinceLeader = true, boottime.Now()-time.Duration(at)
	}
	return r, nil
}

// handlePeek returns what this VM holds, without confirmation by a leader, for an entry VM that starts while there is
// no leader.
func (n *Node) handlePeek(_ context.Context, q PeekRequest) (PeekReply, error) {
	if n.replica.StandsBy() {
		return PeekReply{}, nil
	}
	r := PeekReply{Servers: n.registry.List("", boottime.Now())}
	if c := n.state.Configuration(); c != nil {
		var err error
		if r.Configuration, r.Packed, err = n.packed.forReply(c, q.AcceptsPacked); err != nil {
			return r, err
		}
	}
	if len(r.Servers) == 0 {
		r.Servers = n.state.Servers()
	}
	for i := range r.Servers {
		r.Servers[i].Models = nil
	}
	return r, nil
}

// PeekState asks the VM at address for the configuration and the servers that it holds, which may be out of date.
func PeekState(ctx context.Context, c *link.Client, address string) (PeekReply, error) {
	r, err := link.Call[PeekRequest, PeekReply](ctx, c, address, methodPeek, PeekRequest{AcceptsPacked: true})
	if err == nil && len(r.Packed) > 0 {
		r.Configuration, err = UnpackConfiguration(r.Packed)
	}
	return r, err
}

// callLeader runs a call on this VM if it is the leader, otherwise it forwards the call to the leader once.
func callLeader[Q, R any](ctx context.Context, n *Node, method string, run func(*session, context.Context, Q) (R, error), q Q) (R, error) {
	if s, err := n.currentSession(); err == nil {
		return run(s, ctx, q)
	}
	leader := n.replica.Status().LeaderAddress
	if leader == "" || leader == n.opts.Address {
		var none R
		return none, errs.New(errs.Unavailable, "call again in a second", "no leader is known at %s", n.opts.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return link.Call[Q, R](ctx, n.client, leader, method, q)
}

// RecordInvalidAnnouncement records an event for an announcement or a departure that names no server that can be used.
func (n *Node) RecordInvalidAnnouncement(err error) {
	n.opts.Events.Record(events.Event{Name: events.AnnouncementInvalid, Detail: err.Error()})
}

// Announce passes the announcement of a server to the leader and returns the leader's link address.
func (n *Node) Announce(ctx context.Context, s fleet.Server) (string, error) {
	r, err := callLeader(ctx, n, methodAnnounce, (*session).announce, s)
	return r.Leader, err
}

// Configure stores a configuration durably. A version that is not higher than the current one has no effect.
func (n *Node) Configure(ctx context.Context, c *routes.Configuration) error {
	_, err := callLeader(ctx, n, methodConfigure, (*session).configure, c)
	return err
}

// NewestConfiguration returns the newest configuration, confirmed by the leader. The error is of the kind errs.NotFound
// if there is none.
func (n *Node) NewestConfiguration(ctx context.Context) (ConfigReply, error) {
	return callLeader(ctx, n, methodConfig, (*session).configuration, Empty{})
}

// Publish makes a version of a model's weights its newest one, which the engines then load.
func (n *Node) Publish(ctx context.Context, v rollout.ModelVersion) error {
	_, err := callLeader(ctx, n, methodPublish, (*session).publish, v)
	return err
}

// checkLeadership returns an error if this VM no longer leads in the term of the session. A call checks it after it has
// read the state, whose content might otherwise be out of date.
func (s *session) checkLeadership() error {
	if s.node.holdsLease(s.term) {
		return nil
	}
	return s.leadershipLostError()
}

// leadershipLostError returns the error of a call that the end of the leadership interrupted. It does not check the
// lease: the lease may be held again by then, and the answer is incomplete all the same.
func (s *session) leadershipLostError() error {
	return errs.New(errs.NotLeader, "call the leader", "%s lost its lease during the call", s.node.opts.Name)
}

func (s *session) follow(ctx context.Context, q FollowRequest) (FollowReply, error) {
	arrived := boottime.Now()
	s.recordUsageContact(&q, arrived)
	if q.Forwards {
		s.limits.Contact(q.VM, q.SinceContact, q.Members, arrived)
		s.mu.Lock()
		s.peers.record(Peer{VM: q.VM, Address: q.PeerAddress, FailureDomain: q.FailureDomain}, q.TakesRequests, arrived)
		s.mu.Unlock()
		s.recordLoad(q, arrived)
	}
	timeout := time.NewTimer(FollowPollTimeout)
	defer timeout.Stop()
	suspectsSince := q.SuspectsRevision
	if q.Term != s.term {
		suspectsSince = 0
	}
	for waiting := true; ; {
		configured := s.node.state.Changed()
		var servers <-chan struct{} = s.serversChanged()
		var interval <-chan time.Time // ends when a changed list of servers may be sent
		r := FollowReply{Term: s.term, ServersRevision: s.node.registry.Revision(), Held: boottime.Now() - arrived}
		if c := s.node.state.Configuration(); c != nil && c.Version > q.ConfigurationVersion {
			var err error
			if r.Configuration, r.Packed, err = s.node.packed.forReply(c, q.AcceptsPacked); err != nil {
				return r, err
			}
		}
		serversChanged := q.Term != s.term || q.ServersRevision != r.ServersRevision
		limitsChanged := q.Term != s.term || q.LimitsRevision != s.node.limits.Revision()
		suspectsChanged := suspectsSince != s.node.suspects.Table().Revision()
		changed := serversChanged || limitsChanged || suspectsChanged
		if q.Term != s.term || r.Held >= minServersInterval {
			if serversChanged {
				s.addServers(&r, q.AcceptsPacked)
			}
			r.LimitsSent = limitsChanged
			if suspectsChanged {
				r.Suspects, suspectsSince = s.node.suspects.Table().ChangedSince(suspectsSince, maxSuspectsInReply, boottime.Now())
			}
		}
		r.SuspectsRevision = suspectsSince
		if !r.ServersSent {
			r.ServersRevision = q.ServersRevision
		}
		if r.Configuration != nil || r.Packed != nil || r.ServersSent || r.LimitsSent || len(r.Suspects) > 0 || !waiting {
			s.addLimits(&r, q)
			s.addPeers(&r, q, boottime.Now())
			s.addLoad(&r, q, boottime.Now())
			r.Replicas = s.node.replicas()
			s.addAgreedTime(&r, arrived)
			return r, s.checkLeadership()
		}
		if changed {
			servers, interval = nil, time.After(minServersInterval-r.Held)
		}
		select {
		case <-configured:
		case <-servers:
		case <-interval:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			return r, errs.Wrap(ctx.Err(), errs.Unavailable, "call again", "the caller cancelled the follow request")
		case <-s.ctx.Done():
			return r, s.leadershipLostError()
		}
	}
}

// minServersInterval is the shortest time between two lists of servers, or of their limits, for one VM. When many
// servers start, leave or fall silent at once, each of them changes the list, which every VM gets whole.
const minServersInterval = 150 * time.Millisecond

// addServers adds the list of servers to a reply. Its packed form is made once for each revision.
func (s *session) addServers(r *FollowReply, acceptsPacked bool) {
	if !acceptsPacked {
		r.ServersSent, r.Servers = true, s.servers()
		return
	}
	s.packedMu.Lock()
	defer s.packedMu.Unlock()
	if s.packedList == nil || s.packedRevision != r.ServersRevision {
		packed, err := packServers(s.servers())
		if err != nil {
			s.node.opts.Events.Log().WithError(err).Error("cannot encode the list of servers; the VMs keep the last one")
			return
		}
		s.packedList, s.packedRevision = packed, r.ServersRevision
	}
	r.ServersSent, r.PackedServers = true, s.packedList
}

// addLimits adds the limits of servers to a reply if LimitsSent is set, and the number of VMs that share them.
func (s *session) addLimits(r *FollowReply, q FollowRequest) {
	now := boottime.Now()
	r.LimitsRevision = q.LimitsRevision
	if r.LimitsSent {
		r.Limits, r.LimitsRevision = s.node.limits.List(now)
	}
	r.Members = s.limits.Members(now)
}

// servers returns all servers, without the fields that only the leader needs.
func (s *session) servers() []fleet.Server {
	list := s.node.registry.List("", boottime.Now())
	for i := range list {
		list[i].Models = nil
	}
	return list
}

func (s *session) submit(ctx context.Context, b *rollout.Batch) (Empty, error) {
	b.Submitted = time.Now().UnixMilli()
	if err := s.checkWorkspace(b, func() uint64 { return s.membersStateVersion(workspaceStateVersion) }); err != nil {
		return Empty{}, err
	}
	o, err := s.submitWithRoom(ctx, b)
	if err == nil && !o.Changed {
		err = s.checkOwner(b) // another workspace may have submitted the ID at the same time
	}
	if err != nil {
		return Empty{}, err
	}
	s.record(events.Event{Name: events.BatchAccepted, Request: b.ID, Detail: describeBatch(b, o.Changed)})
	return Empty{}, nil
}

// readPage returns the results of a page of the given size as soon as there is room for them.
func (s *session) readPage(ctx context.Context, q ReadBatchRequest, size int) (ReadBatchReply, error) {
	if err := link.ReserveReply(ctx, size*replyCopies); err != nil {
		return ReadBatchReply{}, err
	}
	// No more than the reserved bytes are read: results may have been added since.
	page, found, err := s.node.state.ReadResults(q.Batch, q.After, min(q.MaxBytes, size))
	if err != nil {
		return ReadBatchReply{}, err
	}
	return ReadBatchReply{Found: found, Page: page}, s.checkLeadership()
}

const (
	// repliesFraction is the share of the process's memory limit that pages of results and bodies may take until they are sent to
	// the VMs that asked for them.
	repliesFraction = 0.05
	// replyCopies is how many times such a reply is in memory: as it was read, and encoded.
	replyCopies = 2
)

func (s *session) read(ctx context.Context, q ReadBatchRequest) (ReadBatchReply, error) {
	timeout := time.NewTimer(q.MaxWait)
	defer timeout.Stop()
	for waiting := q.MaxWait > 0; ; {
		changed := s.node.state.Changed()
		if !s.mayAccess(q.Batch, q.Workspace) {
			return ReadBatchReply{}, s.checkLeadership()
		}
		size, page, found := s.node.state.PageSize(q.Batch, q.After, q.MaxBytes)
		if !found || !waiting || size > 0 || page.Next >= page.Total || page.Ended {
			return s.readPage(ctx, q, size)
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-s.ctx.Done():
			return ReadBatchReply{}, s.leadershipLostError()
		}
	}
}

func (s *session) body(ctx context.Context, q ItemBodyRequest) (ItemBodyReply, error) {
	if !s.mayAccess(q.Batch, q.Workspace) {
		return ItemBodyReply{}, s.checkLeadership()
	}
	body, open, _ := s.node.state.ItemBody(q.Batch, q.Item)
	if !open {
		return ItemBodyReply{}, s.checkLeadership()
	}
	limit := cmp.Or(q.MaxBytes, body.Len())
	if err := link.ReserveReply(ctx, min(limit, body.Len())*replyCopies); err != nil {
		return ItemBodyReply{}, err
	}
	data, err := body.ReadRange(q.Offset, limit)
	if err != nil {
		if _, open, _ = s.node.state.ItemBody(q.Batch, q.Item); !open {
			return ItemBodyReply{}, s.checkLeadership() // the item was listed meanwhile, and its body deleted
		}
		return ItemBodyReply{}, err
	}
	return ItemBodyReply{Found: true, Body: data, Length: body.Len()}, s.checkLeadership()
}

func (s *session) end(ctx context.Context, q EndBatchRequest) (Empty, error) {
	o := rollout.Outcome{}
	owner, _ := s.node.state.BatchWorkspace(q.Batch)
	err := s.checkLeadership()
	if owner == "" || owner == q.Workspace {
		o, err = s.node.propose(ctx, rollout.Command{EndBatch: q.Batch})
	}
	if err != nil {
		return Empty{}, err
	}
	if !o.Found {
		return Empty{}, errs.New(errs.NotFound, "check the batch's ID", "batch %s does not exist", q.Batch)
	}
	s.record(events.Event{Name: events.BatchEnded, Request: q.Batch})
	return Empty{}, nil
}

func (s *session) announce(ctx context.Context, v fleet.Server) (AnnounceReply, error) {
	reply := AnnounceReply{Leader: s.node.opts.Address}
	if err := cmp.Or(v.Validate(), fleet.ValidateStart(v.ID, v.Incarnation, time.Now())); err != nil {
		s.node.RecordInvalidAnnouncement(err)
		return reply, err
	}
	known, _ := s.node.registry.Get(v.ID)
	mustWait := s.node.registry.MustWait(v)
	if v.Leaving && !mustWait && !(known.Leaving && known.Incarnation == v.Incarnation) && known.Incarnation <= v.Incarnation {
		if _, err := s.node.propose(ctx, rollout.Command{Depart: &rollout.ServerIncarnation{Server: v.ID, Incarnation: v.Incarnation}}); err != nil {
			return reply, err
		}
	}
	isReady := !v.Leaving
	v.Leaving = v.Leaving || s.hasDeparted(v)
	change := s.node.registry.Announce(v, boottime.Now())
	s.afterAnnouncement(v, change)
	if isReady && v.Leaving && change == fleet.NoChange && s.isReadyForLong(v, boottime.Now()) {
		s.returnServer(ctx, v)
	}
	if err := s.ensureRegistered(ctx, v, change); err != nil {
		return reply, err
	}
	return reply, s.checkLeadership()
}

// hasDeparted reports whether this start of a server, or a later one, leaves or has left.
func (s *session) hasDeparted(v fleet.Server) bool {
	departed, ok := s.node.state.LastDeparture(v.ID)
	return ok && departed >= v.Incarnation
}

// listConfiguredServers lists the servers that waited for the configuration of their service.
func (s *session) listConfiguredServers() {
	for _, v := range s.node.registry.ListConfigured(s.hasDeparted) {
		s.afterAnnouncement(v, fleet.NewIncarnation)
		go s.registerServer(v)
	}
}

// afterAnnouncement records how an announcement changed the registry and wakes the calls that wait for changed servers.
func (s *session) afterAnnouncement(v fleet.Server, change fleet.Change) {
	switch change {
	case fleet.NewIncarnation:
		s.record(events.Event{Name: events.ServerAnnounced, Server: serverID(v), Detail: fmt.Sprintf("%s at %s in %s, software %q, start %d", v.Service, v.Address, v.FailureDomain, v.Software, v.Incarnation)})
	case fleet.StartedLeaving:
		s.record(events.Event{Name: events.ServerLeaving, Server: serverID(v), Detail: fmt.Sprintf("announced, start %d", v.Incarnation)})
	case fleet.StaleAnnouncement:
		s.record(events.Event{Name: events.AnnouncementStale, Server: serverID(v), Detail: "older than the latest announcement"})
		return
	case fleet.StartedWaiting:
		s.record(events.Event{Name: events.ServerWaiting, Server: serverID(v), Detail: fmt.Sprintf("%s at %s: no such service is configured", v.Service, v.Address)})
		return
	case fleet.StillWaiting:
		return
	case fleet.NoChange:
	}
	if change != fleet.NoChange {
		s.signalServers()
	}
	s.recordVersions(v)
}

// ensureRegistered stores an announced server in the replicated state before its announcement is acknowledged, so that every
// later leader knows which servers have announced themselves.
func (s *session) ensureRegistered(ctx context.Context, v fleet.Server, change fleet.Change) error {
	if v.Leaving || change != fleet.NewIncarnation && change != fleet.NoChange || s.node.state.IsRegistered(v.ID, v.Incarnation) {
		return nil
	}
	_, err := s.node.propose(ctx, rollout.Command{Register: &v})
	return err
}

// registerServer stores a server in the replicated state. If that fails, the next announcement of a server that is not stored
// does it, and the next leader learns its weight versions from its announcements.
func (s *session) registerServer(v fleet.Server) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, rollout.Command{Register: &v}); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("server", v.ID).Info("cannot store the server in the replicated state")
	}
}

// ReportLeaving tells the leader at address that a server said in a response that it leaves.
func ReportLeaving(ctx context.Context, c *link.Client, address string, v rollout.ServerIncarnation) error {
	_, err := link.Call[rollout.ServerIncarnation, Empty](ctx, c, address, MethodLeaving, v)
	return err
}

// ServerLeaving records that a server said in a response that it leaves.
func (n *Node) ServerLeaving(v fleet.Server) {
	if !n.registry.MarkLeaving(v.ID, v.Incarnation) {
		return
	}
	n.opts.Events.Record(events.Event{Name: events.ServerLeaving, Server: serverID(v), Detail: "stated in a response"})
	s := n.session.Load()
	if s == nil {
		return
	}
	s.signalServers()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		defer cancel()
		if _, err := n.propose(ctx, rollout.Command{Depart: &rollout.ServerIncarnation{Server: v.ID, Incarnation: v.Incarnation}}); err != nil {
			n.opts.Events.Log().WithError(err).WithField("server", v.ID).Info("cannot store that the server leaves; a new leader learns it from the server")
		}
	}()
}

// serverLeaves records what a response to another VM said. A start of the server after that one does not leave.
func (s *session) serverLeaves(ctx context.Context, v rollout.ServerIncarnation) (Empty, error) {
	known, found := s.node.registry.Get(v.Server)
	if !found || known.Leaving || known.Incarnation > v.Incarnation {
		return Empty{}, s.checkLeadership()
	}
	if _, err := s.node.propose(ctx, rollout.Command{Depart: &v}); err != nil {
		return Empty{}, err
	}
	s.record(events.Event{Name: events.ServerLeaving, Server: serverID(known), Detail: "stated in a response to another VM"})
	s.signalServers()
	return Empty{}, nil
}

func (s *session) configure(ctx context.Context, c *routes.Configuration) (Empty, error) {
	if err := c.Validate(); err != nil {
		return Empty{}, err
	}
	if held := s.node.state.Configuration(); held != nil && c.Version <= held.Version {
		s.record(events.Event{Name: events.ConfigurationIgnored, Detail: describeVersions(c.Version, held.Version)})
		return Empty{}, s.checkLeadership()
	}
	if _, err := s.node.propose(ctx, rollout.Command{Configure: c}); err != nil {
		return Empty{}, err
	}
	s.record(events.Event{Name: events.ConfigurationAccepted, Detail: describeVersions(c.Version, 0)})
	return Empty{}, nil
}

func (s *session) configuration(context.Context, Empty) (ConfigReply, error) {
	c := s.node.state.Configuration()
	if err := s.checkLeadership(); err != nil {
		return ConfigReply{}, err
	}
	if c == nil {
		return ConfigReply{}, errs.New(errs.NotFound, "send a configuration", "there is no configuration yet")
	}
	return ConfigReply{Version: c.Version, Document: c.Document}, nil
}

func (s *session) publish(ctx context.Context, v rollout.ModelVersion) (Empty, error) {
	if held := s.node.state.Versions()[v.Model]; v.Version <= held {
		return Empty{}, s.checkLeadership()
	}
	if _, err := s.node.propose(ctx, rollout.Command{Publish: &v}); err != nil {
		return Empty{}, err
	}
	s.record(events.Event{Name: events.WeightsPublished, Detail: describeModel(v)})
	return Empty{}, nil
}

// Status returns the status of this VM's replica.
func (n *Node) Status() replica.Status { return n.replica.Status() }

// QueryLeader asks the VM at address which VM leads.
func QueryLeader(ctx context.Context, c *link.Client, address string) (LeaderReply, error) {
	return link.Call[Empty, LeaderReply](ctx, c, address, methodLeader, Empty{})
}
