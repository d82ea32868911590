package raft

import "time"

// Default timing. A follower refuses votes for ElectionTimeout after hearing from a leader, and the leader acts
// for at most LeaderLease less MaxClockDrift after sending a heartbeat, so with clock rates within 1% of each
// other (495 ms against 594 ms of real time) an old leader has stopped before a new one can be elected.
const (
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultLeaderLease       = 500 * time.Millisecond
	leaseDriftPercent        = 2
)

const (
	// defaultMaxBatchBytes keeps one append message far below the transport's limit of 8 MiB.
	defaultMaxBatchBytes = 512 << 10
	// defaultMaxInflight bounds the unacknowledged append messages to one follower.
	defaultMaxInflight = 64
	// catchUpEntries is how far a learner may be behind when it becomes a voter.
	catchUpEntries = 1000
	// snapshotResend is how long the leader waits for the answer to a snapshot before it sends it again.
	snapshotResend = 2 * time.Second
)

// Options configure a Node. Zero values mean the defaults.
type Options struct {
	ID                uint64
	Seed              uint64 // source of the randomized election timeouts
	Now               time.Duration
	ElectionTimeout   time.Duration // randomized up to twice this value
	HeartbeatInterval time.Duration
	LeaderLease       time.Duration // before the deduction for clock drift
	MaxBatchBytes     int
	MaxInflight       int

	// Mutations break the protocol on purpose. Only tests and the fault matrix set them.
	Mutations Mutations
}

// Mutations are deliberate faults of the protocol, one per rule that the fault matrix must be able to check.
type Mutations struct {
	VoteWithoutSync   bool // the vote is left out of the hard state
	AckWithoutSync    bool // followers' entries are acknowledged but left out of Ready
	IgnoreLease       bool // voters grant votes while a leader may hold its lease
	LeaseWithoutAcks  bool // the leader holds its lease without hearing from a quorum
	CountLearners     bool // learners count toward the quorum
	SingleStepChange  bool // voters change without the joint configuration
	ReadWithoutQuorum bool // read index is answered without a heartbeat round
	ReadBeforeCommit  bool // read index is answered before an entry of the term is committed
	CommitOldTerm     bool // entries of older terms are committed by counting replicas
	AcceptRegression  bool // a follower may acknowledge less than before
	IgnoreLogOnVote   bool // votes are granted to candidates with an older log
}

func (o Options) withDefaults() Options {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.LeaderLease == 0 {
		o.LeaderLease = DefaultLeaderLease
	}
	if o.MaxBatchBytes == 0 {
		o.MaxBatchBytes = defaultMaxBatchBytes
	}
	if o.MaxInflight == 0 {
		o.MaxInflight = defaultMaxInflight
	}
	return o
}

// lease returns the leader lease after the deduction for clock drift.
func (o Options) lease() time.Duration {
	return o.LeaderLease * (100 - leaseDriftPercent) / 100
}
