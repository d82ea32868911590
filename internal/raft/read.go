package raft

import "math"

// pendingRead is a read that waits until a quorum acknowledges a heartbeat round that started after the read arrived.
type pendingRead struct {
	from         uint64
	context      []byte
	index        uint64
	sequence     uint64 // a quorum must acknowledge a message with a higher sequence number
	roundStarted bool   // index and sequence are set
}

// ReadIndex requests an index at which a linearizable read may be served. The answer is a ReadState with the same
// context. The request or its answer may be lost, so the owner must retry after a timeout.
func (n *Node) ReadIndex(context []byte) {
	if n.role != Leader {
		if n.leaderID != 0 {
			n.send(Message{Type: MsgReadIndex, To: n.leaderID, Context: context})
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
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, pendingRead{from: from, context: context})
}

// answerConfirmedReads starts the heartbeat round of new reads and answers the reads whose round a quorum has
// acknowledged. Until an entry of its term is committed, the leader may not know the newest commit index, so reads
// wait.
func (n *Node) answerConfirmedReads() {
	if len(n.leaderState.pendingReads) == 0 || !n.committedInTerm() && !n.opts.Mutations.ReadBeforeCommit {
		return
	}
	for i := range n.leaderState.pendingReads {
		r := &n.leaderState.pendingReads[i]
		if !r.roundStarted {
			r.roundStarted, r.index, r.sequence = true, n.log.commit, n.leaderState.lastSequence
			n.leaderState.readRoundNeeded = true
		}
	}
	acknowledged := n.quorumAckedSequence()
	waiting := n.leaderState.pendingReads[:0]
	for _, r := range n.leaderState.pendingReads {
		if r.sequence < acknowledged || n.opts.Mutations.ReadWithoutQuorum {
			n.answerRead(r)
		} else {
			waiting = append(waiting, r)
		}
	}
	n.leaderState.pendingReads = waiting
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.id {
		n.readStates = append(n.readStates, ReadState{Index: r.index, Context: r.context})
		return
	}
	n.send(Message{Type: MsgReadIndexResponse, To: r.from, Index: r.index, Context: r.context})
}

// quorumAckedSequence returns the highest sequence number up to which a quorum is known to have followed this leader.
func (n *Node) quorumAckedSequence() uint64 {
	return quorumValue(n.voterSets(), func(id uint64) uint64 {
		if id == n.id {
			return math.MaxUint64
		}
		if p := n.leaderState.progress[id]; p != nil {
			return p.ackedSequence
		}
		return 0
	})
}
