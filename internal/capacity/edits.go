package capacity

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/operator"
	"filbertledge/internal/table"
)

const (
	editedRow api.RowName = "chat"
	// retryPause is short compared with the time that the election of a new leader takes.
	retryPause   = 20 * time.Millisecond
	applyTimeout = 10 * time.Second
)

// EditLatency holds the latencies of one table edit.
type EditLatency struct {
	Accepted   time.Duration // from sending the edit to its acceptance
	Everywhere time.Duration // from sending the edit until every VM applied it
}

// EditOnce changes the priority of a row and returns the table version that contains the edit.
func (d *Deployment) EditOnce(ctx context.Context) (uint64, error) {
	view, err := d.operator.Table(ctx)
	if err != nil {
		return 0, err
	}
	row, ok := view.Row(editedRow)
	if !ok {
		return 0, fmt.Errorf("row %q does not exist", editedRow)
	}
	return d.apply(ctx, row)
}

func (d *Deployment) apply(ctx context.Context, row table.Row) (uint64, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return 0, err
	}
	row.Priority = row.Priority%10 + 1
	for {
		result, err := d.operator.Edit(ctx, operator.EditRequest{EditID: id, ExpectedVersion: row.Version, Row: row})
		if err == nil {
			return result.TableVersion, nil
		}
		if result.Row != nil {
			// The VM that answered held an older table and did not use the edit id, so the edit can be sent again.
			row.Version = result.Row.Version
		}
		if err := sleep(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

// MeasureEditLatency makes n edits sequentially and measures the time until each is accepted and until every VM has
// applied it.
func (d *Deployment) MeasureEditLatency(ctx context.Context, n int) ([]EditLatency, error) {
	out := make([]EditLatency, 0, n)
	for range n {
		start := time.Now()
		version, err := d.EditOnce(ctx)
		if err != nil {
			return nil, err
		}
		accepted := time.Since(start)
		if err := d.awaitVersion(ctx, version); err != nil {
			return nil, err
		}
		out = append(out, EditLatency{Accepted: accepted, Everywhere: time.Since(start)})
	}
	return out, nil
}

// awaitVersion waits until every VM has applied the table version. It asks the VMs themselves rather than the leader,
// whose view of the other VMs lags behind.
func (d *Deployment) awaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, vm := range d.VMs {
		for {
			s, err := d.operator.StatusAt(ctx, vm.Internal)
			if err == nil && s.TableVersion >= version {
				break
			}
			if err := sleep(ctx, time.Millisecond); err != nil {
				return fmt.Errorf("%s has no table of version %d after %v", vm.Name, version, applyTimeout)
			}
		}
	}
	return nil
}

// Leader returns the VM whose control replica is the leader, and waits until there is one.
func (d *Deployment) Leader(ctx context.Context) (*harness.VM, error) {
	for {
		for _, vm := range d.VMs {
			if !vm.Replica {
				continue
			}
			if s, err := d.operator.StatusAt(ctx, vm.Internal); err == nil && roleOf(s) == RoleLeader {
				return vm, nil
			}
		}
		if err := sleep(ctx, retryPause); err != nil {
			return nil, fmt.Errorf("no replica leads: %w", err)
		}
	}
}

// MeasureRecovery applies the fault to the leader's VM and returns the time from the fault until the next edit is
// accepted.
func (d *Deployment) MeasureRecovery(ctx context.Context, fault func(*harness.VM) error) (time.Duration, error) {
	leader, err := d.Leader(ctx)
	if err != nil {
		return 0, err
	}
	view, err := d.operator.Table(ctx)
	if err != nil {
		return 0, err
	}
	row, _ := view.Row(editedRow)
	others := make([]string, 0, len(d.VMs))
	for _, vm := range d.VMs {
		if vm != leader {
			others = append(others, vm.Internal)
		}
	}
	if d.operator, err = operator.NewClient(d.transport, others); err != nil {
		return 0, err
	}
	if err := fault(leader); err != nil {
		return 0, err
	}
	start := time.Now()
	_, err = d.apply(ctx, row)
	return time.Since(start), err
}

// Percentile returns the value at percentile p, a share between 0 and 1, of the values. It returns the zero value if
// there are none.
func Percentile[T cmp.Ordered](values []T, p float64) T {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		var none T
		return none
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
