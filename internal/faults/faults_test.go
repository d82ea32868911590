package faults

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a summary that omits a failure or a panic, and against a known failure that masks another failure.
func TestRunCountsResults(t *testing.T) {
	cells := []Cell{
		NewCell("p/one", func() error { return nil }),
		NewCell("p/two", func() error { return errors.New("broken") }),
		NewCell("p/three", func() error { return errors.New("known") }),
		NewCell("p/four", func() error { panic("lost") }),
	}
	var out strings.Builder
	s := Run(&out, cells, []string{"p/three", "p/one"})
	if got := s.String(); got != "faults: cells=4 passed=1 failed=2 red=1" {
		t.Errorf("summary %q", got)
	}
	want := "p/one passed\np/two FAILED: broken\np/three red: known\np/four FAILED: panic: lost\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// Guards against two sources whose cells have the same name, so that a known failure of one would cover the other.
func TestRegistryRefusesDuplicateCellNames(t *testing.T) {
	var r Registry
	source := func(uint64) ([]Cell, error) { return []Cell{NewCell("same", func() error { return nil })}, nil }
	r.Register("first", source)
	r.Register("second", source)
	if _, err := r.Cells(DefaultSeed, ""); err == nil {
		t.Error("two cells with one name were accepted")
	}
}
