package sim

import (
	"fmt"
	"time"

	"filbertledge/internal/raft"
)

// Edit is one command of a client.
type Edit struct {
	Accepted bool
	Index    uint64
	term     uint64
}

// Propose proposes a unique command at the server.
func (s *Server) Propose(data string) (*Edit, error) {
	if !s.Idle() {
		return nil, raft.ErrNotLeader
	}
	s.node.Tick(s.Clock())
	index, term, err := s.node.Propose([]byte(data))
	if err != nil {
		s.pump()
		return nil, err
	}
	e := &Edit{term: term}
	s.proposals[index] = e
	s.pump()
	return e, nil
}

// Read is one linearizable read.
type Read struct {
	Done    bool
	atLeast uint64
}

// Read starts a linearizable read at the server. It repeats its request until it is answered or the server ends.
func (s *Server) Read() *Read {
	s.cluster.check.reads++
	context := fmt.Sprint(s.ID, "/", s.epoch, "/", s.cluster.check.reads)
	r := &Read{atLeast: s.cluster.check.maxApplied}
	s.reads[context] = r
	s.askRead(context)
	return r
}

func (s *Server) askRead(context string) {
	if s.reads[context] == nil {
		return
	}
	if s.Idle() {
		s.node.Tick(s.Clock())
		s.node.ReadIndex([]byte(context))
		s.pump()
	}
	s.cluster.After(raft.DefaultHeartbeatInterval, func() { s.askRead(context) })
}

// Client sends edits, one after another, to whichever server leads, with a new command for each attempt.
type Client struct {
	cluster *Cluster
	prefix  string
	count   int
	current *Edit
	sentAt  time.Duration
	// Accepted is the number of accepted edits; LastAccepted is the time of the newest one.
	Accepted     int
	LastAccepted time.Duration
}

const (
	clientInterval = 40 * time.Millisecond
	// clientTimeout is how long a client waits for an answer before it tries the next leader.
	clientTimeout = 200 * time.Millisecond
)

// NewClient starts a client that runs until the end of the simulation.
func (c *Cluster) NewClient(prefix string) *Client { return c.NewClientAfter(prefix, 0) }

// NewClientAfter starts a client after d.
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
