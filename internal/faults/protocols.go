package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// protocol is one protocol of the agreement core (package raft). It runs on a cluster whose leader is server a.
type protocol struct {
	name        string
	options     sim.Options
	voters      int
	prepare     func(r *run)      // runs before the trace of injection points starts
	start       func(r *run)      // begins the operation
	done        func(r *run) bool // reports that the operation is complete
	lostServer  string            // a server that the protocol itself stops
	addedServer string            // a server that the protocol adds to the group
}

// run is one execution of a protocol.
type run struct {
	*sim.Cluster
	protocol protocol
	edit     *sim.Edit
	reads    []*sim.Read
	started  time.Duration
	// olderDiskServer was restarted on an older disk. witnessLeader is the leader that can detect this.
	olderDiskServer *sim.Server
	witnessLeader   leadership
}

// leadership identifies a leader in a term.
type leadership struct {
	server *sim.Server
	term   uint64
}

// checkOlderDiskRefused returns an error if witnessLeader still leads in the same term and has not refused the
// server on the older disk.
func (r *run) checkOlderDiskRefused() error {
	if r.olderDiskServer == nil || r.olderDiskServer.Status().Refused || !r.isMember(r.olderDiskServer) {
		return nil
	}
	if s := r.witnessLeader.server.Status(); s.Role == raft.Leader && s.Term == r.witnessLeader.term {
		return fmt.Errorf("%s restarted with an older disk and was not refused", r.olderDiskServer.Name)
	}
	return nil
}

const (
	warmUpTime       = 2 * time.Second
	operationTimeout = 5 * time.Second
	leaderName       = "a"
	// snapshotEvery is small, so that a few edits trigger a snapshot.
	snapshotEvery = 16
	warmUpEdits   = 10
)

// protocols returns the protocols of the matrix.
func protocols() []protocol {
	edit := func(r *run) { r.edit = r.propose("edit") }
	accepted := func(r *run) bool { return r.edit != nil && r.edit.Accepted && r.allApplied() }
	return []protocol{
		{name: "edit", start: edit, done: accepted},
		{name: "election", start: killLeader, done: newLeader, lostServer: leaderName},
		{name: "transfer", start: transfer, done: newLeader},
		{name: "lease", start: func(*run) {}, done: func(r *run) bool { return r.Now() >= r.started+250*time.Millisecond }},
		{name: "read", start: readEverywhere, done: readsDone},
		{name: "compaction", options: sim.Options{SnapshotEvery: snapshotEvery}, start: manyEdits, done: accepted},
		{name: "snapshot", options: sim.Options{SnapshotEvery: snapshotEvery}, prepare: killUntilLogCompacted, start: restartLagging, done: caughtUp},
		{name: "replacement", options: sim.Options{SnapshotEvery: snapshotEvery}, prepare: killServerToReplace, start: replaceAfterDiskLoss, done: replaced, lostServer: "c", addedServer: "c"},
		{name: "replacement-by-name", start: replaceByName, done: replaced, addedServer: "d"},
		{name: "edit-5", voters: 5, start: edit, done: accepted},
	}
}

// newRun starts the cluster of a protocol, makes server a the leader and has it replicate a few entries.
func newRun(p protocol, o sim.Options) (*run, error) {
	if p.voters == 0 {
		p.voters = 3
	}
	o.Voters = sim.Members(p.voters)
	o.Network = sim.DefaultNetwork
	o.SnapshotEvery = p.options.SnapshotEvery
	r := &run{Cluster: sim.New(o), protocol: p}
	if err := r.elect(leaderName); err != nil {
		return nil, err
	}
	for i := range warmUpEdits {
		if err := r.editAndWait(fmt.Sprint("warm-up ", i)); err != nil {
			return nil, err
		}
	}
	for _, s := range r.Servers() {
		s.Checkpoint()
	}
	if p.prepare != nil {
		p.prepare(r)
	}
	r.started = r.Now()
	return r, r.Err()
}

// elect transfers leadership to the named server and waits until it holds the lease.
func (r *run) elect(name string) error {
	target := r.Server(name)
	ok := r.RunUntil(10*warmUpTime, func() bool {
		if l := r.Leader(); l != nil && l != target && l.HoldsLease() {
			_ = l.TransferLeadership(target.ID)
		}
		return r.Leader() == target && target.HoldsLease()
	})
	if !ok {
		return errors.New("no leader during the warm-up")
	}
	return nil
}

// propose proposes an edit at the leader. It returns nil if there is no leader or it rejects the edit.
func (r *run) propose(data string) *sim.Edit {
	if l := r.Leader(); l != nil {
		if e, err := l.Propose(data); err == nil {
			return e
		}
	}
	return nil
}

// editAndWait proposes an edit and waits until it is accepted.
func (r *run) editAndWait(data string) error {
	e := r.propose(data)
	if !r.RunUntil(operationTimeout, func() bool { return e != nil && e.Accepted }) {
		return fmt.Errorf("edit %q was not accepted without a fault", data)
	}
	return nil
}

// allApplied reports whether all running members have applied every entry that any server has applied.
func (r *run) allApplied() bool {
	for _, s := range r.Servers() {
		if !s.Down() && r.isMember(s) && s.Applied() < r.MaxApplied() {
			return false
		}
	}
	return true
}

func killLeader(r *run) { r.Server(leaderName).Kill(false) }

func newLeader(r *run) bool {
	l := r.Leader()
	return l != nil && l.Name != leaderName && l.HoldsLease()
}

func transfer(r *run) {
	_ = r.Server(leaderName).TransferLeadership(r.Server("b").ID)
}

func readEverywhere(r *run) {
	r.edit = r.propose("before the reads")
	for _, s := range r.Servers() {
		r.reads = append(r.reads, s.Read())
	}
}

func readsDone(r *run) bool {
	for _, q := range r.reads {
		if !q.Done {
			return false
		}
	}
	return true
}

func manyEdits(r *run) {
	for i := range snapshotEvery {
		r.edit = r.propose(fmt.Sprint("edit ", i))
	}
}

// killUntilLogCompacted kills c and adds edits until the log entries that c lacks are compacted.
func killUntilLogCompacted(r *run) {
	r.Server("c").Kill(false)
	for i := range 3 * snapshotEvery {
		_ = r.editAndWait(fmt.Sprint("missed ", i))
	}
}

func restartLagging(r *run) { r.Server("c").Restart() }

func caughtUp(r *run) bool { return r.allApplied() }

func killServerToReplace(r *run) {
	r.Server("c").Kill(false)
	r.Run(r.Now() + 100*time.Millisecond)
}

// replaceAfterDiskLoss restarts c on an empty disk and replaces its old instance by the new one.
func replaceAfterDiskLoss(r *run) {
	r.Server("c").RestartEmpty()
	r.Replace("c", "c")
}

func replaceByName(r *run) {
	r.Add("d", r.Server("c").FailureDomain)
	r.Replace("c", "d")
}

func replaced(r *run) bool { return r.Replaced("c", r.protocol.addedServer) && r.allApplied() }

// isMember reports whether a server belongs to the group at the end of the protocol.
func (r *run) isMember(s *sim.Server) bool {
	l := r.Leader()
	if l == nil {
		return true
	}
	_, member := l.Status().Configuration.Member(s.ID)
	return member
}

// withMutations returns the options with the given mutations, which break protocol rules on purpose.
func withMutations(o sim.Options, m raft.Mutations) sim.Options {
	o.Mutations = m
	return o
}
