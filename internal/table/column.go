package table

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Column describes one column of the table. Set, Get, Validate, Diff and the CSV functions all use the list columns.
type Column struct {
	Name string
	Type string // string, integer, boolean, duration, range
	Unit string // unit of the value, or empty
	Help string
	// ReadOnly columns are written to and read from CSV, but Set rejects them.
	ReadOnly bool

	format func(*Row) string
	parse  func(*Row, string) *valueProblem
}

// valueProblem describes an invalid value and its remedy. invalidValue adds the row and the column.
type valueProblem struct {
	reason string
	remedy string
}

// Bounds of column values.
const (
	maxRowVersion             = 1 << 62
	maxNameBytes              = 63
	maxURLBytes               = 1024
	maxInFlightBound          = 1_000_000
	maxPriority               = 1000
	maxRefusalBudgetMinutes   = 1440
	maxDefaultDeadline        = 24 * time.Hour
	maxStalenessTime          = 30 * 24 * time.Hour
	tokenDigestLength         = 64 // hexadecimal digits of a SHA-256 digest
	maxStalenessVersionsBound = 1_000_000
)

var columns = []Column{
	{
		Name: "name", Type: "string", Help: "name of the row",
		format: func(r *Row) string { return string(r.Name) },
		parse:  func(r *Row, s string) *valueProblem { return parseName(s, (*string)(&r.Name)) },
	},
	{
		Name: "version", Type: "integer", Unit: "edits", Help: "number of accepted edits of the row", ReadOnly: true,
		format: func(r *Row) string { return strconv.FormatUint(r.Version, 10) },
		parse:  func(r *Row, s string) *valueProblem { return parseUint(s, maxRowVersion, &r.Version) },
	},
	{
		Name: "kind", Type: "string", Help: "chat, rollout or service",
		format: func(r *Row) string { return string(r.Kind) },
		parse:  parseKind,
	},
	{
		Name: "pool", Type: "string", Help: "pool of backend servers",
		format: func(r *Row) string { return string(r.Pool) },
		parse:  func(r *Row, s string) *valueProblem { return parseName(s, (*string)(&r.Pool)) },
	},
	{
		Name: "model", Type: "string", Help: "model of a chat or rollout row",
		format: func(r *Row) string { return r.Model },
		parse:  func(r *Row, s string) *valueProblem { return parseOptionalName(s, &r.Model) },
	},
	{
		Name: "weights", Type: "range", Unit: "versions", Help: "weight versions that the row may use",
		format: func(r *Row) string { return r.Weights.String() },
		parse:  parseWeights,
	},
	{
		Name: "max_staleness_versions", Type: "integer", Unit: "versions", Help: "versions that a sample may be behind the newest",
		format: func(r *Row) string { return strconv.FormatUint(r.MaxStalenessVersions, 10) },
		parse: func(r *Row, s string) *valueProblem {
			return parseUint(s, maxStalenessVersionsBound, &r.MaxStalenessVersions)
		},
	},
	{
		Name: "max_staleness_time", Type: "duration", Help: "age that a sample's weights may have; 0s means no bound",
		format: func(r *Row) string { return formatDuration(r.MaxStalenessTime) },
		parse:  func(r *Row, s string) *valueProblem { return parseDuration(s, maxStalenessTime, &r.MaxStalenessTime) },
	},
	{
		Name: "max_in_flight", Type: "integer", Unit: "requests", Help: "concurrent requests over the deployment; 0 means no bound",
		format: func(r *Row) string { return strconv.Itoa(r.MaxInFlight) },
		parse:  func(r *Row, s string) *valueProblem { return parseInt(s, 0, maxInFlightBound, &r.MaxInFlight) },
	},
	{
		Name: "priority", Type: "integer", Help: "higher goes first within a kind",
		format: func(r *Row) string { return strconv.Itoa(r.Priority) },
		parse:  func(r *Row, s string) *valueProblem { return parseInt(s, -maxPriority, maxPriority, &r.Priority) },
	},
	{
		Name: "non_idempotent", Type: "boolean", Help: "each call runs at most once",
		format: func(r *Row) string { return strconv.FormatBool(r.NonIdempotent) },
		parse:  parseNonIdempotent,
	},
	{
		Name: "deadline", Type: "duration", Help: "default deadline of a request",
		format: func(r *Row) string { return formatDuration(r.Deadline) },
		parse:  func(r *Row, s string) *valueProblem { return parseDuration(s, maxDefaultDeadline, &r.Deadline) },
	},
	{
		Name: "scoring", Type: "string", Help: "URL of the scoring service of a rollout row",
		format: func(r *Row) string { return r.Scoring },
		parse:  parseScoring,
	},
	{
		Name: "refusal_budget", Type: "integer", Unit: "minutes a day", Help: "refused minutes above which an alarm is raised",
		format: func(r *Row) string { return strconv.Itoa(r.RefusalBudget) },
		parse:  func(r *Row, s string) *valueProblem { return parseInt(s, 0, maxRefusalBudgetMinutes, &r.RefusalBudget) },
	},
	{
		Name: "token_sha256", Type: "string", Help: "SHA-256 of the row's bearer token in lower-case hexadecimal",
		format: func(r *Row) string { return r.TokenSHA256 },
		parse:  parseTokenDigest,
	},
}

var columnsByName = indexColumns()

func indexColumns() map[string]*Column {
	m := make(map[string]*Column, len(columns))
	for i := range columns {
		m[columns[i].Name] = &columns[i]
	}
	return m
}

// Columns returns the columns in the order in which CSV files list them. The caller may modify the returned slice.
func Columns() []Column { return append([]Column(nil), columns...) }

// Get returns the text form of a column of r, as CSV files have it.
func Get(r Row, column string) (string, error) {
	c, ok := columnsByName[column]
	if !ok {
		return "", unknownColumnError(r.Name, column)
	}
	return c.format(&r), nil
}

// Set parses text into a column of r. On an error, which is of kind errs.InvalidArgument, r is unchanged.
func Set(r *Row, column, text string) error {
	c, ok := columnsByName[column]
	if !ok {
		return unknownColumnError(r.Name, column)
	}
	if c.ReadOnly {
		return invalidValue(r.Name, column, text, valueProblem{"the column cannot be set", "leave it out; the service counts it"})
	}
	return c.set(r, text)
}

func (c *Column) set(r *Row, text string) error {
	next := *r
	if f := c.parse(&next, strings.TrimSpace(text)); f != nil {
		return invalidValue(r.Name, c.Name, text, *f)
	}
	*r = next
	return nil
}

func unknownColumnError(row api.RowName, column string) error {
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

// maxErrorValueBytes bounds how much of an invalid value an error message quotes.
const maxErrorValueBytes = 80

func invalidValue(row api.RowName, column, value string, f valueProblem) error {
	if len(value) > maxErrorValueBytes {
		value = value[:maxErrorValueBytes] + "..."
	}
	return errs.New(errs.InvalidArgument, f.remedy, "row %q, column %q, value %q: %s", row, column, value, f.reason)
}

// String returns the text form of the weights column: any, 5, 5.., ..9 or 5..9.
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
