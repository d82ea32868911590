// Command rolling restarts every entry VM of the Galambkert layout, one after the other, under load, and checks
// that no request is cut off or refused. It exits with 1 if one was, and with 2 if it could not run.
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
	exitBroken = 1
	exitFailed = 2
	// timeLimit is several times the usual run, in which a drain takes at least 5 s for each of 8 entry VMs.
	timeLimit = 4 * time.Minute
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
		os.Exit(exitBroken)
	}
}

func run(opts harness.Options, seed uint64) (kept bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return false, err
	}
	defer func() { err = d.Finish(kept, seed, err) }()
	if err := d.WaitForServers(ctx); err != nil {
		return false, err
	}
	r := newRestarts(d, seed)
	if err := r.drive(ctx); err != nil {
		return false, err
	}
	return r.report(os.Stdout), nil
}
