package server

import (
	"context"
	"time"

	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// inFlightPollInterval is the time between checks for requests in flight at the end of a drain.
const inFlightPollInterval = 10 * time.Millisecond

// inFlightShare returns how many requests of a row with MaxInFlight this VM may have in flight. A lowered MaxInFlight
// takes effect before the control leader has reduced the share.
func (vm *VM) inFlightShare(row table.Row) int {
	granted, _ := vm.control.Share(row.Name)
	return min(granted, row.MaxInFlight)
}

// rowLoads returns the demand of each row: the requests of the dispatcher, and the group members that the trainer
// service has not passed to the dispatcher because of the share.
func (vm *VM) rowLoads() []control.RowLoad {
	waiting := vm.trainer.WaitingMembers()
	out := vm.dispatcher.RowLoads()
	for i := range out {
		out[i].Waiting += waiting[out[i].Row]
		delete(waiting, out[i].Row)
	}
	for row, n := range waiting {
		out = append(out, control.RowLoad{Row: row, Waiting: n})
	}
	return out
}

// waitForNoInFlight returns when no request of this VM is in flight on a backend server, or when ctx ends.
func (vm *VM) waitForNoInFlight(ctx context.Context) error {
	tick := time.NewTicker(inFlightPollInterval)
	defer tick.Stop()
	for vm.hasInFlight() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "restart the VM", "requests are still in flight")
		}
	}
	return nil
}

func (vm *VM) hasInFlight() bool {
	for _, l := range vm.dispatcher.RowLoads() {
		if l.InFlight > 0 {
			return true
		}
	}
	return false
}
