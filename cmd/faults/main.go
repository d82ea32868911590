// Command faults runs the deterministic fault matrix. It prints one line for each cell, which injects one fault or a
// pair of faults at one step of a protocol, and a summary.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"filbertledge/internal/faults"
)

// knownFailurePrefix starts a line of KNOWN-RED.txt that names a cell of the matrix that is known to fail.
const knownFailurePrefix = "cell: "

func main() {
	filter := flag.String("run", "", "run only the cells whose name contains this text")
	knownFile := flag.String("known-red", "KNOWN-RED.txt", "file with known failures, one line \"cell: NAME\" each")
	seed := flag.Uint64("seed", faults.DefaultSeed, "seed of the virtual network, clocks and elections")
	flag.Parse()
	os.Exit(run(*seed, *filter, *knownFile))
}

func run(seed uint64, filter, knownFile string) int {
	known, err := readKnownFailures(knownFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	cells, err := faults.Default.Cells(seed, filter)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	out := bufio.NewWriter(os.Stdout)
	summary := faults.Run(out, cells, known)
	if strings.HasPrefix("availability", filter) {
		if err := printAvailability(out, seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	_, _ = fmt.Fprintln(out, summary)
	if err := out.Flush(); err != nil || summary.Failed > 0 {
		return 1
	}
	return 0
}

// printAvailability prints the availability figures of the two ways to replace a voter.
func printAvailability(w io.Writer, seed uint64) error {
	list, err := faults.MeasureAvailability(seed)
	for _, a := range list {
		_, _ = fmt.Fprintln(w, a)
	}
	return err
}

// readKnownFailures returns the names of the cells that are known to fail. A missing file means that there are none.
func readKnownFailures(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), knownFailurePrefix); ok {
			names = append(names, name)
		}
	}
	return names, nil
}
