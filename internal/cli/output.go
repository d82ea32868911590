package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"filbertledge/internal/errs"
)

// print writes v to stdout, as JSON or, with --output table, by calling text.
func (a *app) print(v any, text func(io.Writer)) error {
	if a.format == formatJSON {
		encoder := json.NewEncoder(a.Stdout)
		encoder.SetIndent("", "  ")
		return errs.Wrap(encoder.Encode(v), errs.Internal, "", "cannot write the output")
	}
	text(a.Stdout)
	return nil
}

// printNote writes a message to stderr, so that stdout contains only the result. It writes nothing with --output json.
func (a *app) printNote(format string, args ...any) {
	if a.format == formatTable {
		fmt.Fprintf(a.Stderr, format+"\n", args...)
	}
}

// textTable writes rows with aligned columns.
type textTable struct {
	w *tabwriter.Writer
}

func newTextTable(w io.Writer, header ...string) *textTable {
	t := &textTable{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	if len(header) > 0 {
		t.row(toAny(header)...)
	}
	return t
}

func toAny(list []string) []any {
	out := make([]any, len(list))
	for i, s := range list {
		out[i] = s
	}
	return out
}

func (t *textTable) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, cell := range cells {
		parts[i] = replaceControlChars(fmt.Sprint(cell))
		if parts[i] == "" {
			parts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(parts, "\t"))
}

func (t *textTable) flush() { t.w.Flush() }

// replaceControlChars replaces control characters by question marks. Names and details come from other processes, and
// the terminal would execute escape sequences in them.
func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

// watchInterval is the delay between two updates of a command with --watch.
const watchInterval = time.Second

// clearScreen moves the cursor of an ANSI terminal to the top left corner and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// isTransient reports whether a later attempt may succeed, so that --watch continues after the error.
func isTransient(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.OutcomeUnknown, errs.NotLeader, errs.DeadlineExceeded, errs.Overloaded, errs.StaleTable:
		return true
	}
	return false
}

// watch calls show once or, if repeat is set, every watchInterval until ctx ends. The end of ctx is not an error.
func (a *app) watch(ctx context.Context, repeat bool, show func(context.Context) error) error {
	if !repeat {
		return show(ctx)
	}
	for {
		if a.format == formatTable && isTerminal(a.Stdout) {
			fmt.Fprint(a.Stdout, clearScreen)
		}
		if err := show(ctx); err != nil && ctx.Err() == nil {
			if !isTransient(err) {
				return err
			}
			a.printNote("%v", err)
		}
		if !sleep(ctx, watchInterval) {
			return nil
		}
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// formatAge formats the time since t in seconds. It returns an empty string for the zero time.
func formatAge(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return time.Since(t).Round(time.Second).String()
}
