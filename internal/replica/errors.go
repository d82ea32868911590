package replica

import (
	"errors"
	"fmt"

	"filbertledge/internal/errs"
)

var (
	errStopped     = errors.New("the replica is stopped")
	errNotStarted  = errors.New("the replica has not joined its group yet")
	errOverwritten = errors.New("a newer leader replaced the entry before it was committed")
	errSnapshot    = errors.New("a snapshot of a newer leader replaced the log")
	errTimedOut    = errors.New("no quorum answered in time")
)

// LeaderInfo names the leader that a replica knows of. Its fields are empty while there is none.
type LeaderInfo struct {
	ID      uint64
	Name    string
	Address string
}

// notLeaderError carries the leader in the chain of a NotLeader error.
type notLeaderError struct{ leader LeaderInfo }

func (e *notLeaderError) Error() string {
	if e.leader.Address == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("the leader is %s at %s", e.leader.Name, e.leader.Address)
}

// LeaderFromError returns the leader that a NotLeader error names. It reports false for other errors and while no
// leader is known.
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

func errUnknown(cause error) error {
	return errs.Wrap(cause, errs.OutcomeUnknown, "read the state before trying again", "the command may have been applied")
}

func errReadFailed(cause error) error {
	return errs.Wrap(cause, errs.Unavailable, "try again", "the read could not be confirmed")
}
