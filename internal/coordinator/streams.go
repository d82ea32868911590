package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/rollout"
)

// BeginStreamRequest records which version of the servers' software began the answer to a caller's stream.
type BeginStreamRequest struct {
	Attempt  string `cbor:"1,keyasint"` // the caller's attempt ID
	Software string `cbor:"2,keyasint"`
}

// FindStreamRequest asks for the software version that began a stream.
type FindStreamRequest struct {
	Attempt string `cbor:"1,keyasint"`
}

// FindStreamReply holds the version. Known is false if the begin of the stream was not recorded.
type FindStreamReply struct {
	Software string `cbor:"1,keyasint,omitempty"`
	Known    bool   `cbor:"2,keyasint,omitempty"`
}

func (s *session) beginStream(ctx context.Context, q BeginStreamRequest) (Empty, error) {
	_, err := s.node.propose(ctx, rollout.Command{BeginStream: &rollout.StreamBegin{ID: q.Attempt, Software: q.Software, At: time.Now().UnixMilli()}})
	return Empty{}, err
}

func (s *session) findStream(_ context.Context, q FindStreamRequest) (FindStreamReply, error) {
	software, known := s.node.state.StreamSoftware(q.Attempt)
	return FindStreamReply{Software: software, Known: known}, s.checkLeadership()
}
