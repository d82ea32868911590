package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/workload"
)

const (
	tablePollInterval = 500 * time.Millisecond
	// maxEditLatency is the time within which an accepted edit must take effect on all entry VMs. Polling adds up to
	// two intervals of tablePollInterval to the measured latency.
	maxEditLatency = 6 * time.Second
)

// edit is one accepted table edit.
type edit struct {
	row     api.RowName
	version uint64
	at      time.Time
	seen    map[*harness.VM]bool
}

// editTracker edits the table and records when each entry VM shows the edits.
type editTracker struct {
	deployment *harness.Deployment

	mu       sync.Mutex
	accepted []edit
	newest   map[*harness.VM]map[api.RowName]uint64
	excluded map[*harness.VM]bool
	late     []string
	reverted []string
	slowest  time.Duration
}

// tableRow holds the fields of a row in the JSON output of "filbertledge table get" that the demo reads.
type tableRow struct {
	Name    api.RowName `json:"name"`
	Version uint64      `json:"version,string"`
}

type tableView struct {
	Rows []tableRow `json:"rows"`
}

// setResult holds the fields of the JSON output of "filbertledge table set" that the demo reads.
type setResult struct {
	EditID   string `json:"edit_id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
}

// maxEditAttempts bounds the attempts to send one edit.
const maxEditAttempts = 5

// set changes one column of a row. It then sends the same edit again through another entry VM, as an operator would
// who did not receive the answer. The resend must return the result of the first edit.
func (e *editTracker) set(ctx context.Context, row, column, value string) error {
	view, err := e.get(ctx, e.deployment.VMs[0])
	if err != nil {
		return err
	}
	expect := "0"
	for _, r := range view.Rows {
		if string(r.Name) == row {
			expect = strconv.FormatUint(r.Version, 10)
		}
	}
	args := []string{row, column + "=" + value, "--edit-id", workload.NewID(), "--expect-version", expect}
	first, err := e.send(ctx, 0, args...)
	if err != nil {
		return err
	}
	if !first.Accepted {
		return fmt.Errorf("the edit of row %s was not accepted", row)
	}
	at := time.Now()
	e.mu.Lock()
	e.accepted = append(e.accepted, edit{row: api.RowName(row), version: first.Version, at: at, seen: map[*harness.VM]bool{}})
	e.mu.Unlock()
	again, err := e.send(ctx, 1, args...)
	if err != nil {
		return err
	}
	if again.Version != first.Version {
		e.mu.Lock()
		e.reverted = append(e.reverted, fmt.Sprintf("the resend of edit %s returned version %d, not %d", first.EditID, again.Version, first.Version))
		e.mu.Unlock()
	}
	return nil
}

// send sends an edit that has an edit id through the entry VM with the given index, and after a failure through the
// next one. The edit id makes each resend safe.
func (e *editTracker) send(ctx context.Context, index int, args ...string) (setResult, error) {
	var result setResult
	var err error
	for i := range maxEditAttempts {
		vm := e.deployment.VMs[(index+i)%len(e.deployment.VMs)]
		if e.isExcluded(vm) {
			continue
		}
		if result, err = e.sendOnce(ctx, vm, args...); err == nil {
			return result, nil
		}
		fmt.Printf("         the edit is sent again: %v\n", err)
	}
	return result, err
}

func (e *editTracker) sendOnce(ctx context.Context, vm *harness.VM, args ...string) (setResult, error) {
	var result setResult
	out, err := e.deployment.RunOperatorCommand(ctx, vm, append([]string{"table", "set", "--output", "json"}, args...)...)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		return result, fmt.Errorf("decode the result of table set: %w", err)
	}
	return result, nil
}

func (e *editTracker) get(ctx context.Context, vm *harness.VM) (tableView, error) {
	var view tableView
	out, err := e.deployment.RunOperatorCommand(ctx, vm, "table", "get", "--output", "json")
	if err != nil {
		return view, err
	}
	if err := json.Unmarshal([]byte(out), &view); err != nil {
		return view, fmt.Errorf("decode the table of %s: %w", vm.Name, err)
	}
	return view, nil
}

// exclude stops the polling of an entry VM that is about to be killed or drained.
func (e *editTracker) exclude(vm *harness.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.excluded == nil {
		e.excluded = map[*harness.VM]bool{}
	}
	e.excluded[vm] = true
}

// watch polls the tables of all entry VMs until ctx ends.
func (e *editTracker) watch(ctx context.Context) {
	e.mu.Lock()
	e.newest = map[*harness.VM]map[api.RowName]uint64{}
	for _, vm := range e.deployment.VMs {
		e.newest[vm] = map[api.RowName]uint64{}
	}
	e.mu.Unlock()
	var wg sync.WaitGroup
	for _, vm := range e.deployment.VMs {
		wg.Go(func() {
			for ctx.Err() == nil && !e.isExcluded(vm) {
				if view, err := e.get(ctx, vm); err == nil {
					e.observe(vm, view)
				}
				workload.Pause(ctx, tablePollInterval)
			}
		})
	}
	wg.Wait()
}

func (e *editTracker) isExcluded(vm *harness.VM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.excluded[vm]
}

// observe compares a table with the earlier tables of the same entry VM. It records rows whose version decreased, and
// accepted edits that the VM now shows.
func (e *editTracker) observe(vm *harness.VM, view tableView) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := e.newest[vm]
	for _, r := range view.Rows {
		if r.Version < versions[r.Name] {
			e.reverted = append(e.reverted, fmt.Sprintf("%s showed row %s at version %d after version %d", vm.Name, r.Name, r.Version, versions[r.Name]))
		}
		versions[r.Name] = max(versions[r.Name], r.Version)
	}
	for i := range e.accepted {
		a := &e.accepted[i]
		if !a.seen[vm] && versions[a.row] >= a.version {
			a.seen[vm] = true
			e.slowest = max(e.slowest, now.Sub(a.at))
		}
	}
}

// settle waits until all entry VMs have shown each edit or maxEditLatency has passed, and records the missing ones.
func (e *editTracker) settle(ctx context.Context) error {
	for ctx.Err() == nil {
		missing, waiting := e.missing()
		if !waiting {
			e.mu.Lock()
			e.late = missing
			e.mu.Unlock()
			return nil
		}
		workload.Pause(ctx, tablePollInterval)
	}
	return ctx.Err()
}

// missing lists the edits that an entry VM has not shown, and reports whether one of them is within maxEditLatency.
func (e *editTracker) missing() (list []string, waiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accepted {
		for _, vm := range e.deployment.VMs {
			if a.seen[vm] || e.excluded[vm] {
				continue
			}
			list = append(list, fmt.Sprintf("%s has not shown version %d of row %s", vm.Name, a.version, a.row))
			waiting = waiting || time.Since(a.at) < maxEditLatency
		}
	}
	return list, waiting
}
