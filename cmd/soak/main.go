// Command soak runs the Galambkert layout under load and random faults, and checks the promises of the design page
// over the whole run. It prints the seed of the faults. It exits with 1 if a promise was violated, and with 2 if it
// could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filbertledge/internal/harness"
)

const (
	exitViolation = 1
	exitFailed    = 2
	// maxDuration bounds the load. shutdownTimeout is the additional time in which all targets must recover and all
	// callers must finish.
	maxDuration     = 30 * time.Minute
	shutdownTimeout = 3 * time.Minute
	maxSeed         = 1_000_000 // bounds the default seed, so that it is short enough to type
)

func main() {
	bin, err := harness.BinDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFailed)
	}
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano())%maxSeed, "seed of the faults and of the callers' choices")
	duration := flag.Duration("duration", 3*time.Minute, "time under load and faults, at most 30m")
	keep := flag.Bool("keep", false, "keep the folder with the logs of all processes")
	flag.StringVar(&bin, "bin", bin, "folder with the binaries filbertledge and standin")
	flag.Parse()
	fmt.Printf("seed %d, %v\n", *seed, min(*duration, maxDuration))
	kept, err := run(harness.Options{
		Layout:       harness.Galambkert(),
		Filbertledge: filepath.Join(bin, "filbertledge"),
		Standin:      filepath.Join(bin, "standin"),
		Keep:         *keep,
	}, *seed, min(*duration, maxDuration))
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFailed)
	}
	if !kept {
		os.Exit(exitViolation)
	}
}

func run(opts harness.Options, seed uint64, duration time.Duration) (kept bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), duration+shutdownTimeout)
	defer cancel()
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return false, err
	}
	defer func() { err = d.Finish(kept, seed, err) }()
	if err := d.WaitForServers(ctx); err != nil {
		return false, err
	}
	s := newSoak(d, seed)
	if err := s.runLoadAndFaults(ctx, duration); err != nil {
		return false, err
	}
	return s.report(os.Stdout)
}
