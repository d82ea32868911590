// Command demo runs the Galambkert layout as separate processes, sends chat requests, bookings and trainer steps while
// it injects faults, and checks the promises of the design page by comparing the logs of the stand-ins with the answers
// that the callers received. It exits with 1 if a promise was violated and with 2 if the demo itself could not run.
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
	// runTimeout exceeds the goal of 60 s, so that a run on a slow machine still reaches the checks of the promises.
	runTimeout = 100 * time.Second
)

func main() {
	bin, err := harness.BinDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitFailed)
	}
	seed := flag.Uint64("seed", 1, "seed of the callers' choices")
	keep := flag.Bool("keep", false, "keep the folder with the logs of all processes")
	flag.StringVar(&bin, "bin", bin, "folder with the binaries filbertledge and standin")
	flag.Parse()
	opts := harness.Options{
		Layout:       harness.Galambkert(),
		Filbertledge: filepath.Join(bin, "filbertledge"),
		Standin:      filepath.Join(bin, "standin"),
		Keep:         *keep,
	}
	kept, err := run(opts, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitFailed)
	}
	if !kept {
		os.Exit(exitViolation)
	}
}

// run starts the deployment, runs the demo on it and reports whether all promises were kept.
func run(opts harness.Options, seed uint64) (kept bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	start := time.Now()
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return false, err
	}
	defer func() { err = d.Finish(kept, seed, err) }()
	fmt.Printf("started %d entry VMs, %d engines and %d services in %.1f s; logs in %s\n",
		len(d.VMs), len(d.Engines), len(d.Services), time.Since(start).Seconds(), d.Dir)
	demo := newDemo(d, seed)
	if err := demo.runLoadAndPlan(ctx); err != nil {
		return false, err
	}
	kept, err = demo.report()
	fmt.Fprintf(os.Stderr, "took %.1f s\n", time.Since(start).Seconds())
	return kept, err
}
