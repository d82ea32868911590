package coordinator

import (
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// Methods of the link between VMs.
const (
	MethodFollow      = "follow"
	MethodSubmitBatch = "batch.submit"
	MethodReadBatch   = "batch.read"
	MethodItemBody    = "batch.body"
	MethodEndBatch    = "batch.end"
	methodRaft        = "raft"
	methodBootstrap   = "raft.bootstrap"
	methodJoin        = "raft.join"
	methodAnnounce    = "server.announce"
	methodDepart      = "server.depart"
	methodConfigure   = "config.set"
	methodConfig      = "config.get"
	methodPublish     = "weights.publish"
	methodRetire      = "vm.retire"
	methodRetired     = "vm.retired"
	methodLeader      = "leader"
	methodTexts       = "texts.read"
	methodPeek        = "state.peek"
)

// FollowRequest asks the leader for what has changed. It is answered at the next change or after FollowWait.
type FollowRequest struct {
	VM                   string `cbor:"1,keyasint"`
	Term                 uint64 `cbor:"2,keyasint,omitempty"`
	ConfigurationVersion uint64 `cbor:"3,keyasint,omitempty"` // version that the VM holds
	ServersRevision      uint64 `cbor:"4,keyasint,omitempty"` // of the servers in that term
}

// FollowReply confirms that its sender led when it was sent.
type FollowReply struct {
	Term            uint64                `cbor:"1,keyasint"`
	Configuration   *routes.Configuration `cbor:"2,keyasint,omitempty"` // nil if the VM holds the newest
	ServersSent     bool                  `cbor:"4,keyasint,omitempty"`
	Servers         []fleet.Server        `cbor:"5,keyasint,omitempty"`
	ServersRevision uint64                `cbor:"6,keyasint,omitempty"`
	Replicas        []string              `cbor:"7,keyasint,omitempty"` // link addresses
}

// FollowPollTimeout is how long the leader holds a follow request without a change. Two of them fit into the time within
// which a VM must notice that its leader is gone.
const FollowPollTimeout = time.Second

// ReadBatchRequest asks for results of a batch.
type ReadBatchRequest struct {
	Batch    string        `cbor:"1,keyasint"`
	After    int           `cbor:"2,keyasint,omitempty"`
	MaxWait  time.Duration `cbor:"3,keyasint,omitempty"` // until a result exists
	MaxBytes int           `cbor:"4,keyasint,omitempty"` // limit of the answer
}

// ReadBatchReply is a page of results, or Found is false.
type ReadBatchReply struct {
	Found bool         `cbor:"1,keyasint,omitempty"`
	Page  rollout.Page `cbor:"2,keyasint,omitempty"`
}

// ItemBodyRequest asks for the body of an item.
type ItemBodyRequest struct {
	Batch string `cbor:"1,keyasint"`
	Item  string `cbor:"2,keyasint"`
}

// ItemBodyReply holds the body if Found.
type ItemBodyReply struct {
	Found bool   `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// EndBatchRequest ends a batch.
type EndBatchRequest struct {
	Batch string `cbor:"1,keyasint"`
}

// AnnounceReply names the leader, to which a server may announce itself directly.
type AnnounceReply struct {
	Leader string `cbor:"1,keyasint,omitempty"` // link address
}

// DepartRequest says that a server leaves.
type DepartRequest struct {
	Server string `cbor:"1,keyasint"`
}

// ConfigReply is the newest configuration as it was sent.
type ConfigReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// RetireRequest names a VM to be emptied, or asks whether it is.
type RetireRequest struct {
	VM string `cbor:"1,keyasint"`
}

// RetireReply tells how far the emptying is.
type RetireReply struct {
	Done bool `cbor:"1,keyasint,omitempty"`
}

// LeaderReply names the leader as a VM knows it.
type LeaderReply struct {
	Leader   string   `cbor:"1,keyasint,omitempty"`
	Replicas []string `cbor:"2,keyasint,omitempty"`
	IsLeader bool     `cbor:"3,keyasint,omitempty"` // the VM that was asked holds the lease
	// WasLeader is true if the process of that VM led before, and SinceLed how long ago it stopped.
	WasLeader   bool          `cbor:"4,keyasint,omitempty"`
	SinceLeader time.Duration `cbor:"5,keyasint,omitempty"`
}

// PeekReply is what a VM holds, which may not be the newest.
type PeekReply struct {
	Configuration *routes.Configuration `cbor:"1,keyasint,omitempty"`
	Servers       []fleet.Server        `cbor:"2,keyasint,omitempty"`
}

// TextsRequest asks for a chunk of a segment of texts.
type TextsRequest struct {
	Segment uint64 `cbor:"1,keyasint"`
	Offset  int64  `cbor:"2,keyasint,omitempty"`
}

// TextsReply is the chunk, empty at the end of the segment.
type TextsReply struct {
	Chunk []byte `cbor:"1,keyasint,omitempty"`
}

// Empty is an empty reply.
type Empty struct{}
