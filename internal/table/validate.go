package table

// Validate checks every column of r and the rules between columns. The error is of kind errs.InvalidArgument.
// Columns other than name of a deleted row are not checked.
func Validate(r Row) error {
	for i := range columns {
		c := &columns[i]
		if r.Deleted && c.Name != "name" {
			continue
		}
		text := c.format(&r)
		copied := r
		if f := c.parse(&copied, text); f != nil {
			return invalid(r.Name, c.Name, text, *f)
		}
	}
	if r.Deleted {
		return nil
	}
	return validateTogether(r)
}

func validateTogether(r Row) error {
	switch {
	case r.Kind != KindService && r.Model == "":
		return invalid(r.Name, "model", "", fault{"a " + string(r.Kind) + " row needs a model", "name the model that the pool serves"})
	case r.Kind == KindService && r.Model != "":
		return invalid(r.Name, "model", r.Model, fault{"a service row has no model", "leave it empty or change the kind"})
	case r.Kind != KindRollout && r.Scoring != "":
		return invalid(r.Name, "scoring", r.Scoring, fault{"only rollout rows are scored", "leave it empty or change the kind"})
	case r.Kind == KindRollout && r.NonIdempotent:
		return invalid(r.Name, "non_idempotent", "true", fault{"rollouts may be repeated", "use false or change the kind"})
	default:
		return nil
	}
}

// Change is the difference between two rows in one column.
type Change struct {
	Column string `json:"column" cbor:"1,keyasint"`
	Before string `json:"before" cbor:"2,keyasint"`
	After  string `json:"after" cbor:"3,keyasint"`
}

// Diff returns the columns in which before and after differ, in the order of the columns. The version is left
// out. A deleted row, or one that does not exist, counts as having empty values.
func Diff(before, after Row) []Change {
	var out []Change
	for i := range columns {
		c := &columns[i]
		if c.Name == "version" {
			continue
		}
		b, a := c.valueOf(&before), c.valueOf(&after)
		if a != b {
			out = append(out, Change{Column: c.Name, Before: b, After: a})
		}
	}
	return out
}

func (c *Column) valueOf(r *Row) string {
	if r.Deleted || r.Kind == "" {
		return ""
	}
	return c.format(r)
}

// EqualExceptVersion reports whether two rows are equal but for their versions.
func EqualExceptVersion(a, b Row) bool {
	a.Version, b.Version = 0, 0
	return a == b
}
