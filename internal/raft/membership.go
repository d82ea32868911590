package raft

import (
	"fmt"
	"slices"
)

// configurationToChange returns a copy of the current configuration as the basis of a membership change. Only one
// change may be in progress, and an entry of the leader's term must be committed first; otherwise two leaders could
// change the membership at the same time.
func (n *Node) configurationToChange() (Configuration, error) {
	if n.role != Leader {
		return Configuration{}, ErrNotLeader
	}
	if n.leaderState.transferTarget != 0 {
		return Configuration{}, ErrTransferring
	}
	c := n.log.configuration()
	if c.Joint() || n.log.configurationIndex() > n.log.commit || !n.committedInTerm() {
		return Configuration{}, ErrChangePending
	}
	return c.Clone(), nil
}

func (n *Node) appendConfiguration(c Configuration) {
	n.appendAsLeader(Entry{Configuration: &c})
	n.updateProgress()
}

// AddLearner adds l as a learner. If l.Replaces is the ID of a voter, the leader replaces that voter by l once l has
// caught up. An earlier learner with the same name or for the same voter is removed. Adding a member again does
// nothing.
func (n *Node) AddLearner(l Learner) error {
	c, err := n.configurationToChange()
	if err != nil {
		return err
	}
	if l.Member.ID == 0 {
		return fmt.Errorf("%w: the new member has no instance number", ErrInvalidChange)
	}
	if _, member := c.Member(l.Member.ID); member {
		return nil
	}
	if l.Replaces != 0 && !containsMember(c.Voters, l.Replaces) {
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
	c, err := n.configurationToChange()
	if err != nil {
		return err
	}
	c.Learners = slices.DeleteFunc(c.Learners, func(l Learner) bool { return l.Member.ID == id })
	n.appendConfiguration(c)
	return nil
}

// ChangeVoters starts a joint change to the given voters. Once the joint configuration is committed, the leader appends
// the final one without a further call. Learners that become voters are removed from the learners.
func (n *Node) ChangeVoters(voters []Member) error {
	c, err := n.configurationToChange()
	if err != nil {
		return err
	}
	if len(voters) == 0 {
		return fmt.Errorf("%w: no voters", ErrInvalidChange)
	}
	n.appendVoterChange(c, voters)
	return nil
}

func (n *Node) appendVoterChange(c Configuration, voters []Member) {
	if !n.opts.Mutations.SingleStepChange {
		c.Outgoing = c.Voters
	}
	c.Voters = sortedMembers(voters)
	c.Learners = slices.DeleteFunc(c.Learners, func(l Learner) bool { return containsMember(voters, l.Member.ID) })
	n.appendConfiguration(c)
}

// continueMembershipChange starts the next step of a membership change once the previous step is committed.
func (n *Node) continueMembershipChange() {
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
		n.stepDownAfterRemoval(c)
		return
	}
	n.replaceVoter()
}

// stepDownAfterRemoval ends the leadership of a leader that is no longer a voter, once the new voters have committed
// its removal. It asks the most up-to-date voter to take over, so that proposals do not wait for an election timeout.
func (n *Node) stepDownAfterRemoval(c Configuration) {
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

// replaceVoter starts the replacement of one voter by a learner that has caught up, if there is one.
func (n *Node) replaceVoter() {
	c, err := n.configurationToChange()
	if err != nil {
		return
	}
	for _, l := range c.Learners {
		if l.Replaces == 0 || !containsMember(c.Voters, l.Replaces) || !n.CaughtUp(l.Member.ID) {
			continue
		}
		voters := slices.DeleteFunc(slices.Clone(c.Voters), func(m Member) bool { return m.ID == l.Replaces })
		n.appendVoterChange(c, append(voters, l.Member))
		return
	}
}

// CaughtUp reports whether member id lacks at most maxCatchUpLag entries and has acknowledged a message that was sent
// within the last maxCatchUpAckHeartbeats heartbeat intervals.
func (n *Node) CaughtUp(id uint64) bool {
	p := n.leaderState.progress[id]
	if p == nil || p.refused || p.state != replicating {
		return false
	}
	return p.matchIndex+maxCatchUpLag >= n.log.lastIndex() && p.ackedSendTime >= n.now-maxCatchUpAckHeartbeats*n.opts.HeartbeatInterval
}
