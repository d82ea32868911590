package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"filbertledge/internal/harness"
	"filbertledge/internal/workload"
)

const (
	chatCallers    = 4
	bookingCallers = 2
	longStreams    = 4 // through each entry VM when it begins to shut down
	longTokens     = 800
	shortTokens    = 20
	streamLead     = 300 * time.Millisecond // from the start of the long streams to the shutdown
	lateSpacing    = 700 * time.Millisecond // between the requests that come after the shutdown began
	drainLimit     = 45 * time.Second       // above the chat row's deadline of 30 s
	maxShown       = 5
)

// restarts restarts the entry VMs of a deployment under load.
type restarts struct {
	deployment *harness.Deployment
	callers    workload.Callers
	rng        *rand.Rand
	pinned     sync.WaitGroup // requests through the entry VM that shuts down
	exits      []string       // entry VMs that did not end as they should
	done       int
}

func newRestarts(d *harness.Deployment, seed uint64) *restarts {
	return &restarts{deployment: d, rng: rand.New(rand.NewPCG(seed, 5)), callers: workload.Callers{
		Sender: workload.NewSender(workload.NewBalancer(d, seed)), Seed: seed, Model: d.Layout.Model,
		ChatRow: "reply-chat", BookingRow: "booking", BookingPath: "/bookings",
	}}
}

// drive runs the load and restarts one entry VM after the other.
func (r *restarts) drive(ctx context.Context) error {
	probeCtx, stopProbes := context.WithCancel(ctx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopProbes()
	defer stopLoad()
	var probes, callers sync.WaitGroup
	probes.Go(func() { r.callers.Sender.Balancer.Run(probeCtx) })
	for i := range chatCallers {
		callers.Go(func() { r.callers.RunChat(loadCtx, i) })
	}
	for i := range bookingCallers {
		callers.Go(func() { r.callers.RunBookings(loadCtx, i) })
	}
	err := r.restartAll(ctx)
	stopLoad()
	callers.Wait()
	r.pinned.Wait()
	stopProbes()
	probes.Wait()
	return err
}

func (r *restarts) restartAll(ctx context.Context) error {
	for i, vm := range r.deployment.VMs {
		start := time.Now()
		r.pin(ctx, vm, i)
		if err := vm.Drain(); err != nil {
			return err
		}
		if err := r.awaitExit(ctx, vm); err != nil {
			return err
		}
		ended := time.Since(start)
		if err := r.deployment.RestartVM(ctx, vm); err != nil {
			return err
		}
		r.done++
		fmt.Printf("%s ended after %.1f s, ready again after %.1f s\n", vm.Name, ended.Seconds(), time.Since(start).Seconds())
	}
	return nil
}

// pin sends long streams through an entry VM, and short requests that come while it shuts down. It returns when
// the streams have begun.
func (r *restarts) pin(ctx context.Context, vm *harness.VM, n int) {
	for i := range longStreams {
		caller := chatCallers + n
		long := r.callers.ChatRequest(r.rng, caller, 2*i+1, longTokens)
		late := r.callers.ChatRequest(r.rng, caller, 2*i, shortTokens)
		long.FirstVM, late.FirstVM = vm, vm
		r.pinned.Go(func() { r.callers.Sender.Send(ctx, long) })
		r.pinned.Go(func() {
			workload.Pause(ctx, streamLead+time.Duration(i)*lateSpacing)
			r.callers.Sender.Send(ctx, late)
		})
	}
	workload.Pause(ctx, streamLead)
}

func (r *restarts) awaitExit(ctx context.Context, vm *harness.VM) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	if err := vm.Wait(ctx); err != nil {
		return err
	}
	if code := vm.ExitCode(); code != 0 {
		r.exits = append(r.exits, fmt.Sprintf("%s ended with exit code %d", vm.Name, code))
	}
	return nil
}

// report prints the totals and reports whether no request was cut off or refused. Each attempt counts, also one
// whose resend was answered.
func (r *restarts) report(out io.Writer) bool {
	requests := r.callers.Sender.Log.Requests()
	var cut, refused []string
	for _, q := range requests {
		for i := range q.Attempts {
			switch a := &q.Attempts[i]; {
			case a.Err != nil:
				cut = append(cut, fmt.Sprintf("cut: %s %s: %s", q.Kind, q.ID, q.DescribeAttempts()))
			case !a.OK():
				refused = append(refused, fmt.Sprintf("refused: %s %s: %s", q.Kind, q.ID, q.DescribeAttempts()))
			}
		}
	}
	whole := workload.CheckCompleteAnswers(requests)
	show(out, cut)
	show(out, refused)
	show(out, whole.Violations)
	show(out, r.exits)
	fmt.Fprintf(out, "rolling: vms=%d requests=%d cut=%d refused=%d\n", r.done, len(requests), len(cut)+whole.Lost, len(refused))
	return len(cut)+len(refused)+len(whole.Violations)+len(r.exits) == 0 && r.done == len(r.deployment.VMs)
}

func show(out io.Writer, lines []string) {
	for _, line := range lines[:min(len(lines), maxShown)] {
		fmt.Fprintln(out, line)
	}
}
