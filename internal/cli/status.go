package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/operator"
)

func watchFlag(cmd *cobra.Command, repeat *bool) {
	cmd.Flags().BoolVarP(repeat, "watch", "w", false, "repeat every second until interrupted")
}

func (a *app) statusCommand() *cobra.Command {
	var repeat bool
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show a VM and what it knows of the deployment",
		Example: "  filbertledge status --watch",
		Args:    cobra.NoArgs,
		RunE: a.withClient(func(ctx context.Context, c *operator.Client) error {
			return a.watch(ctx, repeat, func(ctx context.Context) error {
				ctx, cancel := a.withTimeout(ctx)
				defer cancel()
				s, err := c.Status(ctx)
				if err != nil {
					return err
				}
				return a.print(s, func(w io.Writer) { printStatus(w, s) })
			})
		}),
	}
	watchFlag(cmd, &repeat)
	return cmd
}

func printStatus(w io.Writer, s operator.Status) {
	for _, warning := range s.Warnings {
		fmt.Fprintf(w, "warning: %s\n", replaceControlChars(warning))
	}
	t := newTextTable(w)
	t.row("VM", s.VM.ID)
	t.row("failure domain", s.VM.Domain)
	t.row("addresses", s.VM.Address+" (internal), "+s.VM.HTTPAddress+" (HTTP)")
	t.row("build", s.Build)
	t.row("started", s.Started.Format(time.RFC3339)+", "+formatAge(s.Started)+" ago")
	t.row("state", vmState(s))
	t.row("running, queued", fmt.Sprintf("%d, %d", s.Running, s.Queued))
	t.row("table", fmt.Sprintf("version %d, lease %s", s.TableVersion, leaseState(s.TableLeaseValid)))
	t.row("usable backend servers", s.Servers)
	t.row("certificate expires", s.CertificateExpires.Format(time.RFC3339))
	if r := s.Replica; r != nil {
		t.row("control replica", fmt.Sprintf("%s, term %d, applied %d of %d, leader %s", r.Role, r.Term, r.Applied, r.Commit, r.Leader))
	}
	t.flush()
	printMembers(w, s.Replica)
	printVMs(w, s.VMs)
}

func vmState(s operator.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func leaseState(ok bool) string {
	if ok {
		return "valid"
	}
	return "expired"
}

func printMembers(w io.Writer, r *operator.ReplicaStatus) {
	if r == nil || len(r.Members) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "REPLICA", "VM", "FAILURE DOMAIN", "ROLE", "ACKNOWLEDGED")
	for _, m := range r.Members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		t.row(fmt.Sprintf("%x", m.ID), m.VM, m.Domain, role, m.Applied)
	}
	t.flush()
}

func printVMs(w io.Writer, list []api.VM) {
	if len(list) == 0 {
		return
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b api.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	fmt.Fprintln(w)
	t := newTextTable(w, "ENTRY VM", "FAILURE DOMAIN", "INTERNAL", "HTTP", "TABLE", "HEARD")
	for _, vm := range list {
		t.row(vm.ID, vm.Domain, vm.Address, vm.HTTPAddress, vm.TableVersion, vm.SinceLastSeen.Round(time.Millisecond).String()+" ago")
	}
	t.flush()
}

func (a *app) serversCommand() *cobra.Command {
	var repeat bool
	var pool string
	cmd := &cobra.Command{
		Use:     "servers",
		Short:   "List the backend servers that a VM knows",
		Example: "  filbertledge servers --pool drafter-llm --watch",
		Args:    cobra.NoArgs,
		RunE: a.withClient(func(ctx context.Context, c *operator.Client) error {
			return a.watch(ctx, repeat, func(ctx context.Context) error {
				ctx, cancel := a.withTimeout(ctx)
				defer cancel()
				list, err := c.Servers(ctx)
				if err != nil {
					return err
				}
				list = slices.DeleteFunc(list, func(s operator.ServerView) bool { return pool != "" && string(s.Pool) != pool })
				return a.print(list, func(w io.Writer) { printServers(w, list) })
			})
		}),
	}
	watchFlag(cmd, &repeat)
	cmd.Flags().StringVar(&pool, "pool", "", "only servers of this pool")
	return cmd
}

func printServers(w io.Writer, list []operator.ServerView) {
	t := newTextTable(w, "SERVER", "POOL", "FAILURE DOMAIN", "ADDRESS", "STATE", "MODEL", "VERSION", "LOADED", "IN FLIGHT", "CAPACITY", "RENEWED")
	for _, s := range list {
		t.row(s.ID, s.Pool, s.Domain, s.Address, serverState(s), s.Model, s.CurrentVersion, joinVersions(s.LoadedVersions), s.InFlight, s.Capacity,
			fmt.Sprintf("%d ms ago", s.SinceRenewalMS))
	}
	t.flush()
}

func serverState(s operator.ServerView) string {
	switch {
	case s.State == api.ServerLeaving:
		return "leaving"
	case s.Ejected:
		return "ejected"
	case !s.Usable:
		return "suspended"
	}
	return string(s.State)
}

func joinVersions(list []api.WeightVersion) string {
	parts := make([]string, len(list))
	for i, v := range list {
		parts[i] = fmt.Sprint(v)
	}
	return strings.Join(parts, ",")
}

func (a *app) samplesCommand() *cobra.Command {
	var repeat bool
	cmd := &cobra.Command{
		Use:     "samples [ROW [STEP]]",
		Short:   "Show the sample ledger: steps, or the finished samples of a step",
		Example: "  filbertledge samples\n  filbertledge samples tutor-rollouts 41 --watch",
		Args:    cobra.MaximumNArgs(2),
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			return a.watch(ctx, repeat, func(ctx context.Context) error {
				ctx, cancel := a.withTimeout(ctx)
				defer cancel()
				return a.samples(ctx, c, args)
			})
		}),
	}
	watchFlag(cmd, &repeat)
	return cmd
}

func (a *app) samples(ctx context.Context, c *operator.Client, args []string) error {
	var row api.RowName
	if len(args) > 0 {
		row = api.RowName(args[0])
	}
	if len(args) < 2 {
		list, err := c.Steps(ctx, row)
		if err != nil {
			return err
		}
		return a.print(list, func(w io.Writer) { printSteps(w, list) })
	}
	var step uint64
	if _, err := fmt.Sscanf(args[1], "%d", &step); err != nil {
		return errs.New(errs.InvalidArgument, "give the number of a step", "%q is not a step", args[1])
	}
	view, err := c.Step(ctx, control.StepID{Row: row, Step: step})
	if err != nil {
		return err
	}
	return a.print(view, func(w io.Writer) {
		printSteps(w, []control.StepView{view})
		printSamples(w, view.Finished)
	})
}

func printSteps(w io.Writer, list []control.StepView) {
	t := newTextTable(w, "ROW", "STEP", "STATE", "GROUPS", "SIZE", "SUBMITTED", "PENDING", "ACKNOWLEDGED", "DEADLINE")
	for _, s := range list {
		state := "closed"
		if s.Open {
			state = "open"
		}
		t.row(s.ID.Row, s.ID.Step, state, s.Groups, s.Size, s.Submitted, s.Pending, s.Acked, s.Deadline.Format(time.RFC3339))
	}
	t.flush()
}

func printSamples(w io.Writer, list []control.SampleView) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "GROUP", "MEMBER", "ATTEMPT", "HOLDER", "VERSIONS")
	for _, s := range list {
		t.row(s.ID.Group, s.ID.Member, s.Attempt, s.VM, joinVersions(s.Versions))
	}
	t.flush()
}

func (a *app) drainCommand() *cobra.Command {
	var wait, now bool
	cmd := &cobra.Command{
		Use:   "drain [VM]",
		Short: "Shut down a VM gracefully",
		Long: `Shut down the named VM, or the first one of --server, gracefully: it leaves the balancer, finishes running
requests and exits. With --now it exits without waiting for them.`,
		Example: "  filbertledge drain szeged-a-1 --watch",
		Args:    cobra.MaximumNArgs(1),
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			var name api.VMID
			if len(args) == 1 {
				name = api.VMID(args[0])
			}
			return a.drain(ctx, c, name, now, wait)
		}),
	}
	cmd.Flags().BoolVarP(&wait, "watch", "w", false, "show the progress until the VM has stopped")
	cmd.Flags().BoolVar(&now, "now", false, "do not wait for running requests")
	return cmd
}

func (a *app) drain(ctx context.Context, c *operator.Client, name api.VMID, now, wait bool) error {
	timeoutCtx, cancel := a.withTimeout(ctx)
	defer cancel()
	addr, err := c.Address(timeoutCtx, name)
	if err != nil {
		return err
	}
	shutDown := c.Drain
	if now {
		shutDown = c.Shutdown
	}
	if err := shutDown(timeoutCtx, addr); err != nil {
		return err
	}
	a.printNote("VM at %s is shutting down", addr)
	if !wait {
		return nil
	}
	return a.watchDrain(ctx, c, addr)
}

// watchDrain prints the number of remaining requests until the VM no longer responds. A single failure may be a lost
// packet, so the VM counts as stopped after two failures in a row.
func (a *app) watchDrain(ctx context.Context, c *operator.Client, addr string) error {
	failures := 0
	for {
		attemptCtx, cancel := a.withTimeout(ctx)
		s, err := c.StatusAt(attemptCtx, addr)
		cancel()
		switch {
		case ctx.Err() != nil:
		case err == nil:
			failures = 0
			a.printNote("%d running, %d queued", s.Running, s.Queued)
		case !isTransient(err):
			return err
		case failures > 0:
			a.printNote("VM at %s has stopped", addr)
			return nil
		default:
			failures++
		}
		if !sleep(ctx, watchInterval) {
			return errs.New(errs.Canceled, "", "stopped watching; the VM goes on shutting down")
		}
	}
}
