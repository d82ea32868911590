package table

// Validate checks every column of r and the constraints between columns. Of a deleted row it checks only the name.
// The error is of kind errs.InvalidArgument.
func Validate(r Row) error {
	for i := range columns {
		c := &columns[i]
		if r.Deleted && c.Name != "name" {
			continue
		}
		text := c.format(&r)
		scratch := r
		if f := c.parse(&scratch, text); f != nil {
			return invalidValue(r.Name, c.Name, text, *f)
		}
	}
	if r.Deleted {
		return nil
	}
	return validateColumnCombinations(r)
}

// validateColumnCombinations checks the columns that are valid or required only for some kinds of rows.
func validateColumnCombinations(r Row) error {
	switch {
	case r.Kind != KindService && r.Model == "":
		return invalidValue(r.Name, "model", "", valueProblem{"a " + string(r.Kind) + " row requires a model", "name the model that the pool serves"})
	case r.Kind == KindService && r.Model != "":
		return invalidValue(r.Name, "model", r.Model, valueProblem{"a service row has no model", "leave it empty or change the kind"})
	case r.Kind != KindRollout && r.Scoring != "":
		return invalidValue(r.Name, "scoring", r.Scoring, valueProblem{"only rollout rows are scored", "leave it empty or change the kind"})
	case r.Kind == KindRollout && r.NonIdempotent:
		return invalidValue(r.Name, "non_idempotent", "true", valueProblem{"rollouts may be repeated", "use false or change the kind"})
	default:
		return nil
	}
}

// Change is the text of one column before and after an edit.
type Change struct {
	Column string `json:"column" cbor:"1,keyasint"`
	Before string `json:"before" cbor:"2,keyasint"`
	After  string `json:"after" cbor:"3,keyasint"`
}

// Diff returns the columns other than version in which the rows differ, in the order of Columns. All columns of a
// deleted or missing row count as empty.
func Diff(before, after Row) []Change {
	var out []Change
	for i := range columns {
		c := &columns[i]
		if c.Name == "version" {
			continue
		}
		b, a := c.valueForDiff(&before), c.valueForDiff(&after)
		if a != b {
			out = append(out, Change{Column: c.Name, Before: b, After: a})
		}
	}
	return out
}

// valueForDiff returns the text of the column, or nothing if the row is deleted or missing.
func (c *Column) valueForDiff(r *Row) string {
	if r.Deleted || r.Kind == "" {
		return ""
	}
	return c.format(r)
}

// EqualExceptVersion reports whether two rows are equal apart from their versions.
func EqualExceptVersion(a, b Row) bool {
	a.Version, b.Version = 0, 0
	return a == b
}
