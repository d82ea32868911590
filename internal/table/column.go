package table

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Column describes one column of the table. The list of columns drives Set, Get, Validate, Diff and CSV.
type Column struct {
	Name string
	Type string // string, integer, boolean, duration, range
	Unit string // unit of the value, or empty
	Help string
	// ReadOnly columns are exported and read back from CSV, but Set refuses them.
	ReadOnly bool

	format func(*Row) string
	parse  func(*Row, string) *fault
}

// fault is a bad value and what to do about it; the caller adds the row and the column.
type fault struct {
	reason string
	remedy string
}

// Limits of single values.
const (
	maxNameLength    = 63
	maxURLLength     = 1024
	maxInFlightLimit = 1_000_000
	maxPriority      = 1000
	minutesPerDay    = 1440
	maxDeadline      = 24 * time.Hour
	maxStalenessTime = 30 * 24 * time.Hour
	digestLength     = 64
	maxVersionsBound = 1_000_000
)

var columns = []Column{
	{
		Name: "name", Type: "string", Help: "name of the row",
		format: func(r *Row) string { return string(r.Name) },
		parse:  func(r *Row, s string) *fault { return parseName(s, (*string)(&r.Name)) },
	},
	{
		Name: "version", Type: "integer", Unit: "edits", Help: "number of accepted edits of the row", ReadOnly: true,
		format: func(r *Row) string { return strconv.FormatUint(r.Version, 10) },
		parse:  func(r *Row, s string) *fault { return parseUint(s, 1<<62, &r.Version) },
	},
	{
		Name: "kind", Type: "string", Help: "chat, rollout or service",
		format: func(r *Row) string { return string(r.Kind) },
		parse:  parseKind,
	},
	{
		Name: "pool", Type: "string", Help: "pool of backend servers",
		format: func(r *Row) string { return string(r.Pool) },
		parse:  func(r *Row, s string) *fault { return parseName(s, (*string)(&r.Pool)) },
	},
	{
		Name: "model", Type: "string", Help: "model of a chat or rollout row",
		format: func(r *Row) string { return r.Model },
		parse:  func(r *Row, s string) *fault { return parseOptionalName(s, &r.Model) },
	},
	{
		Name: "weights", Type: "range", Unit: "versions", Help: "weight versions that the row may use",
		format: func(r *Row) string { return r.Weights.String() },
		parse:  parseWeights,
	},
	{
		Name: "max_staleness_versions", Type: "integer", Unit: "versions", Help: "versions that a sample may be behind the newest",
		format: func(r *Row) string { return strconv.FormatUint(r.MaxStalenessVersions, 10) },
		parse:  func(r *Row, s string) *fault { return parseUint(s, maxVersionsBound, &r.MaxStalenessVersions) },
	},
	{
		Name: "max_staleness_time", Type: "duration", Help: "age that a sample's weights may have; 0s means no bound",
		format: func(r *Row) string { return formatDuration(r.MaxStalenessTime) },
		parse:  func(r *Row, s string) *fault { return parseDuration(s, maxStalenessTime, &r.MaxStalenessTime) },
	},
	{
		Name: "max_in_flight", Type: "integer", Unit: "requests", Help: "concurrent requests over the deployment; 0 means no bound",
		format: func(r *Row) string { return strconv.Itoa(r.MaxInFlight) },
		parse:  func(r *Row, s string) *fault { return parseInt(s, 0, maxInFlightLimit, &r.MaxInFlight) },
	},
	{
		Name: "priority", Type: "integer", Help: "higher goes first within a kind",
		format: func(r *Row) string { return strconv.Itoa(r.Priority) },
		parse:  func(r *Row, s string) *fault { return parseInt(s, -maxPriority, maxPriority, &r.Priority) },
	},
	{
		Name: "non_idempotent", Type: "boolean", Help: "each call runs at most once",
		format: func(r *Row) string { return strconv.FormatBool(r.NonIdempotent) },
		parse:  parseNonIdempotent,
	},
	{
		Name: "deadline", Type: "duration", Help: "default deadline of a request",
		format: func(r *Row) string { return formatDuration(r.Deadline) },
		parse:  func(r *Row, s string) *fault { return parseDuration(s, maxDeadline, &r.Deadline) },
	},
	{
		Name: "scoring", Type: "string", Help: "URL of the scoring service of a rollout row",
		format: func(r *Row) string { return r.Scoring },
		parse:  parseScoring,
	},
	{
		Name: "refusal_budget", Type: "integer", Unit: "minutes a day", Help: "refused minutes above which an alarm is raised",
		format: func(r *Row) string { return strconv.Itoa(r.RefusalBudget) },
		parse:  func(r *Row, s string) *fault { return parseInt(s, 0, minutesPerDay, &r.RefusalBudget) },
	},
	{
		Name: "token_sha256", Type: "string", Help: "SHA-256 of the row's bearer token in lower-case hexadecimal",
		format: func(r *Row) string { return r.TokenSHA256 },
		parse:  parseDigest,
	},
}

var columnByName = indexColumns()

func indexColumns() map[string]*Column {
	m := make(map[string]*Column, len(columns))
	for i := range columns {
		m[columns[i].Name] = &columns[i]
	}
	return m
}

// Columns returns the columns in the order of CSV files. The caller may change the returned slice.
func Columns() []Column { return append([]Column(nil), columns...) }

// Get formats the value of a column of r.
func Get(r Row, column string) (string, error) {
	c, ok := columnByName[column]
	if !ok {
		return "", unknownColumn(r.Name, column)
	}
	return c.format(&r), nil
}

// Set parses text into a column of r. The error is of kind errs.InvalidArgument; r is unchanged then.
func Set(r *Row, column, text string) error {
	c, ok := columnByName[column]
	if !ok {
		return unknownColumn(r.Name, column)
	}
	if c.ReadOnly {
		return invalid(r.Name, column, text, fault{"the column cannot be set", "leave it out; the service counts it"})
	}
	return c.set(r, text)
}

func (c *Column) set(r *Row, text string) error {
	next := *r
	if f := c.parse(&next, strings.TrimSpace(text)); f != nil {
		return invalid(r.Name, c.Name, text, *f)
	}
	*r = next
	return nil
}

func unknownColumn(row api.RowName, column string) error {
	return errs.New(errs.InvalidArgument, "use one of: "+strings.Join(columnNames(), ", "),
		"row %q: column %q does not exist", row, column)
}

func columnNames() []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.Name
	}
	return names
}

// shownValueBytes bounds how much of a bad value an error message repeats.
const shownValueBytes = 80

func invalid(row api.RowName, column, value string, f fault) error {
	if len(value) > shownValueBytes {
		value = value[:shownValueBytes] + "..."
	}
	return errs.New(errs.InvalidArgument, f.remedy, "row %q, column %q, value %q: %s", row, column, value, f.reason)
}

// String formats the rule as the weights column does: any, 5, 5.., ..9 or 5..9.
func (w WeightVersionRange) String() string {
	switch {
	case w.Min == 0 && w.Max == 0:
		return "any"
	case w.Min == w.Max:
		return strconv.FormatUint(uint64(w.Min), 10)
	case w.Max == 0:
		return fmt.Sprintf("%d..", w.Min)
	case w.Min == 0:
		return fmt.Sprintf("..%d", w.Max)
	default:
		return fmt.Sprintf("%d..%d", w.Min, w.Max)
	}
}
