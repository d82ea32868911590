package faults

import (
	"errors"
	"fmt"
	"time"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// protocol is one protocol of the agreement core, run on a cluster in which a leads. start begins its operation;
// done reports that the operation is complete.
type protocol struct {
	name     string
	options  sim.Options
	voters   int
	prepare  func(r *run)
	start    func(r *run)
	done     func(r *run) bool
	loses    string // a server that the protocol itself takes away
	newcomer string // a server that the protocol brings in
}

// run is one execution of a protocol.
type run struct {
	*sim.Cluster
	protocol protocol
	edit     *sim.Edit
	reads    []*sim.Read
	started  time.Duration
	// older runs on an older disk, and witness is the leader that can know it.
	older   *sim.Server
	witness leadership
}

type leadership struct {
	server *sim.Server
	term   uint64
}

// checkOlder returns an error if the witness still leads and has not refused the older disk.
func (r *run) checkOlder() error {
	if r.older == nil || r.older.Status().Refused || !r.isMember(r.older) {
		return nil
	}
	if s := r.witness.server.Status(); s.Role == raft.Leader && s.Term == r.witness.term {
		return fmt.Errorf("%s came back with an older disk and was not refused", r.older.Name)
	}
	return nil
}

const (
	warmUp     = 2 * time.Second
	opTimeout  = 5 * time.Second
	leaderName = "a"
	// snapshotEvery is small, so that a few edits take a snapshot.
	snapshotEvery = 16
	warmUpEdits   = 10
)

// protocols returns the protocols of the matrix.
func protocols() []protocol {
	edit := func(r *run) { r.edit = r.propose("edit") }
	accepted := func(r *run) bool { return r.edit != nil && r.edit.Accepted && r.allApplied() }
	return []protocol{
		{name: "edit", start: edit, done: accepted},
		{name: "election", start: killLeader, done: newLeader, loses: leaderName},
		{name: "transfer", start: transfer, done: newLeader},
		{name: "lease", start: func(*run) {}, done: func(r *run) bool { return r.Now() >= r.started+250*time.Millisecond }},
		{name: "read", start: readEverywhere, done: readsDone},
		{name: "compaction", options: sim.Options{SnapshotEvery: snapshotEvery}, start: manyEdits, done: accepted},
		{name: "snapshot", options: sim.Options{SnapshotEvery: snapshotEvery}, prepare: leaveBehind, start: restartBehind, done: caughtUp},
		{name: "replacement", options: sim.Options{SnapshotEvery: snapshotEvery}, prepare: loseDisk, start: replaceLost, done: replaced, loses: "c", newcomer: "c"},
		{name: "replacement-by-name", start: replaceByName, done: replaced, newcomer: "d"},
		{name: "edit-5", voters: 5, start: edit, done: accepted},
	}
}

// newRun starts the protocol's cluster and makes a the leader with a few entries.
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
		if err := r.mustEdit(fmt.Sprint("warm-up ", i)); err != nil {
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

// elect makes the named server the leader with a lease.
func (r *run) elect(name string) error {
	target := r.Server(name)
	ok := r.RunUntil(10*warmUp, func() bool {
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

func (r *run) propose(data string) *sim.Edit {
	if l := r.Leader(); l != nil {
		if e, err := l.Propose(data); err == nil {
			return e
		}
	}
	return nil
}

func (r *run) mustEdit(data string) error {
	e := r.propose(data)
	if !r.RunUntil(opTimeout, func() bool { return e != nil && e.Accepted }) {
		return fmt.Errorf("edit %q was not accepted without a fault", data)
	}
	return nil
}

// allApplied reports whether all running members have applied everything.
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

// leaveBehind stops c and edits until the log that c needs is compacted.
func leaveBehind(r *run) {
	r.Server("c").Kill(false)
	for i := range 3 * snapshotEvery {
		_ = r.mustEdit(fmt.Sprint("missed ", i))
	}
}

func restartBehind(r *run) { r.Server("c").Restart() }

func caughtUp(r *run) bool { return r.allApplied() }

func loseDisk(r *run) {
	r.Server("c").Kill(false)
	r.Run(r.Now() + 100*time.Millisecond)
}

func replaceLost(r *run) {
	r.Server("c").RestartEmpty()
	r.Replace("c", "c")
}

func replaceByName(r *run) {
	r.Add("d", r.Server("c").FailureDomain)
	r.Replace("c", "d")
}

func replaced(r *run) bool { return r.Replaced("c", r.protocol.newcomer) && r.allApplied() }

// isMember reports whether a server belongs to the group at the end of the protocol.
func (r *run) isMember(s *sim.Server) bool {
	l := r.Leader()
	if l == nil {
		return true
	}
	_, member := l.Status().Configuration.Member(s.ID)
	return member
}

// withMutations returns options with the given mutations, for tests of the matrix itself.
func withMutations(o sim.Options, m raft.Mutations) sim.Options {
	o.Mutations = m
	return o
}
