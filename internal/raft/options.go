package raft

import "time"

// Default timing. A follower grants no vote for ElectionTimeout after it heard from a leader. A leader acts for at most
// LeaderLease, less clockDriftMarginPercent, after it sent a heartbeat that a quorum acknowledged. With clock rates
// within 1% of nominal, the lease has ended after 495 ms of real time and no vote is granted before 594 ms, so an old
// leader stops acting before a new one can be elected.
const (
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultLeaderLease       = 500 * time.Millisecond
	clockDriftMarginPercent  = 2
)

const (
	// defaultMaxBatchBytes keeps one append message far below the transport's limit of 8 MiB.
	defaultMaxBatchBytes = 512 << 10
	// defaultMaxInflight is the maximum number of unacknowledged append messages to one follower.
	defaultMaxInflight = 64
	// defaultMaxInflightBytes is the size of unacknowledged entries from which no more are sent to a follower. Until they are
	// acknowledged, the messages wait in the memory of the leader.
	defaultMaxInflightBytes = 4 << 20
	// learnerBatchEntries is the number of entries that a learner may lag behind until the next heartbeat.
	learnerBatchEntries = 64
	// maxCatchUpLag is the maximum number of entries that a learner may lag behind when it becomes a voter.
	maxCatchUpLag = 1000
	// maxCatchUpAckHeartbeats is the maximum age, in heartbeat intervals, of the newest message that a caught-up
	// learner has acknowledged.
	maxCatchUpAckHeartbeats = 2
	// snapshotResendTimeout is the time without an answer after which the leader sends a snapshot again.
	snapshotResendTimeout = 2 * time.Second
)

// Options configures a Node. Zero durations and limits select the defaults.
type Options struct {
	ID                uint64
	Seed              uint64        // seeds the randomized election timeouts
	Now               time.Duration // the current time on the clock that Step and Tick use
	ElectionTimeout   time.Duration // randomized up to twice this value
	HeartbeatInterval time.Duration
	LeaderLease       time.Duration // before the margin for clock drift is subtracted
	MaxBatchBytes     int
	MaxInflight       int
	MaxInflightBytes  int

	// Mutations deliberately breaks the protocol. Only tests and the fault matrix set it.
	Mutations Mutations
}

// Mutations are deliberate protocol faults, one for each rule whose violation the fault matrix (package faults) must
// detect.
type Mutations struct {
	VoteWithoutSync   bool // the vote is left out of the hard state
	AckWithoutSync    bool // followers acknowledge entries but leave them out of Ready
	IgnoreLease       bool // voters grant votes while a leader may still hold its lease
	LeaseWithoutAcks  bool // the leader holds its lease without hearing from a quorum
	CountLearners     bool // learners count toward the quorum
	SingleStepChange  bool // voters change without a joint configuration
	ReadWithoutQuorum bool // reads are answered without a heartbeat round
	ReadBeforeCommit  bool // reads are answered before an entry of the term is committed
	CommitOldTerm     bool // entries of older terms are committed by counting replicas
	AcceptRegression  bool // a follower may acknowledge a lower index than before
	IgnoreLogOnVote   bool // votes are granted to candidates whose log is behind
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
	if o.MaxInflightBytes == 0 {
		o.MaxInflightBytes = defaultMaxInflightBytes
	}
	return o
}

// lease returns the leader lease less the margin for clock drift.
func (o Options) lease() time.Duration {
	return o.LeaderLease * (100 - clockDriftMarginPercent) / 100
}
