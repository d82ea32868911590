package table

import (
	"cmp"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Bounds of a CSV file.
const (
	maxCSVBytes = 4 << 20
	maxCSVRows  = 10_000
)

// RowLookup returns the current row with the given name. Its values fill the columns that a CSV file omits.
type RowLookup func(api.RowName) (Row, bool)

// ReadCSV parses rows from CSV with a header line of column names. Columns that the file omits keep the values of
// the row that lookup returns; lookup may be nil. Errors are of kind errs.InvalidArgument and name the line.
func ReadCSV(r io.Reader, lookup RowLookup) ([]Row, error) {
	input := &io.LimitedReader{R: r, N: maxCSVBytes + 1}
	reader := csv.NewReader(input)
	reader.FieldsPerRecord = -1 // parseRow checks the field count, to name the missing column in the error
	reader.ReuseRecord = true
	p := csvParser{reader: reader, input: input, lookup: lookup, lineByRow: map[api.RowName]int{}}
	if err := p.parseHeader(); err != nil {
		return nil, err
	}
	for {
		row, err := p.parseRow()
		if errors.Is(err, io.EOF) {
			return p.rows, nil
		}
		if err != nil {
			return nil, err
		}
		p.rows = append(p.rows, row)
	}
}

type csvParser struct {
	reader    *csv.Reader
	input     *io.LimitedReader
	lookup    RowLookup
	columns   []*Column
	nameIndex int // index of the name column in the header, or -1
	lineByRow map[api.RowName]int
	rows      []Row
}

func lineError(line int, remedy, format string, args ...any) error {
	return errs.New(errs.InvalidArgument, remedy, "line %d: "+format, append([]any{line}, args...)...)
}

// readRecord returns the next record and its line number, or io.EOF at the end of the file.
func (p *csvParser) readRecord() ([]string, int, error) {
	record, err := p.reader.Read()
	if p.input.N <= 0 {
		return nil, 0, errs.New(errs.InvalidArgument, "split the file", "the CSV file has more than %d bytes", maxCSVBytes)
	}
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		return nil, 0, lineError(parse.Line, "quote fields that hold commas, quotes or line ends", "%v", parse.Err)
	}
	if errors.Is(err, io.EOF) {
		return nil, 0, io.EOF
	}
	if err != nil {
		return nil, 0, errs.Wrap(err, errs.InvalidArgument, "check that the file can be read", "reading CSV")
	}
	line, _ := p.reader.FieldPos(0)
	return record, line, nil
}

func (p *csvParser) parseHeader() error {
	record, line, err := p.readRecord()
	if errors.Is(err, io.EOF) {
		return lineError(1, "start with a line of column names", "the file is empty")
	}
	if err != nil {
		return err
	}
	p.nameIndex = -1
	for i, field := range record {
		if i == 0 {
			field = strings.TrimPrefix(field, "\ufeff") // spreadsheet programs write a byte order mark
		}
		if err := p.addColumn(line, strings.TrimSpace(field)); err != nil {
			return err
		}
	}
	if p.nameIndex < 0 {
		return lineError(line, "add the column", "column \"name\" is missing")
	}
	return nil
}

func (p *csvParser) addColumn(line int, name string) error {
	c, ok := columnsByName[name]
	if !ok {
		return lineError(line, "use one of: "+strings.Join(columnNames(), ", "), "column %q does not exist", name)
	}
	if slices.Contains(p.columns, c) {
		return lineError(line, "remove one of them", "column %q is repeated", name)
	}
	if name == "name" {
		p.nameIndex = len(p.columns)
	}
	p.columns = append(p.columns, c)
	return nil
}

func (p *csvParser) parseRow() (Row, error) {
	record, line, err := p.readRecord()
	if err != nil {
		return Row{}, err
	}
	if len(p.rows) == maxCSVRows {
		return Row{}, lineError(line, "split the file", "the file has more than %d rows", maxCSVRows)
	}
	if len(record) != len(p.columns) {
		return Row{}, lineError(line, "give one field for each column of the header", "%s",
			fieldCountMessage(record, p.columns))
	}
	row, err := p.rowFromRecord(record)
	if err != nil {
		return Row{}, errs.Wrap(err, errs.InvalidArgument, "", "line %d", line)
	}
	if first, ok := p.lineByRow[row.Name]; ok {
		return Row{}, lineError(line, "remove one of them", "row %q is repeated; it is also on line %d", row.Name, first)
	}
	p.lineByRow[row.Name] = line
	return row, nil
}

func fieldCountMessage(record []string, headerColumns []*Column) string {
	if len(record) > len(headerColumns) {
		return "the line has more fields than the header"
	}
	return "the line is short: column \"" + headerColumns[len(record)].Name + "\" is missing"
}

func (p *csvParser) rowFromRecord(record []string) (Row, error) {
	row := Row{}
	name := strings.TrimSpace(record[p.nameIndex])
	if p.lookup != nil {
		if current, ok := p.lookup(api.RowName(name)); ok {
			row = current
		}
	}
	row.Name = api.RowName(name)
	for i, c := range p.columns {
		if err := c.set(&row, record[i]); err != nil {
			return Row{}, err
		}
	}
	return row, Validate(row)
}

// WriteCSV writes rows with a header line, sorted by name.
func WriteCSV(w io.Writer, rows []Row) error {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	out := csv.NewWriter(w)
	if err := out.Write(columnNames()); err != nil {
		return err
	}
	record := make([]string, len(columns))
	for i := range rows {
		for j := range columns {
			record[j] = columns[j].format(&rows[i])
		}
		if err := out.Write(record); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
