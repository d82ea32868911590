package raft

import "math"

// pendingRead waits for a heartbeat round that starts after it arrived.
type pendingRead struct {
	from     uint64
	context  []byte
	index    uint64
	sequence uint64 // a message with a higher number must be acknowledged by a quorum
	ready    bool   // index and sequence are set
}

// ReadIndex asks for an index that a linearizable read may be served at. The answer comes as a ReadState with
// the same context, or never: the owner tries again after a timeout.
func (n *Node) ReadIndex(context []byte) {
	if n.role != Leader {
		if n.leader != 0 {
			n.send(Message{Type: MsgReadIndex, To: n.leader, Context: context})
		}
		return
	}
	n.addRead(n.id, context)
}

func (n *Node) handleReadIndex(m Message) {
	if n.role == Leader {
		n.addRead(m.From, m.Context)
	}
}

func (n *Node) addRead(from uint64, context []byte) {
	n.lead.reads = append(n.lead.reads, pendingRead{from: from, context: context})
}

// releaseReads starts the round of new reads and answers those whose round a quorum has acknowledged. Before an
// entry of the term is committed the leader may not know the newest commit index, so reads wait.
func (n *Node) releaseReads() {
	if len(n.lead.reads) == 0 || !n.committedInTerm() && !n.opts.Mutations.ReadBeforeCommit {
		return
	}
	for i := range n.lead.reads {
		r := &n.lead.reads[i]
		if !r.ready {
			r.ready, r.index, r.sequence = true, n.log.commit, n.lead.sequence
			n.lead.roundNeeded = true
		}
	}
	acknowledged := n.quorumSequence()
	waiting := n.lead.reads[:0]
	for _, r := range n.lead.reads {
		if r.sequence < acknowledged || n.opts.Mutations.ReadWithoutQuorum {
			n.answerRead(r)
		} else {
			waiting = append(waiting, r)
		}
	}
	n.lead.reads = waiting
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.id {
		n.readStates = append(n.readStates, ReadState{Index: r.index, Context: r.context})
		return
	}
	n.send(Message{Type: MsgReadIndexResponse, To: r.from, Index: r.index, Context: r.context})
}

// quorumSequence returns the sequence number up to which a quorum still followed this leader.
func (n *Node) quorumSequence() uint64 {
	return quorum(n.sets(), func(id uint64) uint64 {
		if id == n.id {
			return math.MaxUint64
		}
		if p := n.lead.progress[id]; p != nil {
			return p.ackSequence
		}
		return 0
	})
}
