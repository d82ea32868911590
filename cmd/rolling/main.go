// Command rolling restarts the entry VMs of the Galambkert layout one after the other under load, and checks that no
// request is cut off or refused. It exits with 1 if one was, and with 2 if it could not run.
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
	// runTimeout is several times the usual duration, in which each of the 8 entry VMs takes at least 5 s to drain.
	runTimeout = 4 * time.Minute
)

func main() {
	bin, err := harness.BinDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rolling:", err)
		os.Exit(exitFailed)
	}
	seed := flag.Uint64("seed", 1, "seed of the callers' choices")
	keep := flag.Bool("keep", false, "keep the folder with the logs of all processes")
	flag.StringVar(&bin, "bin", bin, "folder with the binaries filbertledge and standin")
	flag.Parse()
	kept, err := run(harness.Options{
		Layout:       harness.Galambkert(),
		Filbertledge: filepath.Join(bin, "filbertledge"),
		Standin:      filepath.Join(bin, "standin"),
		Keep:         *keep,
	}, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rolling:", err)
		os.Exit(exitFailed)
	}
	if !kept {
		os.Exit(exitViolation)
	}
}

func run(opts harness.Options, seed uint64) (kept bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return false, err
	}
	defer func() { err = d.Finish(kept, seed, err) }()
	if err := d.WaitForServers(ctx); err != nil {
		return false, err
	}
	r := newRollingRestart(d, seed)
	if err := r.runUnderLoad(ctx); err != nil {
		return false, err
	}
	return r.report(os.Stdout), nil
}
