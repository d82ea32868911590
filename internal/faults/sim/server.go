package sim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/raft"
)

// Server is a simulated control replica with a raft node, a disk and a clock.
type Server struct {
	raft.Member
	cluster     *Cluster
	clockRate   float64
	clockOffset time.Duration
	node        *raft.Node
	disk        *disk
	down        bool
	frozen      bool
	epoch       int // incremented by each start and kill; callbacks of an earlier epoch are ignored

	inbox []raft.Message
	tasks []task
	busy  bool

	applied  uint64
	hash     uint64 // digest of all applied entries
	snapshot uint64 // index of the newest snapshot

	proposals map[uint64]*Edit
	reads     map[string]*Read
	// FailNextSync makes the next sync fail, which kills the process.
	FailNextSync bool
	dropNext     bool
	onOlderDisk  bool // was restarted on an older copy of its disk
}

// Operation is an operation of a server at which faults can be injected.
type Operation string

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
	Detail    string       // kind of data that is synced, type of message that is sent
	Message   raft.Message // of Send
}

// task is a pending step of a server. A task with an operation has an injection point before and after it.
type task struct {
	operation Operation
	detail    string
	message   raft.Message
	run       func()
}

// Clock returns the reading of the server's monotonic clock.
func (s *Server) Clock() time.Duration {
	return s.clockOffset + time.Duration(float64(s.cluster.now)*s.clockRate)
}

// Running reports whether the server is neither down nor frozen.
func (s *Server) Running() bool { return !s.down && !s.frozen }

// Idle reports whether the server is running and has no unfinished tasks, so that it accepts input.
func (s *Server) Idle() bool { return s.Running() && len(s.tasks) == 0 && !s.busy }

// LastSyncedIndex returns the last log index that is synced on the server's disk.
func (s *Server) LastSyncedIndex() uint64 {
	if n := len(s.disk.synced.Entries); n > 0 {
		return s.disk.synced.Entries[n-1].Index
	}
	return s.disk.synced.Snapshot.Index
}

// CheckpointIndex returns the last log index of the disk copy that RestartFromCheckpoint restores.
func (s *Server) CheckpointIndex() uint64 {
	if n := len(s.disk.checkpoint.Entries); n > 0 {
		return s.disk.checkpoint.Entries[n-1].Index
	}
	return s.disk.checkpoint.Snapshot.Index
}

// Down reports whether the process was killed and not restarted.
func (s *Server) Down() bool { return s.down }

// Applied returns the last applied index.
func (s *Server) Applied() uint64 { return s.applied }

// MatchIndex returns the highest index up to which the server, as leader, knows the log of instance id to match its
// own.
func (s *Server) MatchIndex(id uint64) uint64 { return s.node.MatchIndex(id) }

// TransferLeadership asks the server, as leader, to transfer leadership to instance id.
func (s *Server) TransferLeadership(id uint64) error {
	err := s.node.TransferLeadership(id)
	s.runPending()
	return err
}

// AddLearner asks the server, as leader, to add a learner.
func (s *Server) AddLearner(l raft.Learner) error {
	err := s.node.AddLearner(l)
	s.runPending()
	return err
}

// ChangeVoters asks the server, as leader, to change the voters.
func (s *Server) ChangeVoters(voters []raft.Member) error {
	err := s.node.ChangeVoters(voters)
	s.runPending()
	return err
}

// CaughtUp reports whether the server, as leader, considers the log of learner id current enough for a voter.
func (s *Server) CaughtUp(id uint64) bool { return s.node.CaughtUp(id) }

// Status returns the status of the server's node.
func (s *Server) Status() raft.Status { return s.node.Status() }

// HoldsLease reports whether the server holds the leader lease according to its own clock.
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

// Kill kills the process. Writes that were not synced are lost unless keepUnsynced is set.
func (s *Server) Kill(keepUnsynced bool) {
	s.disk.crash(keepUnsynced)
	s.down = true
	s.epoch++
	s.tasks, s.inbox = nil, nil
}

// Restart starts a killed process from its disk. It does nothing if the process is running.
func (s *Server) Restart() {
	if s.down {
		s.start()
	}
}

// RestartEmpty starts a killed process on an empty disk and therefore with a new instance number.
func (s *Server) RestartEmpty() {
	old := s.ID
	s.cluster.lastInstance++
	s.ID = s.cluster.lastInstance
	s.cluster.byID[s.ID] = s
	delete(s.cluster.byID, old)
	s.disk = newDisk(raft.DurableState{})
	s.onOlderDisk = false
	s.start()
}

// Checkpoint saves a copy of the synced disk state for a later RestartFromCheckpoint.
func (s *Server) Checkpoint() {
	s.disk.checkpoint = s.disk.synced
	s.disk.checkpoint.Entries = slices.Clone(s.disk.synced.Entries)
}

// RestartFromCheckpoint starts a killed process on the disk copy that Checkpoint made, with the same instance number.
func (s *Server) RestartFromCheckpoint() {
	copied := s.disk.checkpoint
	copied.Entries = slices.Clone(copied.Entries)
	d := newDisk(copied)
	d.checkpoint = d.synced
	s.disk = d
	s.onOlderDisk = true
	s.start()
}

// Freeze suspends the process for the virtual duration d, also between two tasks of one Ready.
func (s *Server) Freeze(d time.Duration) {
	s.frozen = true
	epoch := s.epoch
	s.cluster.After(d, func() {
		if s.epoch == epoch {
			s.frozen = false
			s.runPending()
		}
	})
}

func (s *Server) tick() {
	if s.Idle() {
		s.node.Tick(s.Clock())
		s.runPending()
	}
	s.cluster.After(time.Duration(float64(tickInterval)/s.clockRate), s.tick)
}

func (s *Server) receive(m raft.Message) {
	if s.down {
		return
	}
	s.inbox = append(s.inbox, m)
	s.runPending()
}

// runPending runs the server until it has no work left, is frozen or is killed. It follows Replica.process.
func (s *Server) runPending() {
	if s.busy {
		return
	}
	s.busy = true
	epoch := s.epoch
	for s.epoch == epoch && s.Running() && s.runNext() {
	}
	if s.epoch == epoch {
		s.busy = false
	}
}

// runNext runs one task, handles one Ready, takes a snapshot or handles one message. It returns false if none is
// pending.
func (s *Server) runNext() bool {
	switch {
	case len(s.tasks) > 0:
		t := s.tasks[0]
		s.tasks = s.tasks[1:]
		s.runTask(t)
	case s.node.HasReady():
		s.scheduleReady(s.node.Ready())
	case s.snapshotDue():
		s.takeSnapshot()
	case len(s.inbox) > 0:
		m := s.inbox[0]
		s.inbox = s.inbox[1:]
		s.node.Step(m, s.Clock())
	default:
		return false
	}
	return true
}

// runTask calls the hook before and after the task. If the hook before it freezes the server, the task runs after the
// freeze, without calling the hook again.
func (s *Server) runTask(t task) {
	epoch := s.epoch
	if t.operation != "" {
		s.callHook(t, false)
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
		s.callHook(t, true)
	}
}

func (s *Server) callHook(t task, after bool) {
	if s.cluster.Hook != nil {
		s.cluster.Hook(Point{Server: s, Operation: t.operation, After: after, Detail: t.detail, Message: t.message})
	}
}

// scheduleReady turns a Ready into tasks, in the order that raft.Ready requires.
func (s *Server) scheduleReady(rd raft.Ready) {
	if rd.NeedsSync() {
		s.disk.stage(rd)
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

// finish completes a Ready: it answers reads, checks refusals and leadership, and advances the node.
func (s *Server) finish(rd raft.Ready) {
	for _, r := range rd.ReadStates {
		if read := s.reads[string(r.Context)]; read != nil {
			s.cluster.checker.checkRead(read, r.Index)
			read.Done = true
			delete(s.reads, string(r.Context))
		}
	}
	for _, e := range rd.Events {
		s.cluster.checkRefusal(e.RefusedID)
	}
	s.node.Advance(rd)
	s.cluster.checker.checkLeader(s)
}

func (s *Server) apply(e raft.Entry) {
	s.cluster.checker.checkApply(s, e)
	s.hash = nextDigest(s.hash, e)
	s.applied = e.Index
	s.cluster.checker.checkState(s)
	if edit := s.proposals[e.Index]; edit != nil {
		delete(s.proposals, e.Index)
		if edit.term == e.Term {
			edit.Accepted = true
			edit.Index = e.Index
		}
	}
}

// nextDigest returns the digest of the state after applying e to a state with the given digest.
func nextDigest(hash uint64, e raft.Entry) uint64 {
	b := binary.BigEndian.AppendUint64(nil, hash)
	b = binary.BigEndian.AppendUint64(b, e.Index)
	return xxhash.Sum64(append(b, e.Data...))
}

func (s *Server) snapshotDue() bool {
	every := s.cluster.opts.SnapshotEvery
	return every > 0 && s.applied >= s.snapshot+every
}

func (s *Server) takeSnapshot() {
	data := binary.BigEndian.AppendUint64(nil, s.hash)
	s.snapshot = s.applied
	snapshot, compacted := s.node.CreateSnapshot(s.applied, s.applied-s.cluster.opts.SnapshotEvery/4, data)
	s.disk.stageSnapshot(snapshot, max(compacted, 1)-1)
	s.tasks = append(s.tasks, task{operation: Sync, detail: "own snapshot and compaction", run: s.sync})
}

func (s *Server) restore(snapshot raft.Snapshot) {
	if snapshot.Index < s.applied {
		s.cluster.checker.fail("%s restored a snapshot at index %d after applying %d", s.Name, snapshot.Index, s.applied)
	}
	s.applied, s.snapshot = snapshot.Index, snapshot.Index
	if len(snapshot.Data) > 0 {
		s.hash = binary.BigEndian.Uint64(snapshot.Data)
	}
	s.cluster.checker.checkState(s)
}
