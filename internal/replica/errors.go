package replica

import (
	"errors"
	"fmt"

	"filbertledge/internal/errs"
)

var (
	errStopped            = errors.New("the replica is stopped")
	errNotJoined          = errors.New("the replica has not joined its group yet")
	errOverwritten        = errors.New("a newer leader replaced the entry before it was committed")
	errReplacedBySnapshot = errors.New("a snapshot of a newer leader replaced the log")
	errQuorumTimeout      = errors.New("no quorum answered in time")
)

// LeaderInfo identifies the leader as known to a replica. Its fields are empty while no leader is known.
type LeaderInfo struct {
	ID      uint64
	Name    string
	Address string
}

// notLeaderError is the cause inside a NotLeader error; it names the leader.
type notLeaderError struct{ leader LeaderInfo }

func (e *notLeaderError) Error() string {
	if e.leader.Address == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("the leader is %s at %s", e.leader.Name, e.leader.Address)
}

// LeaderFromError returns the leader that a NotLeader error names. It reports false for other errors and if the error
// names no leader.
func LeaderFromError(err error) (LeaderInfo, bool) {
	var e *notLeaderError
	if !errors.As(err, &e) || e.leader.Address == "" {
		return LeaderInfo{}, false
	}
	return e.leader, true
}

func errNotLeader(l LeaderInfo) error {
	return errs.Wrap(&notLeaderError{leader: l}, errs.NotLeader, "send the request to the leader", "this replica is not the leader")
}

func errNotProposed(cause error) error {
	return errs.Wrap(cause, errs.Unavailable, "try again", "the command was not proposed")
}

func errOutcomeUnknown(cause error) error {
	return errs.Wrap(cause, errs.OutcomeUnknown, "read the state before trying again", "the command may have been applied")
}

func errReadFailed(cause error) error {
	return errs.Wrap(cause, errs.Unavailable, "try again", "the read could not be confirmed")
}
