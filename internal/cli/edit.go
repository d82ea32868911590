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

// setFlags holds the flags of table set.
type setFlags struct {
	expectVersion    uint64
	hasExpectVersion bool // --expect-version was given, possibly with the value zero
	editID           string
	remove           bool
	edit             editFlags
}

// editFlags holds the flags that table set and table import have in common.
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
			f.hasExpectVersion = cmd.Flags().Changed("expect-version")
			return a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
				return a.setRow(ctx, c, f, args)
			})(cmd, args)
		},
	}
	cmd.Flags().Uint64Var(&f.expectVersion, "expect-version", 0, "version that the row must have; 0 for a new row")
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

// setRow makes one edit. With an edit id from an earlier run, it sends the edit only if it was not accepted then.
func (a *app) setRow(ctx context.Context, c *operator.Client, f setFlags, args []string) error {
	view, err := a.readTable(ctx, c)
	if err != nil {
		return err
	}
	current, exists := view.Row(api.RowName(args[0]))
	if f.remove && !exists && !f.hasExpectVersion {
		return rowNotFound(args[0])
	}
	edited, err := applyAssignments(current, args[0], args[1:], f.remove)
	if err != nil {
		return err
	}
	expected := current.Version
	if f.hasExpectVersion {
		expected = f.expectVersion
	}
	edited.Version = expected
	edit := operator.EditRequest{ExpectedVersion: expected, Row: edited, DryRun: f.edit.dryRun}
	if f.editID == "" {
		edit.EditID, err = newEditID()
	} else {
		edit.EditID, err = parseEditID(f.editID)
	}
	if err != nil {
		return err
	}
	if f.editID != "" {
		if outcome, ok, err := a.findAcceptedEdit(ctx, c, edit); ok || err != nil {
			return a.reportSet(ctx, c, f, edit, outcome, err)
		}
	}
	a.printResendInfo(edit)
	result, err := a.sendEdit(ctx, c, edit)
	return a.reportSet(ctx, c, f, edit, newEditOutcome(edit, result, table.Diff(current, edited)), err)
}

// editIDVersion is the UUID version of edit ids.
const editIDVersion = 7

func parseEditID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != editIDVersion {
		return id, errs.New(errs.InvalidArgument, "give the edit id that table set printed", "%q is not an edit id", text)
	}
	return id, nil
}

// applyAssignments returns a copy of row that is changed as the command line asks: with the values of COLUMN=VALUE
// assignments, or marked as deleted.
func applyAssignments(row table.Row, name string, assignments []string, remove bool) (table.Row, error) {
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

// findAcceptedEdit searches the history of the row for an edit with the same edit id. If there is one, the edit was
// accepted and must not be sent again: it could be refused, because the row may have changed since.
func (a *app) findAcceptedEdit(ctx context.Context, c *operator.Client, edit operator.EditRequest) (editOutcome, bool, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	list, err := c.History(ctx, edit.Row.Name, 0)
	if errs.Is(err, errs.NotFound) {
		return editOutcome{}, false, nil
	}
	if err != nil {
		return editOutcome{}, false, err
	}
	for _, change := range list {
		if change.EditID == edit.EditID {
			return editOutcome{
				EditID: edit.EditID, Row: edit.Row.Name, Accepted: true, Replayed: true,
				Version: change.After.Version, Changes: change.Changes,
			}, true, nil
		}
	}
	return editOutcome{}, false, nil
}

// resendInfo contains what an operator needs to resend an edit after a lost response.
type resendInfo struct {
	EditID          uuid.UUID   `json:"edit_id"`
	Row             api.RowName `json:"row"`
	ExpectedVersion uint64      `json:"expected_version"`
}

// printResendInfo writes the flags with which an edit can be resent to stderr. It is called before the edit is sent.
func (a *app) printResendInfo(edit operator.EditRequest) {
	if a.format == formatJSON {
		_ = json.NewEncoder(a.Stderr).Encode(resendInfo{edit.EditID, edit.Row.Name, edit.ExpectedVersion})
		return
	}
	a.printNote("edit of row %s: --edit-id %s --expect-version %d", edit.Row.Name, edit.EditID, edit.ExpectedVersion)
}

// retryDelay is the delay between two attempts to send an edit or to ask where an edit is in force.
const retryDelay = 300 * time.Millisecond

// sendEdit sends an edit until there is a response or the timeout expires. All attempts have the same edit id, so the
// edit is made at most once. After an attempt with unknown outcome, a later failure to reach a VM does not replace that
// error.
func (a *app) sendEdit(ctx context.Context, c *operator.Client, edit operator.EditRequest) (operator.EditResult, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	var unknownOutcome error
	for {
		result, err := c.Edit(ctx, edit)
		switch errs.KindOf(err) {
		case errs.OutcomeUnknown:
			unknownOutcome = err
		case errs.Unavailable, errs.NotLeader, errs.DeadlineExceeded, errs.Overloaded:
			if unknownOutcome != nil {
				err = unknownOutcome
			}
		default:
			return result, err
		}
		if !sleep(ctx, retryDelay) {
			return result, err
		}
	}
}

// editOutcome is the outcome of one edit, as printed by table set and table import.
type editOutcome struct {
	EditID       uuid.UUID      `json:"edit_id"`
	Row          api.RowName    `json:"row"`
	Accepted     bool           `json:"accepted"`
	Replayed     bool           `json:"replayed,omitempty"` // an earlier request with this edit id was accepted
	DryRun       bool           `json:"dry_run,omitempty"`
	Version      uint64         `json:"version"` // of the row
	TableVersion uint64         `json:"table_version,omitempty"`
	Changes      []table.Change `json:"changes,omitempty"`
	CurrentRow   rowValues      `json:"current,omitempty"` // the current row, if the edit was refused
	Error        errs.Kind      `json:"error,omitempty"`
	Message      string         `json:"message,omitempty"`
}

func newEditOutcome(edit operator.EditRequest, result operator.EditResult, changes []table.Change) editOutcome {
	out := editOutcome{
		EditID: edit.EditID, Row: edit.Row.Name, Accepted: result.Row != nil && result.ErrorKind == "" && !edit.DryRun,
		Replayed: result.Replayed, DryRun: edit.DryRun, TableVersion: result.TableVersion, Changes: changes,
		Error: result.ErrorKind, Message: result.Message,
	}
	if result.Row != nil {
		out.Version = result.Row.Version
		if result.ErrorKind != "" {
			out.CurrentRow = columnValues(*result.Row)
		}
	}
	return out
}

// reportSet prints the outcome of table set, and with --wait waits until the edit is in force on all VMs. If the edit
// failed without an outcome, it prints nothing and returns an error; for an unknown outcome, that error says how to
// resend the edit.
func (a *app) reportSet(ctx context.Context, c *operator.Client, f setFlags, edit operator.EditRequest, result editOutcome, err error) error {
	if err != nil && result.CurrentRow == nil {
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
		err = a.waitUntilInForce(ctx, c)
	}
	return err
}

func (r editOutcome) print(w io.Writer) {
	if r.CurrentRow != nil {
		fmt.Fprintf(w, "row %s is at version %d:\n", r.Row, r.Version)
		t := newTextTable(w)
		for _, c := range table.Columns() {
			t.row("  "+c.Name, r.CurrentRow[c.Name])
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

// waitUntilInForce waits until the newest table, which contains the accepted edit, is in force on all VMs. It does not
// wait for the version in the edit's result: for a repeated edit, the VMs would never report that version.
func (a *app) waitUntilInForce(ctx context.Context, c *operator.Client) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	start := time.Now()
	var pending []string
	for {
		list, err := c.Propagation(ctx, 0, true)
		if err == nil && len(list) == 0 {
			a.printNote("in force everywhere after %s", time.Since(start).Round(time.Millisecond))
			return nil
		}
		if err == nil {
			pending = pending[:0]
			for _, vm := range list {
				pending = append(pending, string(vm.ID))
			}
			a.printNote("not yet in force on: %s", strings.Join(pending, ", "))
		} else if !errs.Is(err, errs.Unavailable) && !errs.Is(err, errs.OutcomeUnknown) && !errs.Is(err, errs.NotLeader) {
			return err
		}
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	if len(pending) == 0 {
		return errs.New(errs.Unavailable, "the edit was accepted; check filbertledge status", "no VM could tell where the edit is in force")
	}
	return errs.New(errs.Unavailable, "the edit was accepted; check these VMs with filbertledge status",
		"the edit is not yet in force on %s", strings.Join(pending, ", "))
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
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			diffs, err := a.diffFile(ctx, c, args[0])
			if err != nil {
				return err
			}
			return a.importRows(ctx, c, diffs, f)
		}),
	}
	f.register(cmd)
	return cmd
}

// importRows makes one edit for each difference. After a refused row it continues with the next one.
func (a *app) importRows(ctx context.Context, c *operator.Client, diffs []rowDiff, f editFlags) error {
	if a.format == formatTable {
		printDiffs(a.Stdout, diffs)
	}
	results := []editOutcome{}
	var firstErr error
	for _, d := range diffs {
		id, err := newEditID()
		if err != nil {
			return err
		}
		edit := operator.EditRequest{EditID: id, ExpectedVersion: d.Version, Row: d.after, DryRun: f.dryRun}
		a.printResendInfo(edit)
		response, err := a.sendEdit(ctx, c, edit)
		result := newEditOutcome(edit, response, d.Changes)
		if err != nil {
			if result.Error == "" {
				result.Error, result.Message = errs.KindOf(err), err.Error()
			}
			a.printNote("row %s: %v", d.Row, err)
			if firstErr == nil {
				firstErr = err
			}
		}
		results = append(results, result)
	}
	return a.reportImport(ctx, c, results, firstErr, f)
}

// reportImport prints the outcomes of table import, and with --wait waits until the edits are in force on all VMs. It
// returns an error if a row was not applied.
func (a *app) reportImport(ctx context.Context, c *operator.Client, results []editOutcome, firstErr error, f editFlags) error {
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
		if err := a.waitUntilInForce(ctx, c); err != nil && firstErr == nil {
			return err
		}
	}
	return errs.Wrap(firstErr, errs.KindOf(firstErr), "run the import again: it sends only rows that differ",
		"%d of %d rows were not applied; the first", failed, len(results))
}
