package raft

import (
	"fmt"
	"slices"
)

// changeable returns the configuration to start a change from. One change runs at a time, and only after an
// entry of the leader's term is committed; otherwise two leaders could change the membership at once.
func (n *Node) changeable() (Configuration, error) {
	if n.role != Leader {
		return Configuration{}, ErrNotLeader
	}
	if n.lead.transferTo != 0 {
		return Configuration{}, ErrTransferring
	}
	c := n.log.configuration()
	if c.Joint() || n.log.configurationIndex() > n.log.commit || !n.committedInTerm() {
		return Configuration{}, ErrChangePending
	}
	return c.Clone(), nil
}

func (n *Node) appendConfiguration(c Configuration) {
	n.appendOwn(Entry{Configuration: &c})
	n.syncProgress()
}

// AddLearner adds l. If l.Replaces names a voter, the leader replaces that voter by l once l has caught up. An
// earlier learner with the same name, or for the same voter, is dropped. Adding the same learner again is no error.
func (n *Node) AddLearner(l Learner) error {
	c, err := n.changeable()
	if err != nil {
		return err
	}
	if l.Member.ID == 0 {
		return fmt.Errorf("%w: the new member has no instance number", ErrInvalidChange)
	}
	if _, member := c.Member(l.Member.ID); member {
		return nil
	}
	if l.Replaces != 0 && !contains(c.Voters, l.Replaces) {
		return fmt.Errorf("%w: instance %x to be replaced is not a voter", ErrInvalidChange, l.Replaces)
	}
	c.Learners = slices.DeleteFunc(c.Learners, func(old Learner) bool {
		return old.Member.Name == l.Member.Name || l.Replaces != 0 && old.Replaces == l.Replaces
	})
	c.Learners = append(c.Learners, l)
	n.appendConfiguration(c)
	return nil
}

// RemoveLearner removes the learner with the given ID.
func (n *Node) RemoveLearner(id uint64) error {
	c, err := n.changeable()
	if err != nil {
		return err
	}
	c.Learners = slices.DeleteFunc(c.Learners, func(l Learner) bool { return l.Member.ID == id })
	n.appendConfiguration(c)
	return nil
}

// ChangeVoters starts a joint change to the given voters. The leader leaves the joint configuration by itself
// once it is committed. Learners that become voters leave the learners.
func (n *Node) ChangeVoters(voters []Member) error {
	c, err := n.changeable()
	if err != nil {
		return err
	}
	if len(voters) == 0 {
		return fmt.Errorf("%w: no voters", ErrInvalidChange)
	}
	n.changeVoters(c, voters)
	return nil
}

func (n *Node) changeVoters(c Configuration, voters []Member) {
	if !n.opts.Mutations.SingleStepChange {
		c.Outgoing = c.Voters
	}
	c.Voters = sortedMembers(voters)
	c.Learners = slices.DeleteFunc(c.Learners, func(l Learner) bool { return contains(voters, l.Member.ID) })
	n.appendConfiguration(c)
}

// continueChange takes the next step of a membership change whose last step is committed.
func (n *Node) continueChange() {
	c := n.log.configuration()
	if n.role != Leader || n.log.configurationIndex() > n.log.commit {
		return
	}
	if c.Joint() {
		next := c.Clone()
		next.Outgoing = nil
		n.appendConfiguration(next)
		return
	}
	if !c.IsVoter(n.id) {
		n.leave(c)
		return
	}
	n.replaceVoter()
}

// leave ends the leadership of a leader that is no longer a voter, once the new voters have committed that. The
// most current voter is asked to take over, because an election timeout would leave edits without a leader.
func (n *Node) leave(c Configuration) {
	n.heartbeat()
	successor := Member{}
	for _, m := range c.Voters {
		if n.MatchIndex(m.ID) > n.MatchIndex(successor.ID) {
			successor = m
		}
	}
	if successor.ID != 0 {
		n.send(Message{Type: MsgTimeoutNow, To: successor.ID})
	}
	n.becomeFollower(n.term, 0)
}

// replaceVoter starts the replacement of a voter by a learner that has caught up.
func (n *Node) replaceVoter() {
	c, err := n.changeable()
	if err != nil {
		return
	}
	for _, l := range c.Learners {
		if l.Replaces == 0 || !contains(c.Voters, l.Replaces) || !n.CaughtUp(l.Member.ID) {
			continue
		}
		voters := slices.DeleteFunc(slices.Clone(c.Voters), func(m Member) bool { return m.ID == l.Replaces })
		n.changeVoters(c, append(voters, l.Member))
		return
	}
}

// CaughtUp reports whether the leader knows that learner id has all but the newest entries and answered within a heartbeat round.
func (n *Node) CaughtUp(id uint64) bool {
	p := n.lead.progress[id]
	if p == nil || p.refused || p.state != replicating {
		return false
	}
	return p.match+catchUpEntries >= n.log.lastIndex() && p.ackTime >= n.now-2*n.opts.HeartbeatInterval
}
