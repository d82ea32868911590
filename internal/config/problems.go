package config

import (
	"fmt"
	"strings"

	"filbertledge/internal/errs"
)

// Problem is one fault in a settings file.
type Problem struct {
	File    string `json:"file"`
	Key     string `json:"key"` // such as limits.body or control.replicas[1].address
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.File, p.Key, p.Message, p.Remedy)
}

// Problems is a list of problems in the order of the file's sections.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// err returns nil if the list is empty, and else an error of kind ConfigInvalid that wraps the list.
func (p Problems) err(file string) error {
	if len(p) == 0 {
		return nil
	}
	return errs.Wrap(p, errs.ConfigInvalid, "", "%s has %d problem(s)", file, len(p))
}

// report adds problems of one file.
type report struct {
	file     string
	problems Problems
	warnings Problems
}

func (r *report) add(key, remedy, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, key, fmt.Sprintf(format, args...), remedy})
}

func (r *report) warn(key, remedy, format string, args ...any) {
	r.warnings = append(r.warnings, Problem{r.file, key, fmt.Sprintf(format, args...), remedy})
}
