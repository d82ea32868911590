package server

import (
	"context"
	"time"

	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// idlePoll is the time between looks at the requests in flight at the end of a drain.
const idlePoll = 10 * time.Millisecond

// share is what this VM may have in flight of a row with MaxInFlight. A lower limit is in force before the
// leader has lowered the share.
func (vm *VM) share(row table.Row) int {
	granted, _ := vm.control.Share(row.Name)
	return min(granted, row.MaxInFlight)
}

// loads returns the demand of each row: requests of the dispatcher, and members that the trainer side holds
// back because of the share.
func (vm *VM) loads() []control.RowLoad {
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

// awaitIdle returns when no request is on a backend server.
func (vm *VM) awaitIdle(ctx context.Context) error {
	tick := time.NewTicker(idlePoll)
	defer tick.Stop()
	for vm.busy() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "restart the VM", "requests are still in flight")
		}
	}
	return nil
}

func (vm *VM) busy() bool {
	for _, l := range vm.dispatcher.RowLoads() {
		if l.InFlight > 0 {
			return true
		}
	}
	return false
}
