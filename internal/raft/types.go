// Package raft is the agreement core of the control replicas: Raft with pre-vote, check-quorum, a leader lease,
// read index, learners and joint consensus.
//
// A Node is a state machine without I/O, clock or goroutines. Its owner passes in messages and the monotonic
// time, takes a Ready, makes the Ready's hard state, entries and snapshot durable, sends its messages, applies
// its committed entries and calls Advance. Sources: Ongaro, "Consensus: Bridging Theory and Practice", 2014.
package raft

import (
	"errors"
	"time"
)

// Member is one replica. ID is the instance number that was created at random with its data folder; a VM that
// lost its disk comes back under the same name with another ID.
type Member struct {
	ID            uint64 `cbor:"1,keyasint"`
	Name          string `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
	Address       string `cbor:"4,keyasint"`
}

// Learner receives the log without a vote. If Replaces is not zero, the leader makes the learner a voter in
// place of that instance once it has caught up.
type Learner struct {
	Member   Member `cbor:"1,keyasint"`
	Replaces uint64 `cbor:"2,keyasint,omitempty"`
}

// Entry is one entry of the log. An entry with a Configuration changes the membership and takes effect at each
// replica when it is appended, not when it is committed.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Data          []byte         `cbor:"3,keyasint,omitempty"`
	Configuration *Configuration `cbor:"4,keyasint,omitempty"`
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index. Data is empty only in the initial snapshot
// that carries the first configuration.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// DurableState is what a Node starts from: everything that was made durable. Entries may begin before the snapshot's
// index; they are contiguous and reach at least to it.
type DurableState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Initialized reports whether the replica has ever voted in a group or stored its log.
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

// MessageType is the type of a Message.
type MessageType uint8

// Types of messages.
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

// String returns the name of the type.
func (t MessageType) String() string {
	if int(t) < len(messageNames) && messageNames[t] != "" {
		return messageNames[t]
	}
	return "unknown"
}

// Message is one message between replicas. Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// LogIndex and LogTerm name the entry before Entries, or the last entry of a candidate.
	LogIndex uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64  `cbor:"6,keyasint,omitempty"`
	Entries  []Entry `cbor:"7,keyasint,omitempty"`
	Commit   uint64  `cbor:"8,keyasint,omitempty"`
	// Index is the acknowledged or the hinted index of a response, or the index of a read.
	Index uint64 `cbor:"9,keyasint,omitempty"`
	// LastIndex is the last durable index of the responder.
	LastIndex uint64 `cbor:"10,keyasint,omitempty"`
	Reject    bool   `cbor:"11,keyasint,omitempty"`
	// Sequence and SentAt identify a message of the leader; responses echo them. SentAt is on the leader's clock.
	Sequence uint64        `cbor:"12,keyasint,omitempty"`
	SentAt   time.Duration `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot     `cbor:"14,keyasint,omitempty"`
	Context  []byte        `cbor:"15,keyasint,omitempty"`
	// Force marks a vote request of a leadership transfer, which voters do not delay for the old leader's lease.
	Force bool `cbor:"16,keyasint,omitempty"`
}

// ReadState answers a ReadIndex: the state machine may serve the read once it has applied Index.
type ReadState struct {
	Index   uint64
	Context []byte
}

// Event reports something that an operator should know.
type Event struct {
	// RefusedID is the instance that acknowledged less than before, which shows an older disk.
	RefusedID uint64
	Detail    string
}

// Ready is the work that a Node has for its owner. HardState, Entries and Snapshot must be durable, with one
// sync, before Messages are sent and before Committed and ReadStates are used. A received Snapshot is restored
// before Committed is applied. Entries replace all stored entries from the index of their first on.
type Ready struct {
	HardState  *HardState
	Entries    []Entry
	Snapshot   *Snapshot
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	Events     []Event
}

// NeedsSync reports whether the Ready holds anything that must be made durable.
func (r Ready) NeedsSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// Role is what a node is in its term.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals and membership changes.
var (
	ErrNotLeader     = errors.New("raft: this replica is not the leader")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
	ErrChangePending = errors.New("raft: another membership change is in progress")
	ErrInvalidChange = errors.New("raft: invalid membership change")
)
