package sim

import (
	"fmt"
	"time"

	"filbertledge/internal/raft"
)

// Edit is one command that a client proposed. Accepted is set when the proposing server has applied it.
type Edit struct {
	Accepted bool
	Index    uint64
	term     uint64
}

// Propose proposes a command at the server. Every command must be unique, so that the checker can tell edits apart.
func (s *Server) Propose(data string) (*Edit, error) {
	if !s.Idle() {
		return nil, raft.ErrNotLeader
	}
	s.node.Tick(s.Clock())
	index, term, err := s.node.Propose([]byte(data))
	if err != nil {
		s.runPending()
		return nil, err
	}
	e := &Edit{term: term}
	s.proposals[index] = e
	s.runPending()
	return e, nil
}

// Read is one linearizable read. It must observe at least the index atLeast.
type Read struct {
	Done    bool
	atLeast uint64 // highest index that any server had applied when the read started
}

// Read starts a linearizable read at the server. The request is repeated until it is answered or the process is
// killed.
func (s *Server) Read() *Read {
	s.cluster.checker.reads++
	context := fmt.Sprint(s.ID, "/", s.epoch, "/", s.cluster.checker.reads)
	r := &Read{atLeast: s.cluster.checker.maxApplied}
	s.reads[context] = r
	s.requestRead(context)
	return r
}

func (s *Server) requestRead(context string) {
	if s.reads[context] == nil {
		return
	}
	if s.Idle() {
		s.node.Tick(s.Clock())
		s.node.ReadIndex([]byte(context))
		s.runPending()
	}
	s.cluster.After(raft.DefaultHeartbeatInterval, func() { s.requestRead(context) })
}

// Client sends edits one after another to a server that considers itself the leader. Each attempt is a new command.
type Client struct {
	cluster *Cluster
	prefix  string
	count   int
	current *Edit
	sentAt  time.Duration
	// Accepted is the number of accepted edits; LastAccepted is the virtual time at which the client
	// noticed the most recent one.
	Accepted     int
	LastAccepted time.Duration
}

const (
	clientInterval = 40 * time.Millisecond
	// clientTimeout is how long a client waits for the acceptance of an edit before it sends a new one.
	clientTimeout = 200 * time.Millisecond
)

// NewClient starts a client that runs until the end of the simulation.
func (c *Cluster) NewClient(prefix string) *Client { return c.NewClientAfter(prefix, 0) }

// NewClientAfter starts a client after the virtual duration d.
func (c *Cluster) NewClientAfter(prefix string, d time.Duration) *Client {
	k := &Client{cluster: c, prefix: prefix}
	c.After(d, k.poll)
	return k
}

func (k *Client) poll() {
	c := k.cluster
	if k.current != nil && k.current.Accepted {
		k.Accepted++
		k.LastAccepted = c.now
		k.current = nil
	}
	if k.current == nil || c.now >= k.sentAt+clientTimeout {
		k.current = nil
		k.send()
	}
	c.After(clientInterval, k.poll)
}

func (k *Client) send() {
	for _, s := range k.cluster.Servers() {
		if !s.Running() || s.node.Status().Role != raft.Leader {
			continue
		}
		k.count++
		edit, err := s.Propose(fmt.Sprint(k.prefix, k.count))
		if err == nil {
			k.current, k.sentAt = edit, k.cluster.now
			return
		}
	}
}
