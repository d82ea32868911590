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
	bootstrapInterval = 100 * time.Millisecond
	bootstrapTimeout  = time.Second
	joinTimeout       = 2 * time.Second
)

// BootstrapRequest asks a replica whether its group exists already.
type BootstrapRequest struct {
	From raft.Member `cbor:"1,keyasint"`
}

// BootstrapReply is the answer. Initial is the voter set that the group was created with; Members is the current
// membership. Both are empty as long as the replica is not initialized.
type BootstrapReply struct {
	Member        raft.Member   `cbor:"1,keyasint"`
	Initialized   bool          `cbor:"2,keyasint"`
	InitialVoters []raft.Member `cbor:"3,keyasint,omitempty"`
	Members       []raft.Member `cbor:"4,keyasint,omitempty"`
	Leader        string        `cbor:"5,keyasint,omitempty"` // address of the leader, if known
}

// JoinRequest asks the leader to add a replica. The replica takes the place of the voter that has its own name, or
// else of the voter named Replace; without either it stays a learner.
type JoinRequest struct {
	Member       raft.Member `cbor:"1,keyasint"`
	ReplaceVoter string      `cbor:"2,keyasint,omitempty"`
}

// JoinReply tells that the leader has added the replica to its log.
type JoinReply struct {
	Replaces uint64 `cbor:"1,keyasint,omitempty"` // the instance that is being replaced
}

// bootstrapState guards the creation of the group.
type bootstrapState struct {
	mu sync.Mutex
	// coordinator is the instance of the first replica, by name, that last asked. A group is not adopted from an
	// earlier instance of it: that instance has lost its disk, and the new one may create another group.
	coordinator uint64
}

// HandleBootstrap answers a starting replica.
func (r *Replica) HandleBootstrap(_ context.Context, q BootstrapRequest) (BootstrapReply, error) {
	r.bootstrap.mu.Lock()
	defer r.bootstrap.mu.Unlock()
	if q.From.Address == r.coordinatorAddress() {
		r.bootstrap.coordinator = q.From.ID
	}
	reply := BootstrapReply{Member: r.self, Initialized: r.started.Load()}
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

// coordinatorAddress returns the first address among the replicas of the settings. Only that replica creates a
// group, so two replicas cannot create two. A replica that joins later is not among them.
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

// joinGroup makes an empty replica a member: of a new group if all replicas of the settings are empty, or of
// the existing group.
func (r *Replica) joinGroup(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r.tryJoin(ctx) {
			return
		}
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		case <-ctx.Done():
		}
	}
}

// tryJoin makes one attempt and reports whether the replica has its place in the group.
func (r *Replica) tryJoin(ctx context.Context) bool {
	if r.joined() {
		return true
	}
	replies := r.askPeers(ctx)
	empty := true
	for _, reply := range replies {
		if len(reply.Members) > 0 {
			return r.enter(ctx, reply)
		}
		empty = empty && !reply.Initialized
	}
	if !empty || r.opts.JoinOnly || r.started.Load() || len(replies) < len(r.configuredPeers()) || r.self.Address != r.coordinatorAddress() {
		return false
	}
	voters := []raft.Member{r.self}
	for _, reply := range replies {
		voters = append(voters, reply.Member)
	}
	return r.create(ctx, voters, r.self)
}

// askPeers returns the answers of the replicas that answered in time.
func (r *Replica) askPeers(ctx context.Context) []BootstrapReply {
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

// knownReplicas returns the replicas of the settings and, in a managed group, those that the log names: the
// settings may be out of date.
func (r *Replica) knownReplicas() []raft.Member {
	list := r.configuredPeers()
	if !r.opts.ManageVoters {
		return list
	}
	for _, m := range r.Status().Members {
		known := func(p raft.Member) bool { return p.Address == m.Address }
		if m.Address != r.self.Address && !slices.ContainsFunc(list, known) {
			list = append(list, raft.Member{Address: m.Address})
		}
	}
	return list
}

// enter takes the place that an existing group has for this replica, or asks for one.
func (r *Replica) enter(ctx context.Context, reply BootstrapReply) bool {
	switch {
	case r.listed(reply.InitialVoters) && r.listed(reply.Members):
		return r.create(ctx, reply.InitialVoters, reply.Member)
	case r.listed(reply.Members):
		// An earlier join was accepted; the leader sends the state.
		return r.begin(ctx, nil, reply.Member) && r.joined()
	default:
		return r.requestJoin(ctx, reply)
	}
}

func (r *Replica) listed(list []raft.Member) bool {
	return slices.ContainsFunc(list, func(m raft.Member) bool { return m.ID == r.self.ID })
}

// create starts this replica as a voter of the new group that source has told it of.
func (r *Replica) create(ctx context.Context, voters []raft.Member, source raft.Member) bool {
	if p, blocked := blockingProblem(voters); blocked && !r.opts.ManageVoters {
		r.opts.Fatal(errs.New(errs.ConfigInvalid, "change the replicas in the settings", "%s", p.Text))
		return true
	}
	state := raft.InitialState(voters)
	return r.begin(ctx, &state, source)
}

// begin lets the replica take part, from the given initial state or, if it is nil, from an empty log.
func (r *Replica) begin(ctx context.Context, state *raft.DurableState, source raft.Member) bool {
	ok := false
	err := r.call(ctx, func() { ok = r.beginInLoop(state, source) })
	return err == nil && ok
}

func (r *Replica) beginInLoop(state *raft.DurableState, source raft.Member) bool {
	r.bootstrap.mu.Lock()
	defer r.bootstrap.mu.Unlock()
	if r.started.Load() {
		return true
	}
	if state == nil {
		r.started.Store(true)
		return true
	}
	if c := r.bootstrap.coordinator; c != 0 && source.Address == r.coordinatorAddress() && source.ID != c {
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

// requestJoin asks the leader for a place and reports whether the replica has it already.
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
		_, err := r.opts.Join(joinCtx, address, JoinRequest{Member: r.self, ReplaceVoter: r.opts.ReplaceVoter})
		cancel()
		if err == nil {
			return r.begin(ctx, nil, reply.Member) && r.joined()
		}
	}
	return false
}

// joined reports whether this replica knows that the group committed it as a member. Until then it keeps asking,
// because a leader may be lost before it commits the join.
func (r *Replica) joined() bool {
	return r.Status().Joined
}

// HandleJoin adds a replica to the group. It must reach the leader; errors are of the kinds NotLeader,
// Unavailable (another change is in progress), NotFound (no voter named q.Replace) and Conflict (the new layout
// would give one failure domain a majority).
func (r *Replica) HandleJoin(ctx context.Context, q JoinRequest) (JoinReply, error) {
	var reply JoinReply
	var joinErr error
	err := r.call(ctx, func() { reply, joinErr = r.join(q) })
	if err != nil {
		return JoinReply{}, err
	}
	return reply, joinErr
}

func (r *Replica) join(q JoinRequest) (JoinReply, error) {
	s := r.loop.node.Status()
	if s.Role != raft.Leader {
		return JoinReply{}, errNotLeader(r.buildStatus().leader())
	}
	if r.opts.RetiredVMs != nil && r.opts.RetiredVMs()[q.Member.Name] {
		return JoinReply{}, errs.New(errs.Conflict, "take the VM away", "VM %s has been emptied for good", q.Member.Name)
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
	if err := r.loop.node.AddLearner(l); err != nil {
		return JoinReply{}, errNotProposed(err)
	}
	r.addresses.learn(q.Member.ID, q.Member.Address)
	return JoinReply{Replaces: old.ID}, nil
}

// replacedVoter returns the voter that the new replica takes the place of, or a zero member.
func replacedVoter(c raft.Configuration, q JoinRequest) (raft.Member, error) {
	// The own name comes first: a replacement that lost its disk again finds the place that it had taken.
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

// checkReplacement refuses a replacement that gives one failure domain a majority, unless one has it already.
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
