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

// print writes v as JSON, or in the form that text writes.
func (a *app) print(v any, text func(io.Writer)) error {
	if a.format == formatJSON {
		encoder := json.NewEncoder(a.Stdout)
		encoder.SetIndent("", "  ")
		return errs.Wrap(encoder.Encode(v), errs.Internal, "", "cannot write the output")
	}
	text(a.Stdout)
	return nil
}

// note writes a line for a person to stderr, so that stdout holds only the result.
func (a *app) note(format string, args ...any) {
	if a.format == formatTable {
		fmt.Fprintf(a.Stderr, format+"\n", args...)
	}
}

// textTable writes aligned columns.
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
		parts[i] = printable(fmt.Sprint(cell))
		if parts[i] == "" {
			parts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(parts, "\t"))
}

func (t *textTable) flush() { t.w.Flush() }

// printable replaces control characters: names and details come from other processes, and escape sequences in
// them would act on the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

const defaultWatchInterval = time.Second

// clearScreen moves the cursor home and clears an ANSI terminal.
const clearScreen = "\x1b[H\x1b[2J"

// passing reports whether an error can go away by itself, so that a watch goes on.
func passing(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.OutcomeUnknown, errs.NotLeader, errs.DeadlineExceeded, errs.Overloaded, errs.StaleTable:
		return true
	}
	return false
}

// watch runs show once, or again and again until ctx ends. An interrupted watch is not an error.
func (a *app) watch(ctx context.Context, repeat bool, show func(context.Context) error) error {
	if !repeat {
		return show(ctx)
	}
	for {
		if a.format == formatTable && isTerminal(a.Stdout) {
			fmt.Fprint(a.Stdout, clearScreen)
		}
		if err := show(ctx); err != nil && ctx.Err() == nil {
			if !passing(err) {
				return err
			}
			a.note("%v", err)
		}
		if !pause(ctx, defaultWatchInterval) {
			return nil
		}
	}
}

// pause waits for d and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
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

// age formats the time since t for a person.
func age(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return time.Since(t).Round(time.Second).String()
}
