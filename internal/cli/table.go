package cli

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/operator"
	"filbertledge/internal/table"
)

func (a *app) tableCommand() *cobra.Command {
	return commandGroup("table", "Read and edit the table of workloads",
		a.tableGetCommand(), a.tableSetCommand(), a.tableImportCommand(), a.tableExportCommand(),
		a.tableHistoryCommand(), a.tableDiffCommand(), a.tableColumnsCommand())
}

// rowValues maps the columns of a row to their values, in the format that table set accepts.
type rowValues map[string]string

func columnValues(row table.Row) rowValues {
	out := rowValues{}
	for _, c := range table.Columns() {
		out[c.Name], _ = table.Get(row, c.Name) // cannot fail, because table.Columns lists only existing columns
	}
	return out
}

// tableJSON is the JSON output of table get.
type tableJSON struct {
	Version uint64      `json:"version"`
	Fresh   bool        `json:"fresh"`
	VM      api.VMID    `json:"vm"`
	Rows    []rowValues `json:"rows"`
}

func (a *app) tableGetCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [ROW...]",
		Short:   "Print the table, or all columns of single rows",
		Example: "  filbertledge table get\n  filbertledge table get booking-chat -o json",
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, names []string) error {
			view, err := a.readTable(ctx, c)
			if err != nil {
				return err
			}
			rows, err := selectRows(view, names)
			if err != nil {
				return err
			}
			out := tableJSON{Version: view.Version, Fresh: view.LeaseValid, VM: view.VM, Rows: []rowValues{}}
			for _, row := range rows {
				out.Rows = append(out.Rows, columnValues(row))
			}
			return a.print(out, func(w io.Writer) {
				if len(names) > 0 {
					printRows(w, rows)
				} else {
					printTable(w, view)
				}
			})
		}),
	}
}

// readTable returns the table of the responding VM, and prints a warning if the VM's table lease has expired.
func (a *app) readTable(ctx context.Context, c *operator.Client) (operator.TableView, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	view, err := c.Table(ctx)
	if err == nil && !view.LeaseValid {
		a.printNote("warning: the table lease of VM %s has expired; this table may be old", view.VM)
	}
	return view, err
}

func selectRows(view operator.TableView, names []string) ([]table.Row, error) {
	if len(names) == 0 {
		return view.Rows, nil
	}
	var out []table.Row
	for _, name := range names {
		row, ok := view.Row(api.RowName(name))
		if !ok {
			return nil, rowNotFound(name)
		}
		out = append(out, row)
	}
	return out, nil
}

func rowNotFound(name string) error {
	return errs.New(errs.NotFound, "list the rows with filbertledge table get", "row %q does not exist", name)
}

// overviewColumns are the columns that table get prints for the whole table. With row names it prints all columns.
var overviewColumns = []string{
	"name", "version", "kind", "pool", "model", "weights", "max_staleness_versions", "max_in_flight", "priority", "deadline",
}

func printTable(w io.Writer, view operator.TableView) {
	t := newTextTable(w, overviewColumns...)
	for _, row := range view.Rows {
		values := columnValues(row)
		cells := make([]any, len(overviewColumns))
		for i, column := range overviewColumns {
			cells[i] = values[column]
		}
		t.row(cells...)
	}
	t.flush()
	fmt.Fprintf(w, "table version %d, from VM %s\n", view.Version, view.VM)
}

func printRows(w io.Writer, rows []table.Row) {
	for i, row := range rows {
		if i > 0 {
			fmt.Fprintln(w)
		}
		t := newTextTable(w)
		values := columnValues(row)
		for _, c := range table.Columns() {
			t.row(c.Name, values[c.Name])
		}
		t.flush()
	}
}

func (a *app) tableColumnsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "columns",
		Short: "List the columns of the table",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.print(table.Columns(), func(w io.Writer) {
				t := newTextTable(w, "COLUMN", "TYPE", "UNIT", "MEANING")
				for _, c := range table.Columns() {
					t.row(c.Name, c.Type, c.Unit, c.Help)
				}
				t.flush()
			})
		},
	}
}

func (a *app) tableExportCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "export",
		Short:   "Write the table as CSV",
		Long:    "Write the table as CSV. The column version lets table import detect rows that changed in between.",
		Example: "  filbertledge table export > table.csv\n  filbertledge table export --file table.csv",
		Args:    cobra.NoArgs,
		RunE: a.withClient(func(ctx context.Context, c *operator.Client) error {
			view, err := a.readTable(ctx, c)
			if err != nil {
				return err
			}
			if path == "" {
				return errs.Wrap(table.WriteCSV(a.Stdout, view.Rows), errs.Internal, "", "cannot write the table")
			}
			return exportFile(path, view.Rows)
		}),
	}
	cmd.Flags().StringVar(&path, "file", "", "file to write instead of standard output")
	return cmd
}

func exportFile(path string, rows []table.Row) error {
	const remedy = "choose a file that can be written"
	f, err := os.Create(path)
	if err != nil {
		return errs.Wrap(err, errs.InvalidArgument, remedy, "cannot write the table")
	}
	err = table.WriteCSV(f, rows)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errs.Wrap(err, errs.StorageFailed, remedy, "cannot write %s", path)
}

func (a *app) tableHistoryCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history ROW",
		Short:   "List the accepted edits of a row, newest first",
		Example: "  filbertledge table history booking-chat --limit 5",
		Args:    cobra.ExactArgs(1),
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			list, err := c.History(ctx, api.RowName(args[0]), limit)
			if err != nil {
				return err
			}
			return a.print(list, func(w io.Writer) { printHistory(w, list) })
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of edits; 0 for all that are kept")
	return cmd
}

func printHistory(w io.Writer, list []control.RowChange) {
	for _, change := range list {
		fmt.Fprintf(w, "version %d  %s  operator %s  edit %s\n", change.After.Version, change.At.Format(time.RFC3339),
			replaceControlChars(change.Operator), change.EditID)
		if change.After.Deleted {
			fmt.Fprintln(w, "  deleted")
			continue
		}
		printChanges(w, change.Changes)
	}
}

func printChanges(w io.Writer, list []table.Change) {
	for _, c := range list {
		fmt.Fprintf(w, "  %s: %s -> %s\n", c.Column, quoteIfEmpty(replaceControlChars(c.Before)), quoteIfEmpty(replaceControlChars(c.After)))
	}
}

func quoteIfEmpty(s string) string {
	if s == "" {
		return `""`
	}
	return s
}

// rowDiff is the difference between a row of the table and the row that an import asks for.
type rowDiff struct {
	Row     api.RowName    `json:"row"`
	Version uint64         `json:"version"` // row version that the edit expects; zero for a new row
	Changes []table.Change `json:"changes"`

	after table.Row
}

func printDiffs(w io.Writer, diffs []rowDiff) {
	for _, d := range diffs {
		what := fmt.Sprintf("version %d", d.Version)
		if d.Version == 0 {
			what = "new row"
		}
		if d.after.Deleted {
			what += ", deleted"
		}
		fmt.Fprintf(w, "%s (%s)\n", d.Row, what)
		printChanges(w, d.Changes)
	}
}

func (a *app) tableDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE.csv",
		Short:   "Show what importing a CSV file would change",
		Example: "  filbertledge table diff table.csv",
		Args:    cobra.ExactArgs(1),
		RunE: a.withClientAndArgs(func(ctx context.Context, c *operator.Client, args []string) error {
			diffs, err := a.diffFile(ctx, c, args[0])
			if err != nil {
				return err
			}
			return a.print(diffs, func(w io.Writer) {
				printDiffs(w, diffs)
				fmt.Fprintf(w, "%d row(s) differ\n", len(diffs))
			})
		}),
	}
}

// diffFile compares a CSV file with the table. It ignores rows that exist only in the table.
func (a *app) diffFile(ctx context.Context, c *operator.Client, path string) ([]rowDiff, error) {
	text, err := a.readTableFile(path)
	if err != nil {
		return nil, err
	}
	view, err := a.readTable(ctx, c)
	if err != nil {
		return nil, err
	}
	rows, err := table.ReadCSV(strings.NewReader(text), view.Row)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidArgument, "", "%s", path)
	}
	hasVersion := hasColumn(text, "version")
	diffs := []rowDiff{}
	for _, row := range rows {
		current, exists := view.Row(row.Name)
		if exists && table.EqualExceptVersion(current, row) {
			continue
		}
		if !hasVersion {
			row.Version = current.Version
		}
		diffs = append(diffs, rowDiff{Row: row.Name, Version: row.Version, Changes: table.Diff(current, row), after: row})
	}
	return diffs, nil
}

func hasColumn(text, name string) bool {
	header, _ := csv.NewReader(strings.NewReader(text)).Read()
	for _, column := range header {
		if strings.TrimSpace(strings.TrimPrefix(column, "\ufeff")) == name {
			return true
		}
	}
	return false
}

// maxTableFileBytes limits the size of a CSV file. A file with 10,000 rows is smaller.
const maxTableFileBytes = 4 << 20

// readTableFile reads the file at path, or standard input if path is "-".
func (a *app) readTableFile(path string) (string, error) {
	in := a.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", errs.Wrap(err, errs.InvalidArgument, "give a CSV file, or - for standard input", "cannot read the table")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxTableFileBytes+1))
	if err != nil {
		return "", errs.Wrap(err, errs.InvalidArgument, "give a CSV file, or - for standard input", "cannot read %s", path)
	}
	if len(data) > maxTableFileBytes {
		return "", errs.New(errs.PayloadTooLarge, "split it", "%s is larger than %d bytes", path, maxTableFileBytes)
	}
	return string(data), nil
}

func newEditID() (uuid.UUID, error) {
	id, err := uuid.NewV7()
	return id, errs.Wrap(err, errs.Internal, "", "cannot create an edit id")
}
