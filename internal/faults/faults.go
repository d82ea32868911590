// Package faults is the deterministic fault matrix: a registry of cells. Each cell injects a fault or a pair of
// faults at one step of a protocol in virtual time and checks the outcome.
//
// Other packages add cells with Register, from an init function or from a constructor that cmd/faults calls.
package faults

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Cell is one test case of the matrix. Run must be deterministic and independent of other cells.
type Cell interface {
	// Name is unique and has the form protocol/step/fault.
	Name() string
	// Run executes the cell and returns the violation that it found, or nil.
	Run() error
}

// NewCell returns a cell that runs f.
func NewCell(name string, f func() error) Cell { return funcCell{name, f} }

type funcCell struct {
	name string
	run  func() error
}

func (c funcCell) Name() string { return c.name }

func (c funcCell) Run() error { return c.run() }

// Source returns the cells of one protocol for a seed. It may run the protocol without faults to determine its steps.
type Source func(seed uint64) ([]Cell, error)

// DefaultSeed is the seed with which all cells must pass.
const DefaultSeed = 1

// Registry holds the sources of cells by protocol name.
type Registry struct {
	names   []string
	sources map[string]Source
}

// Register adds a source. It panics if the name is taken.
func (r *Registry) Register(name string, s Source) {
	if r.sources == nil {
		r.sources = map[string]Source{}
	}
	if _, taken := r.sources[name]; taken {
		panic(fmt.Sprintf("cell source %q is already registered", name))
	}
	r.names = append(r.names, name)
	r.sources[name] = s
}

// Default is the registry that cmd/faults runs.
var Default Registry

// Register adds a source to the default registry.
func Register(name string, s Source) { Default.Register(name, s) }

// Cells returns those cells for the seed whose names contain filter, in the order of registration.
func (r *Registry) Cells(seed uint64, filter string) ([]Cell, error) {
	var cells []Cell
	seen := map[string]bool{}
	for _, name := range r.names {
		list, err := r.sources[name](seed)
		if err != nil {
			return nil, fmt.Errorf("protocol %s: %w", name, err)
		}
		for _, c := range list {
			if seen[c.Name()] {
				return nil, fmt.Errorf("protocol %s: duplicate cell name %s", name, c.Name())
			}
			seen[c.Name()] = true
			if strings.Contains(c.Name(), filter) {
				cells = append(cells, c)
			}
		}
	}
	return cells, nil
}

// Summary counts the results of a run.
type Summary struct {
	Cells, Passed, Failed int
	// KnownFailures counts the failed cells that are listed in KNOWN-RED.txt.
	KnownFailures int
}

// String returns the summary line of a run.
func (s Summary) String() string {
	return fmt.Sprintf("faults: cells=%d passed=%d failed=%d red=%d", s.Cells, s.Passed, s.Failed, s.KnownFailures)
}

type result struct {
	err     error
	elapsed time.Duration
}

// Run runs the cells in parallel and prints one line per cell, in the order of cells. Failures of cells whose names
// are in known are counted as known failures and printed as red.
func Run(w io.Writer, cells []Cell, known []string) Summary {
	results := runAll(cells)
	s := Summary{Cells: len(cells)}
	for i, c := range cells {
		r := results[i]
		switch {
		case r.err == nil:
			s.Passed++
			_, _ = fmt.Fprintf(w, "%s passed\n", c.Name())
		case slices.Contains(known, c.Name()):
			s.KnownFailures++
			_, _ = fmt.Fprintf(w, "%s red: %v\n", c.Name(), r.err)
		default:
			s.Failed++
			_, _ = fmt.Fprintf(w, "%s FAILED: %v\n", c.Name(), r.err)
		}
	}
	return s
}

// runAll runs the cells on all processors and returns their results in the order of cells.
func runAll(cells []Cell) []result {
	results := make([]result, len(cells))
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				results[i] = runOne(cells[i])
			}
		})
	}
	for i := range cells {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// runOne runs a cell. It reports a panic as a failure, so that the results of the other cells are not lost.
func runOne(c Cell) (r result) {
	start := time.Now()
	defer func() {
		r.elapsed = time.Since(start)
		if p := recover(); p != nil {
			r.err = fmt.Errorf("panic: %v", p)
		}
	}()
	r.err = c.Run()
	return r
}
