package replica

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/raft"
)

const (
	// bootstrapInterval is the time between attempts to create or join a group.
	bootstrapInterval = 100 * time.Millisecond
	// bootstrapTimeout bounds one round of bootstrap requests to the other replicas.
	bootstrapTimeout = time.Second
	// joinTimeout bounds one join request.
	joinTimeout = 2 * time.Second
)

// BootstrapRequest asks a replica whether its group already exists.
type BootstrapRequest struct {
	From raft.Member `cbor:"1,keyasint"`
}

// BootstrapReply answers a BootstrapRequest. Member is the replica that answers. InitialVoters are the voters that the
// group was created with; Members is the current membership. Both are empty until the group has committed the answering
// replica as a member.
type BootstrapReply struct {
	Member        raft.Member   `cbor:"1,keyasint"`
	Initialized   bool          `cbor:"2,keyasint"`
	InitialVoters []raft.Member `cbor:"3,keyasint,omitempty"`
	Members       []raft.Member `cbor:"4,keyasint,omitempty"`
	Leader        string        `cbor:"5,keyasint,omitempty"` // address of the leader, if known
}

// JoinRequest asks the leader to add a replica. The replica replaces the voter with its own name or, if there is none,
// the voter named ReplaceVoter. If it replaces no voter, it stays a learner.
type JoinRequest struct {
	Member       raft.Member `cbor:"1,keyasint"`
	ReplaceVoter string      `cbor:"2,keyasint,omitempty"`
}

// JoinReply reports that the leader has appended the new membership to its log.
type JoinReply struct {
	Replaces uint64 `cbor:"1,keyasint,omitempty"` // ID of the voter that is being replaced
	// Standby is true if the group has enough members: the replica was not added and asks again.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// bootstrapState prevents a replica from taking part in two groups created by two instances of the bootstrap
// coordinator, see coordinatorAddress.
type bootstrapState struct {
	mu sync.Mutex
	// coordinatorID is the instance number from the newest request of the bootstrap coordinator. Voters listed by an
	// earlier instance are ignored: that instance has lost its disk, and the new one may create another group.
	coordinatorID uint64
}

// HandleBootstrap answers the bootstrap request of a starting replica.
func (r *Replica) HandleBootstrap(_ context.Context, q BootstrapRequest) (BootstrapReply, error) {
	r.bootstrap.mu.Lock()
	defer r.bootstrap.mu.Unlock()
	if q.From.Address == r.coordinatorAddress() {
		r.bootstrap.coordinatorID = q.From.ID
	}
	reply := BootstrapReply{Member: r.self, Initialized: r.participating.Load()}
	s := r.Status()
	if !s.Joined {
		return reply, nil
	}
	reply.InitialVoters = r.store.InitialVoters()
	reply.Leader = s.LeaderAddress
	for _, m := range s.Members {
		reply.Members = append(reply.Members, m.Member)
	}
	return reply, nil
}

// coordinatorAddress returns the address of the bootstrap coordinator, which has nothing to do with package
// coordinator: the replica in the settings whose address comes first in string order. Only this replica creates a
// group, so that two replicas cannot create two groups. A replica with the option JoinOnly does not count itself.
func (r *Replica) coordinatorAddress() string {
	var address string
	if !r.opts.JoinOnly {
		address = r.self.Address
	}
	for _, p := range r.configuredPeers() {
		if address == "" || p.Address < address {
			address = p.Address
		}
	}
	return address
}

// joinGroup retries until an empty replica is a member: of a new group if all replicas in the settings are empty, or
// else of the existing group.
func (r *Replica) joinGroup(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r.tryJoin(ctx) {
			return
		}
		if r.standby.Load() != nil {
			ticker.Reset(standbyInterval)
		} else {
			ticker.Reset(bootstrapInterval)
		}
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		case <-ctx.Done():
		}
	}
}

// tryJoin makes one attempt to create or join a group. It reports whether joinGroup can stop.
func (r *Replica) tryJoin(ctx context.Context) bool {
	if r.joined() {
		return true
	}
	replies := r.queryPeers(ctx)
	empty := true
	for _, reply := range replies {
		if len(reply.Members) > 0 {
			return r.joinExisting(ctx, reply)
		}
		empty = empty && !reply.Initialized
	}
	if !empty || r.opts.JoinOnly || r.participating.Load() || len(replies) < len(r.configuredPeers()) || r.self.Address != r.coordinatorAddress() {
		return false
	}
	voters := []raft.Member{r.self}
	for _, reply := range replies {
		voters = append(voters, reply.Member)
	}
	return r.startAsVoter(ctx, voters, r.self)
}

// queryPeers sends a bootstrap request to every known replica and returns the replies that arrived in time, except
// those of a replica with another name than expected at its address.
func (r *Replica) queryPeers(ctx context.Context) []BootstrapReply {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var replies []BootstrapReply
	for _, p := range r.knownReplicas() {
		wg.Go(func() {
			reply, err := r.opts.Bootstrap(ctx, p.Address, BootstrapRequest{From: r.self})
			if err != nil || p.Name != "" && reply.Member.Name != p.Name {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// knownReplicas returns the other replicas in the settings and, with the option ManageVoters, also the members of the
// current membership, because the settings may be out of date.
func (r *Replica) knownReplicas() []raft.Member {
	list := r.configuredPeers()
	if !r.opts.ManageVoters {
		return list
	}
	members := r.Status().Members
	if standby := r.standby.Load(); standby != nil {
		members = standby.members
	}
	for _, m := range members {
		known := func(p raft.Member) bool { return p.Address == m.Address }
		if m.Address != r.self.Address && !slices.ContainsFunc(list, known) {
			list = append(list, raft.Member{Address: m.Address})
		}
	}
	return list
}

// joinExisting takes part in the existing group that reply describes, or asks its leader to add this replica.
func (r *Replica) joinExisting(ctx context.Context, reply BootstrapReply) bool {
	switch {
	case r.containsSelf(reply.InitialVoters) && r.containsSelf(reply.Members):
		return r.startAsVoter(ctx, reply.InitialVoters, reply.Member)
	case r.containsSelf(reply.Members):
		// An earlier join request was accepted. The leader sends the log or a snapshot.
		return r.startParticipating(ctx, nil, reply.Member) && r.joined()
	default:
		return r.requestJoin(ctx, reply)
	}
}

// containsSelf reports whether list contains this instance.
func (r *Replica) containsSelf(list []raft.Member) bool {
	return slices.ContainsFunc(list, func(m raft.Member) bool { return m.ID == r.self.ID })
}

// startAsVoter starts this replica as one of the initial voters of a group. source is the replica whose bootstrap reply
// listed the voters, or this replica itself if it creates the group.
func (r *Replica) startAsVoter(ctx context.Context, voters []raft.Member, source raft.Member) bool {
	if p, blocked := blockingProblem(voters); blocked && !r.opts.ManageVoters {
		r.opts.Fatal(errs.New(errs.ConfigInvalid, "change the replicas in the settings", "%s", p.Text))
		return true
	}
	state := raft.InitialState(voters)
	return r.startParticipating(ctx, &state, source)
}

// startParticipating makes the replica take part in the group, from the given initial state or, if state is nil, from
// an empty log. source is the replica that listed the voters of state. The method reports false if source is an earlier
// instance of the bootstrap coordinator, or if ctx ends first. It reports true after a storage failure, which stops the
// replica.
func (r *Replica) startParticipating(ctx context.Context, state *raft.DurableState, source raft.Member) bool {
	ok := false
	err := r.runInLoop(ctx, func() { ok = r.startParticipatingInLoop(state, source) })
	if err != nil || !ok {
		return false
	}
	r.standby.Store(nil)
	return true
}

func (r *Replica) startParticipatingInLoop(state *raft.DurableState, source raft.Member) bool {
	r.bootstrap.mu.Lock()
	defer r.bootstrap.mu.Unlock()
	if r.participating.Load() {
		return true
	}
	if state == nil {
		r.participating.Store(true)
		return true
	}
	if c := r.bootstrap.coordinatorID; c != 0 && source.Address == r.coordinatorAddress() && source.ID != c {
		return false
	}
	if err := r.store.SaveInitialState(*state); err != nil {
		r.fail(err)
		return true
	}
	if err := r.startNode(*state); err != nil {
		r.fail(err)
		return true
	}
	r.loop.encoder = &encoder{self: r.self}
	return true
}

// requestJoin asks the leader to add this replica and reports whether it is a committed member already. It also tries
// the other members, because the leader may have changed.
func (r *Replica) requestJoin(ctx context.Context, reply BootstrapReply) bool {
	addresses := []string{reply.Leader, reply.Member.Address}
	for _, m := range reply.Members {
		addresses = append(addresses, m.Address)
	}
	for _, address := range slices.Compact(addresses) {
		if address == "" || address == r.self.Address {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		joined, err := r.opts.Join(joinCtx, address, JoinRequest{Member: r.self, ReplaceVoter: r.opts.ReplaceVoter})
		cancel()
		if err == nil && joined.Standby {
			r.standBy(address, reply.Members)
			return false
		}
		if err == nil {
			return r.startParticipating(ctx, nil, reply.Member) && r.joined()
		}
	}
	return false
}

// joined reports whether this replica knows that the group has committed it as a member. Until then it keeps requesting
// to join, because the leader may fail before it commits the join.
func (r *Replica) joined() bool {
	return r.Status().Joined
}

// HandleJoin adds a replica to the group. Only the leader can do so. Errors are of the kinds NotLeader, Unavailable
// (another membership change is in progress), NotFound (no voter is named q.ReplaceVoter) and Conflict (the VM is
// retired, or one failure domain would hold a majority of the voters).
func (r *Replica) HandleJoin(ctx context.Context, q JoinRequest) (JoinReply, error) {
	var reply JoinReply
	var joinErr error
	err := r.runInLoop(ctx, func() { reply, joinErr = r.addJoiningReplica(q) })
	if err != nil {
		return JoinReply{}, err
	}
	return reply, joinErr
}

func (r *Replica) addJoiningReplica(q JoinRequest) (JoinReply, error) {
	s := r.loop.node.Status()
	if s.Role != raft.Leader {
		return JoinReply{}, errNotLeader(r.buildStatus().leader())
	}
	if r.opts.RetiredVMs != nil && r.opts.RetiredVMs()[q.Member.Name] {
		return JoinReply{}, errs.New(errs.Conflict, "remove the VM from the deployment", "VM %s is retired and cannot join the group again", q.Member.Name)
	}
	if _, member := s.Configuration.Member(q.Member.ID); member {
		return JoinReply{}, nil
	}
	l := raft.Learner{Member: q.Member}
	old, err := replacedVoter(s.Configuration, q)
	if err != nil {
		return JoinReply{}, err
	}
	l.Replaces = old.ID
	if err := checkReplacement(s.Configuration.Voters, old, q.Member); err != nil && !r.opts.ManageVoters {
		return JoinReply{}, err
	}
	if r.opts.ManageVoters && old.ID == 0 && r.hasEnoughMembers(s.Configuration, q.Member) {
		return JoinReply{Standby: true}, nil
	}
	if err := r.loop.node.AddLearner(l); err != nil {
		return JoinReply{}, errNotProposed(err)
	}
	r.addresses.learn(q.Member.ID, q.Member.Address)
	return JoinReply{Replaces: old.ID}, nil
}

// replacedVoter returns the voter that the new replica replaces, or a zero Member if there is none.
func replacedVoter(c raft.Configuration, q JoinRequest) (raft.Member, error) {
	// The replica's own name is tried before ReplaceVoter: a replica that has lost its disk replaces its own earlier
	// instance, even if it was first started as the replacement of another voter.
	old, ok := c.VoterByName(q.Member.Name)
	if !ok {
		old, ok = c.VoterByName(q.ReplaceVoter)
	}
	if !ok && q.ReplaceVoter != "" {
		var names []string
		for _, v := range c.Voters {
			names = append(names, v.Name)
		}
		return raft.Member{}, errs.New(errs.NotFound, "name one of "+strings.Join(names, ", "), "no voter is named %q", q.ReplaceVoter)
	}
	return old, nil
}

// checkReplacement returns an error if the replacement gives one failure domain a majority of the voters, unless one
// already has it.
func checkReplacement(voters []raft.Member, old, replacement raft.Member) error {
	if _, already := blockingProblem(voters); old.ID == 0 || already {
		return nil
	}
	after := slices.DeleteFunc(slices.Clone(voters), func(m raft.Member) bool { return m.ID == old.ID })
	if p, blocked := blockingProblem(append(after, replacement)); blocked {
		return errs.New(errs.Conflict, "place the new replica in another failure domain", "replacing %s by %s: %s", old.Name, replacement.Name, p.Text)
	}
	return nil
}
