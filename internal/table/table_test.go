package table

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

const testTokenDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func rolloutRow() Row {
	return Row{
		Name: "stitch-advice", Version: 3, Kind: KindRollout, Pool: "tutor-llm", Model: "tutor",
		Weights: WeightVersionRange{Min: 4}, MaxStalenessVersions: 2, MaxStalenessTime: 33 * time.Minute, MaxInFlight: 400,
		Priority: -1, Deadline: 150 * time.Millisecond, Scoring: "http://10.0.0.5:8080/score", TokenSHA256: testTokenDigest,
	}
}

// Guards against values that are parsed wrongly, and against errors that do not name the row, the column and a remedy.
func TestSetParsesOrRefusesValue(t *testing.T) {
	tests := []struct {
		column, text string
		want         string // as Get formats it; unused if remedy is set
		remedy       string // part of the expected error; empty means that the value is accepted
	}{
		{"max_staleness_time", "33m", "33m", ""},
		{"max_staleness_time", "2h0m0s", "2h", ""},
		{"deadline", " 150ms ", "150ms", ""},
		{"deadline", "1h0m10s", "1h0m10s", ""},
		{"deadline", "150", "", "write it like 150ms"},
		{"deadline", "-1s", "", "use 0s to 24h"},
		{"deadline", "25h", "", "use 0s to 24h"},
		{"weights", "any", "any", ""},
		{"weights", "5", "5", ""},
		{"weights", "5..", "5..", ""},
		{"weights", "..9", "..9", ""},
		{"weights", "5..9", "5..9", ""},
		{"weights", "9..5", "", "lower version first"},
		{"weights", "0..5", "", "versions start at 1"},
		{"weights", "5..9..", "", "versions start at 1"},
		{"max_in_flight", "12", "12", ""},
		{"max_in_flight", "-1", "", "use 0 to 1000000"},
		{"max_in_flight", "1e3", "", "digits only"},
		{"kind", "batch", "", "use chat, rollout or service"},
		{"name", "", "", "give a name"},
		{"pool", "a b", "", "use letters, digits"},
		{"pool", strings.Repeat("a", 64), "", "use at most 63"},
		{"non_idempotent", "yes", "", "use true or false"},
		{"scoring", "ftp://host/x", "", "http://"},
		{"scoring", "", "", ""},
		{"token_sha256", strings.ToUpper(testTokenDigest), "", "64 lower-case"},
		{"version", "4", "", "leave it out"},
		{"colour", "red", "", "use one of: name, version, kind"},
	}
	for _, tt := range tests {
		r := rolloutRow()
		before := r
		err := Set(&r, tt.column, tt.text)
		if tt.remedy == "" {
			got, getErr := Get(r, tt.column)
			if err != nil || getErr != nil || got != tt.want {
				t.Errorf("Set(%s, %q): %q, %v; want %q", tt.column, tt.text, got, err, tt.want)
			}
			continue
		}
		if !errs.Is(err, errs.InvalidArgument) || !strings.Contains(err.Error(), tt.remedy) ||
			!strings.Contains(err.Error(), "stitch-advice") || !strings.Contains(err.Error(), tt.column) {
			t.Errorf("Set(%s, %q): %v; want an error that names row and column and says %q", tt.column, tt.text, err, tt.remedy)
		}
		if r != before {
			t.Errorf("Set(%s, %q) changed the row on error", tt.column, tt.text)
		}
	}
}

// Guards against accepting a row with a value out of bounds or with columns that contradict each other.
func TestValidateRefusesContradictoryColumns(t *testing.T) {
	tests := []struct {
		column string
		change func(*Row)
	}{
		{"model", func(r *Row) { r.Model = "" }},
		{"model", func(r *Row) { r.Kind, r.Scoring = KindService, "" }},
		{"scoring", func(r *Row) { r.Kind = KindChat }},
		{"non_idempotent", func(r *Row) { r.NonIdempotent = true }},
		{"weights", func(r *Row) { r.Weights = WeightVersionRange{Min: 3, Max: 2} }},
		{"deadline", func(r *Row) { r.Deadline = -time.Second }},
		{"token_sha256", func(r *Row) { r.TokenSHA256 = "" }},
		{"refusal_budget", func(r *Row) { r.RefusalBudget = 1441 }},
	}
	if err := Validate(rolloutRow()); err != nil {
		t.Fatalf("valid row: %v", err)
	}
	if err := Validate(Row{Name: "gone", Deleted: true}); err != nil {
		t.Fatalf("deleted row: %v", err)
	}
	for _, tt := range tests {
		r := rolloutRow()
		tt.change(&r)
		if err := Validate(r); !errs.Is(err, errs.InvalidArgument) || !strings.Contains(err.Error(), `column "`+tt.column+`"`) {
			t.Errorf("column %s: %v", tt.column, err)
		}
	}
}

// Guards against a field of Row without a column: it could not be edited and would be lost in a CSV export.
func TestColumnsCoverRowFields(t *testing.T) {
	fields := reflect.TypeFor[Row]().NumField() - 1 // Deleted is not a column
	if len(Columns()) != fields {
		t.Fatalf("%d columns for %d fields", len(Columns()), fields)
	}
}

// Guards against values that change between a CSV export and its import.
func TestCSVExportImportsUnchanged(t *testing.T) {
	second := rolloutRow()
	second.Name, second.Kind, second.Scoring, second.NonIdempotent = "booking", KindChat, "", true
	var out bytes.Buffer
	if err := WriteCSV(&out, []Row{rolloutRow(), second}); err != nil {
		t.Fatal(err)
	}
	got, err := ReadCSV(bytes.NewReader(out.Bytes()), nil)
	if err != nil || !reflect.DeepEqual(got, []Row{second, rolloutRow()}) {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against an import that clears the columns that the file omits.
func TestCSVImportKeepsOmittedColumns(t *testing.T) {
	lookup := func(name api.RowName) (Row, bool) { return rolloutRow(), name == "stitch-advice" }
	got, err := ReadCSV(strings.NewReader("\ufeffname,priority\r\nstitch-advice,5\r\n"), lookup)
	want := rolloutRow()
	want.Priority = 5
	if err != nil || len(got) != 1 || got[0] != want {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against imports that accept malformed files, and against errors that do not name the line.
func TestCSVErrorsNameLine(t *testing.T) {
	lookup := func(name api.RowName) (Row, bool) {
		r := rolloutRow()
		r.Name = name
		return r, true
	}
	tests := []struct{ name, csv, want string }{
		{"empty", "", "line 1: the file is empty"},
		{"unknown column", "name,colour\n", `line 1: column "colour" does not exist`},
		{"repeated column", "name,pool,pool\n", `line 1: column "pool" is repeated`},
		{"no name", "pool\n", `column "name" is missing`},
		{"repeated row", "name\na\nb\na\n", `line 4: row "a" is repeated; it is also on line 2`},
		{"short line", "name,pool\na\n", `line 2: the line is short: column "pool" is missing`},
		{"long line", "name\na,b\n", "line 2: the line has more fields"},
		{"bad value", "name,deadline\na,1s\nb,soon\n", `line 3: row "b", column "deadline", value "soon"`},
		{"quote", "name\na\"b\n", "line 2"},
		{"contradiction", "name,model\na,\n", `line 2: row "a", column "model"`},
	}
	for _, tt := range tests {
		_, err := ReadCSV(strings.NewReader(tt.csv), lookup)
		if !errs.Is(err, errs.InvalidArgument) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v; want %q", tt.name, err, tt.want)
		}
	}
	if _, err := ReadCSV(strings.NewReader("name\n"+strings.Repeat("x", maxCSVBytes)), lookup); !errs.Is(err, errs.InvalidArgument) {
		t.Errorf("oversized file: %v", err)
	}
}

// Guards against a Diff that omits a change, so that an operator confirms an edit without seeing it.
func TestDiffListsChangedColumns(t *testing.T) {
	after := rolloutRow()
	after.Version++
	after.MaxInFlight, after.Weights.Max = 0, 9
	want := []Change{{"weights", "4..", "4..9"}, {"max_in_flight", "400", "0"}}
	if got := Diff(rolloutRow(), after); !reflect.DeepEqual(got, want) {
		t.Errorf("Diff: %+v", got)
	}
	if got := Diff(Row{}, rolloutRow()); len(got) == 0 || got[0] != (Change{"name", "", "stitch-advice"}) {
		t.Errorf("Diff of a new row: %+v", got)
	}
}

// Guards against a WithRows that modifies the snapshot that readers already hold.
func TestWithRowsKeepsOlderSnapshot(t *testing.T) {
	older := NewSnapshot(1, map[api.RowName]Row{"a": {Name: "a", Version: 1}})
	newer := older.WithRows(2, Row{Name: "a", Deleted: true}, Row{Name: "b", Version: 1})
	if _, ok := older.Row("a"); !ok || older.Len() != 1 || older.Version() != 1 {
		t.Error("the older snapshot changed")
	}
	if list := newer.SortedRows(); len(list) != 1 || list[0].Name != "b" {
		t.Errorf("newer snapshot: %+v", list)
	}
}

// Guards against input that crashes the parser, and against accepted rows that cannot be exported and imported again.
func FuzzReadCSV(f *testing.F) {
	var out bytes.Buffer
	if err := WriteCSV(&out, []Row{rolloutRow()}); err != nil {
		f.Fatal(err)
	}
	f.Add(out.Bytes())
	f.Add([]byte("name,name\n"))
	f.Add([]byte("\ufeffname,kind,pool,token_sha256\n\"a\n\",chat,,\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := ReadCSV(bytes.NewReader(data), nil)
		if err != nil {
			if !errs.Is(err, errs.InvalidArgument) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		var out bytes.Buffer
		if err := WriteCSV(&out, rows); err != nil {
			t.Fatal(err)
		}
		again, err := ReadCSV(&out, nil)
		if err != nil || len(again) != len(rows) {
			t.Fatalf("second import: %v", err)
		}
	})
}
