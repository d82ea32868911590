package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/operator"
	"filbertledge/internal/table"
)

// setFlags are the options of table set.
type setFlags struct {
	expect    uint64
	hasExpect bool
	editID    string
	remove    bool
	edit      editFlags
}

// editFlags are the options that table set and table import share.
type editFlags struct {
	dryRun bool
	wait   bool
}

func (f *editFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "check and show the edit without making it")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the edit is in force everywhere")
}

func (a *app) tableSetCommand() *cobra.Command {
	var f setFlags
	cmd := &cobra.Command{
		Use:   "set ROW COLUMN=VALUE...",
		Short: "Create, change or delete a row",
		Long: `Create or change a row, or delete it with --delete. The edit is accepted only if the row still has the version
that this command read, or the one given by --expect-version; else the row is shown as it is.

The edit id is printed before the edit is sent. If the answer is lost (exit code 7), run the same command again
with --edit-id and --expect-version as printed: an edit that was accepted is not made twice.`,
		Example: `  filbertledge table set booking-chat kind=chat pool=drafter-llm model=drafter deadline=20s token_sha256=DIGEST
  filbertledge table set booking-chat max_in_flight=64 --wait
  filbertledge table set booking-chat --delete`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeColumns,
		RunE: func(cmd *cobra.Command, args []string) error {
			f.hasExpect = cmd.Flags().Changed("expect-version")
			return a.remoteArgs(func(ctx context.Context, c *operator.Client, args []string) error {
				return a.set(ctx, c, f, args)
			})(cmd, args)
		},
	}
	cmd.Flags().Uint64Var(&f.expect, "expect-version", 0, "version that the row must have; 0 for a new row")
	cmd.Flags().StringVar(&f.editID, "edit-id", "", "edit id of an earlier run whose answer was lost")
	cmd.Flags().BoolVar(&f.remove, "delete", false, "delete the row")
	f.edit.register(cmd)
	return cmd
}

func completeColumns(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) == 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var out []string
	for _, c := range table.Columns() {
		if !c.ReadOnly && c.Name != "name" {
			out = append(out, c.Name+"=")
		}
	}
	return out, cobra.ShellCompDirectiveNoFileComp | cobra.ShellCompDirectiveNoSpace
}

func (a *app) set(ctx context.Context, c *operator.Client, f setFlags, args []string) error {
	view, err := a.readTable(ctx, c)
	if err != nil {
		return err
	}
	current, exists := view.Row(api.RowName(args[0]))
	if f.remove && !exists && !f.hasExpect {
		return noRow(args[0])
	}
	after, err := changed(current, args[0], args[1:], f.remove)
	if err != nil {
		return err
	}
	expect := current.Version
	if f.hasExpect {
		expect = f.expect
	}
	after.Version = expect
	edit := operator.EditRequest{ExpectedVersion: expect, Row: after, DryRun: f.edit.dryRun}
	if f.editID == "" {
		edit.EditID, err = newEditID()
	} else {
		edit.EditID, err = parseEditID(f.editID)
	}
	if err != nil {
		return err
	}
	if f.editID != "" {
		if done, ok, err := a.earlier(ctx, c, edit); ok || err != nil {
			return a.finishSet(ctx, c, f, edit, done, err)
		}
	}
	a.announce(edit)
	result, err := a.send(ctx, c, edit)
	return a.finishSet(ctx, c, f, edit, newSetResult(edit, result, table.Diff(current, after)), err)
}

func parseEditID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return id, errs.New(errs.InvalidArgument, "give the edit id that table set printed", "%q is not an edit id", text)
	}
	return id, nil
}

// changed returns the row with new values of some columns.
func changed(row table.Row, name string, assignments []string, remove bool) (table.Row, error) {
	row.Name = api.RowName(name)
	if remove {
		if len(assignments) > 0 {
			return row, errs.New(errs.InvalidArgument, "leave out the values or --delete", "row %q cannot be changed and deleted", name)
		}
		return table.Row{Name: row.Name, Deleted: true}, nil
	}
	if len(assignments) == 0 {
		return row, errs.New(errs.InvalidArgument, "give COLUMN=VALUE; filbertledge table columns lists the columns", "nothing to change in row %q", name)
	}
	for _, assignment := range assignments {
		column, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return row, errs.New(errs.InvalidArgument, "write COLUMN=VALUE", "row %q: %q is not an assignment", name, assignment)
		}
		if column == "name" && value != name {
			return row, errs.New(errs.InvalidArgument, "create a new row and delete this one", "row %q cannot be renamed", name)
		}
		if err := table.Set(&row, column, value); err != nil {
			return row, err
		}
	}
	return row, table.Validate(row)
}

// earlier looks in the history of the row for an edit that was sent before. An edit that is found there was
// accepted; sending it again could be refused, because the row it starts from has changed since.
func (a *app) earlier(ctx context.Context, c *operator.Client, edit operator.EditRequest) (setResult, bool, error) {
	ctx, cancel := a.limited(ctx)
	defer cancel()
	list, err := c.History(ctx, edit.Row.Name, 0)
	if errs.Is(err, errs.NotFound) {
		return setResult{}, false, nil
	}
	if err != nil {
		return setResult{}, false, err
	}
	for _, change := range list {
		if change.EditID == edit.EditID {
			return setResult{
				EditID: edit.EditID, Row: edit.Row.Name, Accepted: true, Replayed: true,
				Version: change.After.Version, Changes: change.Changes,
			}, true, nil
		}
	}
	return setResult{}, false, nil
}

// announcedEdit is printed to stderr before an edit is sent.
type announcedEdit struct {
	EditID          uuid.UUID   `json:"edit_id"`
	Row             api.RowName `json:"row"`
	ExpectedVersion uint64      `json:"expected_version"`
}

// announce prints what is needed to resend an edit whose answer is lost.
func (a *app) announce(edit operator.EditRequest) {
	if a.format == formatJSON {
		_ = json.NewEncoder(a.Stderr).Encode(announcedEdit{edit.EditID, edit.Row.Name, edit.ExpectedVersion})
		return
	}
	a.note("edit of row %s: --edit-id %s --expect-version %d", edit.Row.Name, edit.EditID, edit.ExpectedVersion)
}

// resendPause is the wait before an edit without an answer is sent again.
const resendPause = 300 * time.Millisecond

// send sends an edit until it is answered or the timeout ends. All attempts have the same edit id.
func (a *app) send(ctx context.Context, c *operator.Client, edit operator.EditRequest) (operator.EditResult, error) {
	ctx, cancel := a.limited(ctx)
	defer cancel()
	var open error
	for {
		result, err := c.Edit(ctx, edit)
		switch errs.KindOf(err) {
		case errs.OutcomeUnknown:
			open = err
		case errs.Unavailable, errs.NotLeader, errs.DeadlineExceeded, errs.Overloaded:
			if open != nil {
				err = open
			}
		default:
			return result, err
		}
		if !pause(ctx, resendPause) {
			return result, err
		}
	}
}

// setResult is the outcome of one edit.
type setResult struct {
	EditID       uuid.UUID      `json:"edit_id"`
	Row          api.RowName    `json:"row"`
	Accepted     bool           `json:"accepted"`
	Replayed     bool           `json:"replayed,omitempty"` // it was accepted before
	DryRun       bool           `json:"dry_run,omitempty"`
	Version      uint64         `json:"version"` // of the row
	TableVersion uint64         `json:"table_version,omitempty"`
	Changes      []table.Change `json:"changes,omitempty"`
	Winner       rowValues      `json:"current,omitempty"` // the row as it is, if the edit was refused
	Error        errs.Kind      `json:"error,omitempty"`
	Message      string         `json:"message,omitempty"`
}

func newSetResult(edit operator.EditRequest, result operator.EditResult, changes []table.Change) setResult {
	out := setResult{
		EditID: edit.EditID, Row: edit.Row.Name, Accepted: result.Row != nil && result.ErrorKind == "" && !edit.DryRun,
		Replayed: result.Replayed, DryRun: edit.DryRun, TableVersion: result.TableVersion, Changes: changes,
		Error: result.ErrorKind, Message: result.Message,
	}
	if result.Row != nil {
		out.Version = result.Row.Version
		if result.ErrorKind != "" {
			out.Winner = valuesOf(*result.Row)
		}
	}
	return out
}

func (a *app) finishSet(ctx context.Context, c *operator.Client, f setFlags, edit operator.EditRequest, result setResult, err error) error {
	if err != nil && result.Winner == nil {
		if errs.Is(err, errs.OutcomeUnknown) {
			return errs.Wrap(err, errs.OutcomeUnknown,
				fmt.Sprintf("run it again with --edit-id %s --expect-version %d", edit.EditID, edit.ExpectedVersion),
				"the edit of row %q may have been accepted", edit.Row.Name)
		}
		return err
	}
	if printErr := a.print(result, func(w io.Writer) { result.print(w) }); printErr != nil {
		return printErr
	}
	if err == nil && f.edit.wait && result.Accepted {
		err = a.waitReach(ctx, c)
	}
	return err
}

func (r setResult) print(w io.Writer) {
	if r.Winner != nil {
		fmt.Fprintf(w, "row %s is at version %d:\n", r.Row, r.Version)
		t := newTextTable(w)
		for _, c := range table.Columns() {
			t.row("  "+c.Name, r.Winner[c.Name])
		}
		t.flush()
		return
	}
	printChanges(w, r.Changes)
	switch {
	case r.DryRun:
		fmt.Fprintf(w, "row %s would be at version %d; nothing was changed\n", r.Row, r.Version)
	case r.Replayed:
		fmt.Fprintf(w, "row %s: this edit was accepted before, as version %d\n", r.Row, r.Version)
	default:
		fmt.Fprintf(w, "row %s is now at version %d (table version %d)\n", r.Row, r.Version, r.TableVersion)
	}
}

// waitReach waits until the newest table is in force everywhere. The newest table holds the edit, which was
// accepted before; the version of a repeated edit would never be reported by the VMs.
func (a *app) waitReach(ctx context.Context, c *operator.Client) error {
	ctx, cancel := a.limited(ctx)
	defer cancel()
	begin := time.Now()
	var missing []string
	for {
		list, err := c.Propagation(ctx, 0, true)
		if err == nil && len(list) == 0 {
			a.note("in force everywhere after %s", time.Since(begin).Round(time.Millisecond))
			return nil
		}
		if err == nil {
			missing = missing[:0]
			for _, vm := range list {
				missing = append(missing, string(vm.ID))
			}
			a.note("not yet in force on: %s", strings.Join(missing, ", "))
		} else if !errs.Is(err, errs.Unavailable) && !errs.Is(err, errs.OutcomeUnknown) && !errs.Is(err, errs.NotLeader) {
			return err
		}
		if !pause(ctx, resendPause) {
			break
		}
	}
	if len(missing) == 0 {
		return errs.New(errs.Unavailable, "the edit was accepted; check filbertledge status", "no VM could tell where the edit is in force")
	}
	return errs.New(errs.Unavailable, "the edit was accepted; check these VMs with filbertledge status",
		"the edit is not yet in force on %s", strings.Join(missing, ", "))
}

func (a *app) tableImportCommand() *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:   "import FILE.csv",
		Short: "Apply a CSV file row by row",
		Long: `Show how a CSV file differs from the table and apply it row by row. The first line names the columns. Columns
that the file leaves out keep their values, and rows that it leaves out are not changed. With the column version,
as table export writes it, rows that changed since the export are refused. Nothing is applied if any line of the
file is faulty; each error names the line, the row and the column.`,
		Example: "  filbertledge table import table.csv --dry-run\n  filbertledge table import table.csv --wait",
		Args:    cobra.ExactArgs(1),
		RunE: a.remoteArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			diffs, err := a.diffFile(ctx, c, args[0])
			if err != nil {
				return err
			}
			return a.apply(ctx, c, diffs, f)
		}),
	}
	f.register(cmd)
	return cmd
}

// apply makes one edit for each difference. A row that is refused does not stop the others.
func (a *app) apply(ctx context.Context, c *operator.Client, diffs []rowDiff, f editFlags) error {
	if a.format == formatTable {
		printDiffs(a.Stdout, diffs)
	}
	results := []setResult{}
	var first error
	for _, d := range diffs {
		id, err := newEditID()
		if err != nil {
			return err
		}
		edit := operator.EditRequest{EditID: id, ExpectedVersion: d.Version, Row: d.after, DryRun: f.dryRun}
		a.announce(edit)
		answer, err := a.send(ctx, c, edit)
		result := newSetResult(edit, answer, d.Changes)
		if err != nil {
			if result.Error == "" {
				result.Error, result.Message = errs.KindOf(err), err.Error()
			}
			a.note("row %s: %v", d.Row, err)
			if first == nil {
				first = err
			}
		}
		results = append(results, result)
	}
	return a.finishImport(ctx, c, results, first, f)
}

func (a *app) finishImport(ctx context.Context, c *operator.Client, results []setResult, first error, f editFlags) error {
	failed := 0
	for _, r := range results {
		if r.Error != "" {
			failed++
		}
	}
	err := a.print(results, func(w io.Writer) {
		verb := "applied"
		if f.dryRun {
			verb = "would be applied"
		}
		fmt.Fprintf(w, "%d row(s) %s, %d refused\n", len(results)-failed, verb, failed)
	})
	if err != nil {
		return err
	}
	if f.wait && !f.dryRun && failed < len(results) {
		if err := a.waitReach(ctx, c); err != nil && first == nil {
			return err
		}
	}
	return errs.Wrap(first, errs.KindOf(first), "run the import again: it sends only rows that differ",
		"%d of %d rows were not applied; the first", failed, len(results))
}
