package link

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"filbertledge/internal/errs"
)

const (
	// connectionReplyShare is the number of connections that can take all the room for replies: one whose peer does not read
	// leaves room to the others.
	connectionReplyShare = 4
	// maxReplyWait is how long a call waits for room for its reply.
	maxReplyWait = time.Second
)

// LimitReplies bounds the replies that wait to be sent, in bytes: those for which ReserveReply is called, on all connections
// together. Without it, they have no bound. It must be called before Serve.
func (s *Server) LimitReplies(bytes int64) {
	s.replyLimit = bytes
	s.replies, s.oversize = semaphore.NewWeighted(bytes), semaphore.NewWeighted(1)
}

type replyRoomKey struct{}

// replyRoom is what the reply to one call holds of the room for replies.
type replyRoom struct {
	server *Server
	conn   *conn
	held   []heldRoom
}

type heldRoom struct {
	room *semaphore.Weighted
	n    int64
}

// ReserveReply waits until the reply to the call whose handler got ctx may take n bytes. They are given back when the reply has
// been written or its connection has ended. Of the replies that are larger than the share of a connection there is one at a
// time, which takes that share. Handlers call it once, immediately before they read what the reply contains. The error is of the
// kind errs.Unavailable.
func ReserveReply(ctx context.Context, n int) error {
	r, ok := ctx.Value(replyRoomKey{}).(*replyRoom)
	if !ok || r.server.replies == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxReplyWait)
	defer cancel()
	bytes, oversize := int64(n), int64(0)
	if bytes > r.conn.replyLimit {
		bytes, oversize = r.conn.replyLimit, 1
	}
	for _, part := range []heldRoom{{r.server.oversize, oversize}, {r.conn.replies, bytes}, {r.server.replies, bytes}} {
		if err := part.room.Acquire(ctx, part.n); err != nil {
			r.release()
			return errs.Wrap(err, errs.Unavailable, "call again", "other replies wait to be sent")
		}
		r.held = append(r.held, part)
	}
	return nil
}

func (r *replyRoom) release() {
	for _, part := range r.held {
		part.room.Release(part.n)
	}
	r.held = nil
}

// limitConn gives an accepted connection its share of the room for replies.
func (s *Server) limitConn(c *conn) *conn {
	if s.replies != nil {
		c.replyLimit = max(1, s.replyLimit/connectionReplyShare)
		c.replies = semaphore.NewWeighted(c.replyLimit)
	}
	return c
}
