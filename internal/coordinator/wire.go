package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/balance"
	"filbertledge/internal/fleet"
	"filbertledge/internal/link"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/suspects"
)

// Names of the remote calls between VMs, which use package link.
const (
	methodFollow      = "follow"
	MethodSubmitBatch = "batch.submit"
	MethodReadBatch   = "batch.read"
	MethodItemBody    = "batch.body"
	MethodEndBatch    = "batch.end"
	methodRaft        = "raft"
	methodBootstrap   = "raft.bootstrap"
	methodJoin        = "raft.join"
	methodAnnounce    = "server.announce"
	methodDepart      = "server.depart"
	methodServerStart = "server.start"
	methodConfigure   = "config.set"
	methodConfig      = "config.get"
	methodPublish     = "weights.publish"
	MethodPermission  = "limit.permission"
	MethodLimits      = "limit.report"
	MethodSuspects    = "suspects.report"
	MethodBeginStream = "stream.begin"
	MethodFindStream  = "stream.find"
	MethodLeaving     = "server.leaving"
	methodUsage       = "usage.report"
	methodRetire      = "vm.retire"
	methodRetired     = "vm.retired"
	methodLeader      = "leader"
	methodTexts       = "texts.read"
	methodPeek        = "state.peek"
)

// FollowRequest asks the leader for changes of the configuration and the servers. The leader answers at the next
// change, or after FollowPollTimeout.
type FollowRequest struct {
	VM                   string `cbor:"1,keyasint"`
	Term                 uint64 `cbor:"2,keyasint,omitempty"`
	ConfigurationVersion uint64 `cbor:"3,keyasint,omitempty"` // newest version that the VM holds
	ServersRevision      uint64 `cbor:"4,keyasint,omitempty"` // revision of the servers that the VM holds, in that term
	// AcceptsPacked is true if the VM reads FollowReply.Packed.
	AcceptsPacked bool `cbor:"5,keyasint,omitempty"`
	// Forwards is true if the VM sends requests to servers, so that it has a share of their limits. SinceContact and
	// Members are as in PermissionRequest and in the last reply.
	Forwards     bool          `cbor:"6,keyasint,omitempty"`
	SinceContact time.Duration `cbor:"7,keyasint,omitempty"`
	Members      int           `cbor:"8,keyasint,omitempty"`
	// LimitsRevision is the revision of the limits that the VM holds, in that term.
	LimitsRevision uint64 `cbor:"9,keyasint,omitempty"`
	// SuspectsRevision is the revision of the suspects that the VM holds, in that term.
	SuspectsRevision uint64 `cbor:"10,keyasint,omitempty"`
	// FailureDomain is the one of the VM. PeerAddress is where it takes requests of VMs that are cut off from the servers,
	// if TakesRequests is true. PeersDigest is as in the last reply.
	FailureDomain string `cbor:"11,keyasint,omitempty"`
	PeerAddress   string `cbor:"12,keyasint,omitempty"`
	TakesRequests bool   `cbor:"13,keyasint,omitempty"`
	PeersDigest   uint64 `cbor:"14,keyasint,omitempty"`
	// TimeOfDay is that of the VM when the request presumably arrives, in nanoseconds since the start of 1970. Follow sets it
	// from the time of day and Delay, which the caller estimates.
	TimeOfDay int64         `cbor:"15,keyasint,omitempty"`
	Delay     time.Duration `cbor:"-"`
	// UsageInstance and UsageWatermark are as in UsageRequest.
	UsageInstance  uint64 `cbor:"16,keyasint,omitempty"`
	UsageWatermark int64  `cbor:"17,keyasint,omitempty"`
	// Load is what the VM tells of the load of the servers, nil unless VMs share it. ProcessorShare is the number of
	// processor cores that the VM may use, 0 if it is unknown.
	Load           *balance.Report `cbor:"40,keyasint,omitempty"`
	ProcessorShare float64         `cbor:"41,keyasint,omitempty"`
}

// FollowReply confirms that its sender was the leader when it sent the reply.
type FollowReply struct {
	Term            uint64                `cbor:"1,keyasint"`
	Configuration   *routes.Configuration `cbor:"2,keyasint,omitempty"` // nil if the VM holds the newest, or Packed is set
	ServersSent     bool                  `cbor:"4,keyasint,omitempty"` // Servers is the current list, even if it is empty
	Servers         []fleet.Server        `cbor:"5,keyasint,omitempty"`
	ServersRevision uint64                `cbor:"6,keyasint,omitempty"`
	Replicas        []string              `cbor:"7,keyasint,omitempty"` // link addresses
	// Held is how long the leader held the request before it read the state that the reply confirms.
	Held time.Duration `cbor:"8,keyasint,omitempty"`
	// Packed is the configuration as PackConfiguration encodes it.
	Packed []byte `cbor:"9,keyasint,omitempty"`
	// PackedServers is the list of servers, instead of Servers, as packServers encodes it.
	PackedServers []byte `cbor:"10,keyasint,omitempty"`
	// Limits are the limits that servers state, if LimitsSent is true.
	LimitsSent     bool              `cbor:"11,keyasint,omitempty"`
	Limits         []ratelimit.Limit `cbor:"12,keyasint,omitempty"`
	LimitsRevision uint64            `cbor:"13,keyasint,omitempty"`
	// Members is the number of VMs that share the limits while they have no contact with the leader.
	Members int `cbor:"14,keyasint,omitempty"`
	// Suspects are reports that changed since FollowRequest.SuspectsRevision.
	Suspects         []suspects.Report `cbor:"15,keyasint,omitempty"`
	SuspectsRevision uint64            `cbor:"16,keyasint,omitempty"`
	// Peers are the VMs that take requests of this one, if PeersSent is true.
	PeersSent   bool   `cbor:"17,keyasint,omitempty"`
	Peers       []Peer `cbor:"18,keyasint,omitempty"`
	PeersDigest uint64 `cbor:"19,keyasint,omitempty"`
	// UsageWindow is the length of the windows in which the requests of workspaces are counted; 0 if they are not.
	UsageWindow time.Duration `cbor:"20,keyasint,omitempty"`
	// AgreedTime is the agreed time when the reply was sent, in nanoseconds since the start of 1970; 0 if it is unknown.
	AgreedTime int64 `cbor:"21,keyasint,omitempty"`
	// Load is the load of the servers from all VMs, nil unless VMs share it.
	Load *balance.Sums `cbor:"40,keyasint,omitempty"`
}

// unpack decodes Packed and PackedServers into Configuration and Servers.
func (r *FollowReply) unpack() (err error) {
	if len(r.Packed) > 0 {
		if r.Configuration, err = UnpackConfiguration(r.Packed); err != nil {
			return err
		}
	}
	if len(r.PackedServers) > 0 {
		r.Servers, err = unpackServers(r.PackedServers)
	}
	return err
}

// Follow sends a follow request to the VM at address.
func Follow(ctx context.Context, c *link.Client, address string, q FollowRequest) (FollowReply, error) {
	q.AcceptsPacked = true
	q.TimeOfDay = time.Now().Add(q.Delay).UnixNano()
	r, err := link.Call[FollowRequest, FollowReply](ctx, c, address, methodFollow, q)
	if err == nil {
		err = r.unpack()
	}
	return r, err
}

// FollowPollTimeout is how long the leader delays the reply to a follow request if nothing changes. It is at most half
// the time within which a VM must notice the loss of its leader.
const FollowPollTimeout = time.Second

// ReadBatchRequest asks for results of a batch.
type ReadBatchRequest struct {
	Workspace string        `cbor:"5,keyasint,omitempty"` // that must own the batch; checked by the leader
	Batch     string        `cbor:"1,keyasint"`
	After     int           `cbor:"2,keyasint,omitempty"` // number of results to skip
	MaxWait   time.Duration `cbor:"3,keyasint,omitempty"` // maximum wait for a result if there is none yet
	MaxBytes  int           `cbor:"4,keyasint,omitempty"` // limit of the reply's size
}

// ReadBatchReply holds a page of results. Found is false if the batch does not exist.
type ReadBatchReply struct {
	Found bool         `cbor:"1,keyasint,omitempty"`
	Page  rollout.Page `cbor:"2,keyasint,omitempty"`
}

// ItemBodyRequest asks for the request body of an item.
type ItemBodyRequest struct {
	Workspace string `cbor:"3,keyasint,omitempty"` // as in ReadBatchRequest
	Batch     string `cbor:"1,keyasint"`
	Item      string `cbor:"2,keyasint"`
	// Offset and MaxBytes select a part of the body. With MaxBytes 0, as earlier builds send it, the reply holds all of it.
	Offset   int `cbor:"4,keyasint,omitempty"`
	MaxBytes int `cbor:"5,keyasint,omitempty"`
}

// ItemBodyReply holds the body, or the part that was asked for, if Found is true.
type ItemBodyReply struct {
	Found bool   `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
	// Length is the size of the whole body in bytes. Earlier builds, which always send all of it, leave it out.
	Length int `cbor:"3,keyasint,omitempty"`
}

// EndBatchRequest ends a batch.
type EndBatchRequest struct {
	Batch     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"` // as in ReadBatchRequest
}

// AnnounceReply names the leader. The VM that passed the announcement on may tell the server to announce itself there
// directly.
type AnnounceReply struct {
	Leader string `cbor:"1,keyasint,omitempty"` // link address
}

// ConfigReply holds the newest configuration, with the document as it was submitted.
type ConfigReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// RetireRequest names a VM to retire or, with methodRetired, a VM whose retirement is queried.
type RetireRequest struct {
	VM string `cbor:"1,keyasint"`
	// Term and LeaderTime are those of the LeaderReply that the VM got shortly before, so that the leader can tell whether the
	// request was held up on its way. Older builds do not send them.
	Term       uint64        `cbor:"2,keyasint,omitempty"`
	LeaderTime time.Duration `cbor:"3,keyasint,omitempty"`
}

// RetireReply tells whether a retired VM has left the replication group.
type RetireReply struct {
	Done bool `cbor:"1,keyasint,omitempty"`
}

// LeaderReply names the leader that a VM knows.
type LeaderReply struct {
	Leader   string   `cbor:"1,keyasint,omitempty"`
	Replicas []string `cbor:"2,keyasint,omitempty"`
	IsLeader bool     `cbor:"3,keyasint,omitempty"` // the queried VM holds the lease
	// WasLeader is true if the queried process holds or has held the lease. SinceLeader is the time since it last held
	// the lease.
	WasLeader   bool          `cbor:"4,keyasint,omitempty"`
	SinceLeader time.Duration `cbor:"5,keyasint,omitempty"`
	// StateVersion is the highest version of the replicated state that the queried process understands. Builds that do not
	// send it understand version 0.
	StateVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Term and Time are the term of the leader and its reading of the time since boot, if IsLeader is set. Older builds do not send
	// them.
	Term uint64        `cbor:"7,keyasint,omitempty"`
	Time time.Duration `cbor:"8,keyasint,omitempty"`
}

// PeekRequest asks for what a VM knows.
type PeekRequest struct {
	AcceptsPacked bool `cbor:"1,keyasint,omitempty"` // the caller reads PeekReply.Packed
}

// PeekReply holds what a VM knows, which may be out of date.
type PeekReply struct {
	Configuration *routes.Configuration `cbor:"1,keyasint,omitempty"` // nil if Packed is set
	Servers       []fleet.Server        `cbor:"2,keyasint,omitempty"`
	Packed        []byte                `cbor:"3,keyasint,omitempty"` // as in FollowReply
}

// TextsRequest asks for a chunk of a segment of generated texts.
type TextsRequest struct {
	Segment uint64 `cbor:"1,keyasint"`
	Offset  int64  `cbor:"2,keyasint,omitempty"`
}

// TextsReply holds the chunk, which is empty at the end of the segment.
type TextsReply struct {
	Chunk []byte `cbor:"1,keyasint,omitempty"`
}

// Empty is a request or reply without content.
type Empty struct{}
