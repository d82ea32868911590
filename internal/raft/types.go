// Package raft implements the Raft consensus algorithm for the control replicas, with pre-vote, check-quorum, a leader
// lease, read index, learners and joint consensus.
//
// A Node is a state machine without I/O, clock or goroutines. The code that drives it (the owner) passes in messages
// and the monotonic time, takes a Ready, makes its hard state, entries and snapshot durable, sends its messages,
// applies its committed entries and calls Advance. Reference: Ongaro, "Consensus: Bridging Theory and Practice", 2014.
package raft

import (
	"errors"
	"time"
)

// Member is one replica. ID is its instance number, drawn at random when its data folder is created. A VM that lost
// its disk returns under the same name with a new ID.
type Member struct {
	ID            uint64 `cbor:"1,keyasint"`
	Name          string `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
	Address       string `cbor:"4,keyasint"`
}

// Learner receives the log but has no vote. If Replaces is not zero, it is the ID of a voter: the leader makes the
// learner a voter in its place once the learner has caught up.
type Learner struct {
	Member   Member `cbor:"1,keyasint"`
	Replaces uint64 `cbor:"2,keyasint,omitempty"`
}

// Entry is a log entry. An entry with a Configuration changes the membership; each replica uses the new configuration
// from the moment it appends the entry, before the entry is committed.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Data          []byte         `cbor:"3,keyasint,omitempty"`
	Configuration *Configuration `cbor:"4,keyasint,omitempty"`
}

// HardState is the term, vote and commit index that a restarted node continues with. It must be durable before the
// messages of the same Ready are sent; see Ready for the one exception.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state of the state machine after it applied the entry at Index. Data is empty only in the initial
// snapshot of a group, which carries just the first configuration.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// DurableState is everything that a node made durable and restarts from. Entries are contiguous; they may begin before
// the index of the snapshot and reach at least up to it.
type DurableState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Initialized reports whether the replica has ever voted or stored a snapshot or log entries.
func (s DurableState) Initialized() bool {
	return s.Snapshot.Index > 0 || len(s.Entries) > 0 || s.HardState.Vote != 0
}

// InitialState returns the state that every member of a new group starts from.
func InitialState(voters []Member) DurableState {
	return DurableState{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Configuration: Configuration{Voters: sortedMembers(voters)}},
	}
}

type MessageType uint8

// Message types. MsgRefuse tells a replica that the leader refuses it because it runs on an older copy of its disk.
const (
	MsgAppend MessageType = iota + 1
	MsgAppendResponse
	MsgPreVote
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgSnapshot
	MsgReadIndex
	MsgReadIndexResponse
	MsgTimeoutNow
	MsgRefuse
)

var messageNames = [...]string{
	MsgAppend: "append", MsgAppendResponse: "append response", MsgPreVote: "pre-vote",
	MsgPreVoteResponse: "pre-vote response", MsgVote: "vote", MsgVoteResponse: "vote response",
	MsgSnapshot: "snapshot", MsgReadIndex: "read index", MsgReadIndexResponse: "read index response",
	MsgTimeoutNow: "timeout now", MsgRefuse: "refuse",
}

func (t MessageType) String() string {
	if int(t) < len(messageNames) && messageNames[t] != "" {
		return messageNames[t]
	}
	return "unknown"
}

// Message is sent between replicas. The network may lose, delay, duplicate and reorder messages.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// LogIndex and LogTerm identify the entry before Entries or, in a vote request, the last entry of the candidate.
	LogIndex uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64  `cbor:"6,keyasint,omitempty"`
	Entries  []Entry `cbor:"7,keyasint,omitempty"`
	Commit   uint64  `cbor:"8,keyasint,omitempty"`
	// Index is the acknowledged index of an append response, the last index that may match in a rejection, or the index
	// of a read.
	Index uint64 `cbor:"9,keyasint,omitempty"`
	// LastIndex is the last durable log index of the responder.
	LastIndex uint64 `cbor:"10,keyasint,omitempty"`
	Reject    bool   `cbor:"11,keyasint,omitempty"`
	// Sequence and SentAt identify a message of the leader; responses return them unchanged. SentAt is a time on the
	// leader's clock.
	Sequence uint64        `cbor:"12,keyasint,omitempty"`
	SentAt   time.Duration `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot     `cbor:"14,keyasint,omitempty"`
	Context  []byte        `cbor:"15,keyasint,omitempty"`
	// Force marks a vote request of a leadership transfer: voters answer it although the old leader's lease may still
	// run.
	Force bool `cbor:"16,keyasint,omitempty"`
}

// ReadState is the answer to ReadIndex: the read may be served once the state machine has applied Index.
type ReadState struct {
	Index   uint64
	Context []byte
}

// Event reports that a replica was refused, for the operator's event log.
type Event struct {
	// RefusedID is the ID of the member that acknowledged a lower index than before, as happens on an older copy of
	// its disk.
	RefusedID uint64
	Detail    string
}

// Ready is the work that a Node hands to its owner. HardState, Entries and Snapshot must be made durable, in one sync,
// before Messages are sent and before Committed and ReadStates are used; MsgAppend messages alone may be sent before
// the sync. A received Snapshot is restored before Committed is applied. Entries replace all stored entries from the
// index of the first of them onwards.
type Ready struct {
	HardState  *HardState
	Entries    []Entry
	Snapshot   *Snapshot
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	Events     []Event
}

// NeedsSync reports whether the Ready contains anything that must be made durable.
func (r Ready) NeedsSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// Role is the Raft role of a node in its current term.
type Role uint8

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors returned by proposals, leadership transfers and membership changes.
var (
	ErrNotLeader     = errors.New("raft: this replica is not the leader")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
	ErrChangePending = errors.New("raft: another membership change is in progress")
	ErrInvalidChange = errors.New("raft: invalid membership change")
)
