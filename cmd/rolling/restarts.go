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
	chatCallers         = 4
	bookingCallers      = 2
	longStreams         = 4 // streams in flight through each entry VM when it begins to shut down
	longTokens          = 800
	shortTokens         = 20
	streamLead          = 300 * time.Millisecond // from the start of the long streams until the entry VM shuts down
	lateRequestInterval = 700 * time.Millisecond // between the requests that are sent after the shutdown began
	drainTimeout        = 45 * time.Second       // exceeds the chat row's deadline of 30 s
	maxLinesShown       = 5
)

// rollingRestart restarts the entry VMs of a deployment one after the other under load.
type rollingRestart struct {
	deployment      *harness.Deployment
	callers         workload.Callers
	rng             *rand.Rand
	drainedRequests sync.WaitGroup // requests in flight through entry VMs that shut down
	badExits        []string       // entry VMs with a nonzero exit code
	restarted       int
}

func newRollingRestart(d *harness.Deployment, seed uint64) *rollingRestart {
	return &rollingRestart{deployment: d, rng: rand.New(rand.NewPCG(seed, 5)), callers: workload.Callers{
		Sender: workload.NewSender(workload.NewBalancer(d, seed)), Seed: seed, Model: d.Layout.Model,
		ChatRow: "reply-chat", BookingRow: "booking", BookingPath: "/bookings",
	}}
}

// runUnderLoad runs the load while it restarts all entry VMs.
func (r *rollingRestart) runUnderLoad(ctx context.Context) error {
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
	r.drainedRequests.Wait()
	stopProbes()
	probes.Wait()
	return err
}

func (r *rollingRestart) restartAll(ctx context.Context) error {
	for i, vm := range r.deployment.VMs {
		start := time.Now()
		r.sendThrough(ctx, vm, i)
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
		r.restarted++
		fmt.Printf("%s ended after %.1f s, ready again after %.1f s\n", vm.Name, ended.Seconds(), time.Since(start).Seconds())
	}
	return nil
}

// sendThrough sends long streams through an entry VM, and short requests that arrive while it shuts down. It returns
// after streamLead, when the streams have begun, and leaves the requests running.
func (r *rollingRestart) sendThrough(ctx context.Context, vm *harness.VM, n int) {
	for i := range longStreams {
		caller := chatCallers + n
		long := r.callers.ChatRequest(r.rng, caller, 2*i+1, longTokens)
		late := r.callers.ChatRequest(r.rng, caller, 2*i, shortTokens)
		long.FirstVM, late.FirstVM = vm, vm
		r.drainedRequests.Go(func() { r.callers.Sender.Send(ctx, long) })
		r.drainedRequests.Go(func() {
			workload.Pause(ctx, streamLead+time.Duration(i)*lateRequestInterval)
			r.callers.Sender.Send(ctx, late)
		})
	}
	workload.Pause(ctx, streamLead)
}

func (r *rollingRestart) awaitExit(ctx context.Context, vm *harness.VM) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := vm.Wait(ctx); err != nil {
		return err
	}
	if code := vm.ExitCode(); code != 0 {
		r.badExits = append(r.badExits, fmt.Sprintf("%s ended with exit code %d", vm.Name, code))
	}
	return nil
}

// report prints the totals and reports whether no request was cut off or refused. Each failed attempt counts, even if
// a later attempt of the same request was answered.
func (r *rollingRestart) report(out io.Writer) bool {
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
	printSome(out, cut)
	printSome(out, refused)
	printSome(out, whole.Violations)
	printSome(out, r.badExits)
	fmt.Fprintf(out, "rolling: vms=%d requests=%d cut=%d refused=%d\n", r.restarted, len(requests), len(cut)+whole.Lost, len(refused))
	return len(cut)+len(refused)+len(whole.Violations)+len(r.badExits) == 0 && r.restarted == len(r.deployment.VMs)
}

func printSome(out io.Writer, lines []string) {
	for _, line := range lines[:min(len(lines), maxLinesShown)] {
		fmt.Fprintln(out, line)
	}
}
