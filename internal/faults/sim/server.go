package sim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/raft"
)

// Server is one VM with a raft node, a disk and a clock.
type Server struct {
	raft.Member
	cluster *Cluster
	rate    float64
	skew    time.Duration
	node    *raft.Node
	disk    *disk
	down    bool
	frozen  bool
	epoch   int // counts restarts; tasks of an earlier epoch are void

	inbox []raft.Message
	tasks []task
	busy  bool

	applied  uint64
	hash     uint64 // digest of everything applied
	snapshot uint64 // index of the newest snapshot

	proposals map[uint64]*Edit
	reads     map[string]*Read
	// FailNextSync makes the next sync fail, which ends the process.
	FailNextSync bool
	dropNext     bool
	older        bool // runs on an older copy of its disk
}

// Operation is what a server does at a Point.
type Operation string

// Operations of a server.
const (
	Sync  Operation = "sync"
	Send  Operation = "send"
	Apply Operation = "apply"
)

// Point is a moment just before or after an operation of a server, at which a fault can be injected.
type Point struct {
	Server    *Server
	Operation Operation
	After     bool
	Detail    string       // what is synced or sent
	Message   raft.Message // of Send
}

// task is one operation of a server with the points around it.
type task struct {
	operation Operation
	detail    string
	message   raft.Message
	run       func()
}

// Clock returns the server's monotonic clock.
func (s *Server) Clock() time.Duration {
	return s.skew + time.Duration(float64(s.cluster.now)*s.rate)
}

// Running reports whether the server is neither down nor frozen.
func (s *Server) Running() bool { return !s.down && !s.frozen }

// Idle reports whether the server can take a new input now.
func (s *Server) Idle() bool { return s.Running() && len(s.tasks) == 0 && !s.busy }

// LastSyncedIndex returns the last log index on the server's disk.
func (s *Server) LastSyncedIndex() uint64 {
	if n := len(s.disk.synced.Entries); n > 0 {
		return s.disk.synced.Entries[n-1].Index
	}
	return s.disk.synced.Snapshot.Index
}

// CheckpointIndex returns the last log index on the copy that RestartOlder would use.
func (s *Server) CheckpointIndex() uint64 {
	if n := len(s.disk.initial.Entries); n > 0 {
		return s.disk.initial.Entries[n-1].Index
	}
	return s.disk.initial.Snapshot.Index
}

// Down reports whether the process is killed.
func (s *Server) Down() bool { return s.down }

// Applied returns the last applied index.
func (s *Server) Applied() uint64 { return s.applied }

// MatchIndex returns how far the server, as leader, knows instance id's log to agree with its own.
func (s *Server) MatchIndex(id uint64) uint64 { return s.node.MatchIndex(id) }

// TransferLeadership asks the server to hand its leadership to instance id.
func (s *Server) TransferLeadership(id uint64) error {
	err := s.node.TransferLeadership(id)
	s.pump()
	return err
}

// AddLearner asks the server, as leader, to add a learner.
func (s *Server) AddLearner(l raft.Learner) error {
	err := s.node.AddLearner(l)
	s.pump()
	return err
}

// ChangeVoters asks the server, as leader, to change the voters.
func (s *Server) ChangeVoters(voters []raft.Member) error {
	err := s.node.ChangeVoters(voters)
	s.pump()
	return err
}

// CaughtUp reports whether the server, as leader, finds learner id ready to be a voter.
func (s *Server) CaughtUp(id uint64) bool { return s.node.CaughtUp(id) }

// Status returns the status of the server's node.
func (s *Server) Status() raft.Status { return s.node.Status() }

// HoldsLease reports whether the server would act as leader now.
func (s *Server) HoldsLease() bool { return !s.down && s.node.HoldsLease(s.Clock()) }

// start creates the node from the synced state of the disk.
func (s *Server) start() {
	s.epoch++
	s.down, s.frozen, s.busy = false, false, false
	s.inbox, s.tasks = nil, nil
	s.proposals, s.reads = map[uint64]*Edit{}, map[string]*Read{}
	state := s.disk.synced
	s.node = raft.New(raft.Options{
		ID: s.ID, Seed: s.cluster.opts.Seed + uint64(s.epoch), Now: s.Clock(),
		MaxBatchBytes: s.cluster.opts.MaxBatchBytes, Mutations: s.cluster.opts.Mutations,
	}, state)
	s.applied, s.hash = 0, 0
	s.restore(state.Snapshot)
}

// Kill ends the process. Writes that were not synced are lost unless keepUnsynced.
func (s *Server) Kill(keepUnsynced bool) {
	s.disk.crash(keepUnsynced)
	s.down = true
	s.epoch++
	s.tasks, s.inbox = nil, nil
}

// Restart starts a killed process on its disk.
func (s *Server) Restart() {
	if s.down {
		s.start()
	}
}

// RestartEmpty starts a killed process on an empty disk, that is, under a new instance number.
func (s *Server) RestartEmpty() {
	old := s.ID
	s.cluster.instances++
	s.ID = s.cluster.instances
	s.cluster.byID[s.ID] = s
	delete(s.cluster.byID, old)
	s.disk = newDisk(raft.DurableState{})
	s.older = false
	s.start()
}

// Checkpoint copies the disk for a later RestartOlder.
func (s *Server) Checkpoint() {
	s.disk.initial = s.disk.synced
	s.disk.initial.Entries = slices.Clone(s.disk.synced.Entries)
}

// RestartFromCheckpoint starts a killed process on the copy of its disk, under the same instance number.
func (s *Server) RestartFromCheckpoint() {
	copied := s.disk.initial
	copied.Entries = slices.Clone(copied.Entries)
	d := newDisk(copied)
	d.initial = d.synced
	s.disk = d
	s.older = true
	s.start()
}

// Freeze stops the process for d in the middle of whatever it is doing.
func (s *Server) Freeze(d time.Duration) {
	s.frozen = true
	epoch := s.epoch
	s.cluster.After(d, func() {
		if s.epoch == epoch {
			s.frozen = false
			s.pump()
		}
	})
}

func (s *Server) tick() {
	if s.Idle() {
		s.node.Tick(s.Clock())
		s.pump()
	}
	s.cluster.After(time.Duration(float64(tickInterval)/s.rate), s.tick)
}

func (s *Server) receive(m raft.Message) {
	if s.down {
		return
	}
	s.inbox = append(s.inbox, m)
	s.pump()
}

// pump runs the server until it has nothing to do, is frozen or is killed. It follows Replica.process.
func (s *Server) pump() {
	if s.busy {
		return
	}
	s.busy = true
	epoch := s.epoch
	for s.epoch == epoch && s.Running() && s.advance() {
	}
	if s.epoch == epoch {
		s.busy = false
	}
}

// advance does one thing and reports whether there was any.
func (s *Server) advance() bool {
	switch {
	case len(s.tasks) > 0:
		t := s.tasks[0]
		s.tasks = s.tasks[1:]
		s.runTask(t)
	case s.node.HasReady():
		s.plan(s.node.Ready())
	case s.snapshotDue():
		s.planSnapshot()
	case len(s.inbox) > 0:
		m := s.inbox[0]
		s.inbox = s.inbox[1:]
		s.node.Step(m, s.Clock())
	default:
		return false
	}
	return true
}

// runTask calls the hook before and after the task. A task that was frozen before it ran is continued later.
func (s *Server) runTask(t task) {
	epoch := s.epoch
	if t.operation != "" {
		s.hook(t, false)
		if s.epoch != epoch {
			return
		}
		if s.frozen {
			t.operation = ""
			s.tasks = append([]task{t}, s.tasks...)
			return
		}
	}
	t.run()
	if t.operation != "" && s.epoch == epoch {
		s.hook(t, true)
	}
}

func (s *Server) hook(t task, after bool) {
	if s.cluster.Hook != nil {
		s.cluster.Hook(Point{Server: s, Operation: t.operation, After: after, Detail: t.detail, Message: t.message})
	}
}

// plan turns a Ready into tasks in the order that the contract of raft.Ready asks for.
func (s *Server) plan(rd raft.Ready) {
	if rd.NeedsSync() {
		s.disk.write(rd)
		s.tasks = append(s.tasks, task{operation: Sync, detail: syncDetail(rd), run: s.sync})
	}
	for _, m := range rd.Messages {
		s.tasks = append(s.tasks, task{operation: Send, detail: m.Type.String(), message: m, run: func() { s.cluster.transmit(s, m) }})
	}
	if rd.Snapshot != nil {
		s.tasks = append(s.tasks, task{run: func() { s.restore(*rd.Snapshot) }})
	}
	if len(rd.Committed) > 0 {
		s.tasks = append(s.tasks, task{operation: Apply, detail: "entries", run: func() { s.applyAll(rd.Committed) }})
	}
	s.tasks = append(s.tasks, task{run: func() { s.finish(rd) }})
}

func syncDetail(rd raft.Ready) string {
	switch {
	case rd.Snapshot != nil:
		return "received snapshot"
	case len(rd.Entries) > 0:
		return "entries"
	default:
		return "hard state"
	}
}

func (s *Server) sync() {
	if s.FailNextSync {
		s.FailNextSync = false
		s.Kill(false)
		return
	}
	s.disk.sync()
}

func (s *Server) applyAll(entries []raft.Entry) {
	for _, e := range entries {
		s.apply(e)
	}
}

func (s *Server) finish(rd raft.Ready) {
	for _, r := range rd.ReadStates {
		if read := s.reads[string(r.Context)]; read != nil {
			s.cluster.check.read(read, r.Index)
			read.Done = true
			delete(s.reads, string(r.Context))
		}
	}
	for _, e := range rd.Events {
		s.cluster.refusal(e.RefusedID)
	}
	s.node.Advance(rd)
	s.cluster.check.leader(s)
}

func (s *Server) apply(e raft.Entry) {
	s.cluster.check.apply(s, e)
	s.hash = chain(s.hash, e)
	s.applied = e.Index
	s.cluster.check.applied(s)
	if edit := s.proposals[e.Index]; edit != nil {
		delete(s.proposals, e.Index)
		if edit.term == e.Term {
			edit.Accepted = true
			edit.Index = e.Index
		}
	}
}

// chain returns the digest of a state after one more entry.
func chain(hash uint64, e raft.Entry) uint64 {
	b := binary.BigEndian.AppendUint64(nil, hash)
	b = binary.BigEndian.AppendUint64(b, e.Index)
	return xxhash.Sum64(append(b, e.Data...))
}

func (s *Server) snapshotDue() bool {
	every := s.cluster.opts.SnapshotEvery
	return every > 0 && s.applied >= s.snapshot+every
}

func (s *Server) planSnapshot() {
	data := binary.BigEndian.AppendUint64(nil, s.hash)
	s.snapshot = s.applied
	snapshot, compacted := s.node.CreateSnapshot(s.applied, s.applied-s.cluster.opts.SnapshotEvery/4, data)
	s.disk.writeSnapshot(snapshot, max(compacted, 1)-1)
	s.tasks = append(s.tasks, task{operation: Sync, detail: "own snapshot and compaction", run: s.sync})
}

func (s *Server) restore(snapshot raft.Snapshot) {
	if snapshot.Index < s.applied {
		s.cluster.check.fail("%s restored a snapshot at index %d after applying %d", s.Name, snapshot.Index, s.applied)
	}
	s.applied, s.snapshot = snapshot.Index, snapshot.Index
	if len(snapshot.Data) > 0 {
		s.hash = binary.BigEndian.Uint64(snapshot.Data)
	}
	s.cluster.check.applied(s)
}
