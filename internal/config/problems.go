package config

import (
	"fmt"
	"strings"

	"filbertledge/internal/errs"
)

// Problem is one error or warning about a settings file.
type Problem struct {
	File    string `json:"file"`
	Key     string `json:"key"` // for example limits.body or control.replicas[1].address
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.File, p.Key, p.Message, p.Remedy)
}

// Problems is a list of problems. It is an error with one line for each problem.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// err returns nil if the list is empty. Otherwise it returns an error of kind ConfigInvalid that wraps the list.
func (p Problems) err(file string) error {
	if len(p) == 0 {
		return nil
	}
	return errs.Wrap(p, errs.ConfigInvalid, "", "%s has %d problem(s)", file, len(p))
}

// checker checks settings files and collects their problems. The field file names the file that is being checked.
type checker struct {
	file     string
	problems Problems
	warnings Problems
}

func (r *checker) add(key, remedy, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, key, fmt.Sprintf(format, args...), remedy})
}

func (r *checker) warn(key, remedy, format string, args ...any) {
	r.warnings = append(r.warnings, Problem{r.file, key, fmt.Sprintf(format, args...), remedy})
}
