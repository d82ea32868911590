package coordinator

import (
	"context"
	"slices"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
)

// BeginStreamRequest records which version of the servers' software began the answer to a caller's stream.
type BeginStreamRequest struct {
	Attempt  string `cbor:"1,keyasint"` // the caller's attempt ID
	Software string `cbor:"2,keyasint"`
	// Server and Incarnation are the server that began it, as the entry VM knows it. Older builds do not send them.
	Server      string `cbor:"3,keyasint,omitempty"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"`
}

// FindStreamRequest asks for the software version that began a stream.
type FindStreamRequest struct {
	Attempt string `cbor:"1,keyasint"`
}

// FindStreamReply holds the version. Known is false if the begin of the stream was not recorded.
type FindStreamReply struct {
	Software string `cbor:"1,keyasint,omitempty"`
	Known    bool   `cbor:"2,keyasint,omitempty"`
	// Servers are the servers of that version. Older builds send none and do not set ServersKnown.
	Servers      []fleet.Server `cbor:"3,keyasint,omitempty"`
	ServersKnown bool           `cbor:"4,keyasint,omitempty"`
}

// beginStream records the begin of a stream. The entry VM may know an earlier start of the server than the one that began
// the stream: then the version is uncertain, and the stream must not be taken up.
func (s *session) beginStream(ctx context.Context, q BeginStreamRequest) (Empty, error) {
	current, known := s.node.registry.Get(q.Server)
	if known && current.Incarnation > q.Incarnation && current.Software != q.Software {
		return Empty{}, errs.New(errs.Conflict, "begin the stream again to take it up", "server %s has restarted with software %q since the VM learned of %q", q.Server, current.Software, q.Software)
	}
	_, err := s.node.propose(ctx, rollout.Command{BeginStream: &rollout.StreamBegin{ID: q.Attempt, Software: q.Software, At: time.Now().UnixMilli()}})
	return Empty{}, err
}

func (s *session) findStream(_ context.Context, q FindStreamRequest) (FindStreamReply, error) {
	software, known := s.node.state.StreamSoftware(q.Attempt)
	reply := FindStreamReply{Software: software, Known: known, ServersKnown: known}
	if known {
		reply.Servers = slices.DeleteFunc(s.node.registry.List("", boottime.Now()), func(v fleet.Server) bool { return v.Software != software })
	}
	return reply, s.checkLeadership()
}
