package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/operator"
)

// timelineFlags holds the flags of timeline, which select events and the output.
type timelineFlags struct {
	request string
	row     string
	backend string
	vm      string
	since   time.Duration
	limit   int
	html    string
	repeat  bool
}

func (f timelineFlags) filter(now time.Time) events.Filter {
	filter := events.Filter{
		Request: f.request, Row: api.RowName(f.row), Server: api.ServerID(f.backend), VM: api.VMID(f.vm), Limit: f.limit,
	}
	if f.since > 0 {
		filter.Since = now.Add(-f.since)
	}
	return filter
}

func (a *app) timelineCommand() *cobra.Command {
	var f timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show one ordered timeline over all VMs",
		Long: `Show the events of all VMs in one order, the newest last. Clocks of VMs differ, so the order of events of
different VMs is approximate. VMs that do not answer are named. With --html, write one self-contained page.`,
		Example: `  filbertledge timeline --since 10m --row booking-chat
  filbertledge timeline --request 0197c3e0-7d0a-7c1e-9a55-0c1f0f2f3a11
  filbertledge timeline --since 1h --html timeline.html
  filbertledge timeline --watch`,
		Args: cobra.NoArgs,
		RunE: a.withClient(func(ctx context.Context, c *operator.Client) error {
			if f.repeat {
				if f.html != "" {
					return errs.New(errs.InvalidArgument, "leave out one of them", "--watch and --html exclude each other")
				}
				return a.followTimeline(ctx, c, f)
			}
			return a.timeline(ctx, c, f)
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&f.request, "request", "", "only events of this request")
	flags.StringVar(&f.row, "row", "", "only events of this row")
	flags.StringVar(&f.backend, "backend", "", "only events of this backend server")
	flags.StringVar(&f.vm, "vm", "", "only events of or about this VM")
	flags.DurationVar(&f.since, "since", 0, "only events of this last time, such as 10m; all that are kept if 0")
	flags.IntVar(&f.limit, "limit", 1000, "newest events shown")
	flags.StringVar(&f.html, "html", "", "write an HTML page to this file")
	watchFlag(cmd, &f.repeat)
	return cmd
}

func (a *app) timeline(ctx context.Context, c *operator.Client, f timelineFlags) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	t, err := c.Timeline(ctx, f.filter(time.Now()))
	if err != nil {
		return err
	}
	a.warnAboutMissingVMs(t)
	if f.html != "" {
		return writePage(f.html, t)
	}
	return a.print(t, func(w io.Writer) {
		table := newEventTable(w)
		for _, e := range t.Events {
			eventRow(table, e)
		}
		table.flush()
		fmt.Fprintf(w, "%d event(s) of %d VM(s)\n", len(t.Events), t.QueriedVMs-len(t.Missing))
	})
}

func (a *app) warnAboutMissingVMs(t operator.Timeline) {
	for _, vm := range t.Missing {
		a.printNote("warning: VM %s (%s) did not answer: %s; its events are missing", vm.VM, vm.Address, vm.Reason)
	}
}

// formatTime formats t in UTC, because VMs may have different time zones.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

func newEventTable(w io.Writer) *textTable {
	return newTextTable(w, "TIME", "VM", "EVENT", "REQUEST", "ROW", "SERVER", "PEER", "DETAIL")
}

func eventRow(t *textTable, e events.Event) {
	t.row(formatTime(e.Time), e.VM, e.Name, e.Request, e.Row, e.Server, e.Peer, e.Detail)
}

// queryOverlap is the length of the period before now that each query of timeline --watch after the first covers. It is
// longer than the interval of the queries, so that events of a VM with a slow clock, or of a VM that did not respond to
// the last query, are still printed.
const queryOverlap = 10 * time.Second

// eventKey identifies an event in the deployment. Sequence numbers start again when a process restarts, so the key
// includes the time.
type eventKey struct {
	vm       api.VMID
	sequence uint64
	at       int64
}

// followTimeline prints each new event once until ctx ends.
func (a *app) followTimeline(ctx context.Context, c *operator.Client, f timelineFlags) error {
	seen := map[eventKey]time.Time{}
	filter := f.filter(time.Now())
	for {
		timeoutCtx, cancel := a.withTimeout(ctx)
		t, err := c.Timeline(timeoutCtx, filter)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !isTransient(err) {
				return err
			}
			a.printNote("warning: %v", err)
		case err == nil:
			a.warnAboutMissingVMs(t)
			if err := a.printNewEvents(t.Events, seen); err != nil {
				return err
			}
		}
		if !sleep(ctx, watchInterval) {
			return nil
		}
		filter.Since = time.Now().Add(-queryOverlap)
		dropOldKeys(seen, filter.Since.Add(-queryOverlap))
	}
}

func (a *app) printNewEvents(list []events.Event, seen map[eventKey]time.Time) error {
	for _, e := range list {
		key := eventKey{e.VM, e.Sequence, e.Time.UnixNano()}
		if _, ok := seen[key]; ok {
			continue
		}
		seen[key] = e.Time
		err := a.print(e, func(w io.Writer) {
			fmt.Fprintln(w, replaceControlChars(fmt.Sprint(formatTime(e.Time), "  ", e.VM, "  ", e.Name, "  ", describeEvent(e))))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// dropOldKeys removes the keys of events before the given time, which no later query returns.
func dropOldKeys(seen map[eventKey]time.Time, before time.Time) {
	for key, at := range seen {
		if at.Before(before) {
			delete(seen, key)
		}
	}
}

// describeEvent returns the request, row, server, peer and details of an event as text.
func describeEvent(e events.Event) string {
	var out string
	for _, part := range []struct{ name, value string }{
		{"request", e.Request}, {"row", string(e.Row)}, {"server", string(e.Server)}, {"peer", string(e.Peer)},
	} {
		if part.value != "" {
			out += part.name + "=" + part.value + " "
		}
	}
	return out + e.Detail
}

func writePage(path string, t operator.Timeline) error {
	f, err := os.Create(path)
	if err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "choose a file that can be written", "cannot write the page")
	}
	err = renderPage(f, t, time.Now())
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errs.Wrap(err, errs.StorageFailed, "check the free space", "cannot write %s", path)
}

func (a *app) requestsCommand() *cobra.Command {
	show := &cobra.Command{
		Use:   "show ID",
		Short: "Show what happened to one request",
		Long: `Show the events of one request over all VMs. If ID is the idempotency key of a non-idempotent call, show the
record of the call as well.`,
		Example: "  filbertledge requests show 0197c3e0-7d0a-7c1e-9a55-0c1f0f2f3a11",
		Args:    cobra.ExactArgs(1),
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.showRequest(ctx, c, args[0])
		}),
	}
	return commandGroup("requests", "Follow single requests", show)
}

// requestView is the output of requests show.
type requestView struct {
	Request  string             `json:"request"`
	Timeline operator.Timeline  `json:"timeline"`
	Calls    []control.CallView `json:"calls"`
}

func (a *app) showRequest(ctx context.Context, c *operator.Client, id string) error {
	t, err := c.Timeline(ctx, events.Filter{Request: id})
	if err != nil {
		return err
	}
	a.warnAboutMissingVMs(t)
	view := requestView{Request: id, Timeline: t, Calls: []control.CallView{}}
	if key, err := uuid.Parse(id); err == nil {
		calls, err := c.Calls(ctx, control.CallsRequest{Key: key})
		if err != nil && !errs.Is(err, errs.NotFound) {
			return err
		}
		view.Calls = append(view.Calls, calls...)
	}
	if len(t.Events) == 0 && len(view.Calls) == 0 {
		return errs.New(errs.NotFound, "check the id; VMs keep their newest 16384 events only",
			"no VM has events of request %q (%d asked, %d did not answer)", id, t.QueriedVMs, len(t.Missing))
	}
	return a.print(view, func(w io.Writer) { view.print(w) })
}

func (v requestView) print(w io.Writer) {
	for _, call := range v.Calls {
		r := call.Record
		t := newTextTable(w)
		t.row("call", call.Key)
		t.row("row", call.Row)
		t.row("state", r.State)
		t.row("attempt", r.Attempt)
		t.row("VM", r.VM)
		if r.Answer != nil {
			t.row("answer", fmt.Sprintf("status %d, %d bytes of %s", r.Answer.Status, len(r.Answer.Body), r.Answer.ContentType))
		}
		t.flush()
		fmt.Fprintln(w)
	}
	list := v.Timeline.Events
	if len(list) == 0 {
		return
	}
	t := newTextTable(w, "AFTER", "VM", "EVENT", "ROW", "SERVER", "DETAIL")
	for _, e := range list {
		t.row(e.Time.Sub(list[0].Time).Round(10*time.Microsecond), e.VM, e.Name, e.Row, e.Server, e.Detail)
	}
	t.flush()
	fmt.Fprintf(w, "first event at %s\n", formatTime(list[0].Time))
}
