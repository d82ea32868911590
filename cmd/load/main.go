// Command load drives a deployment with the workload mix of Galambkert or Noelasilm for a limited time. Requests
// arrive open loop, at times that depend on a seed; a tenth of them are thirty times longer than the rest, and
// trainers run steps. It prints latency by row, refused minutes, trainer idle time and staleness.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
)

type options struct {
	bin             string
	layout          string
	entries         string
	duration        time.Duration
	chatRate        float64 // requests per second for each chat row
	callRate        float64 // calls per second for each service row
	groups          int     // number of groups in each trainer step
	groupSize       int
	optimizerTime   time.Duration // pause between two steps of a trainer
	weightsInterval time.Duration // interval at which new weights are published; zero for never
	slowEngines     int           // number of engines that are slowed down periodically
	slowFactor      float64       // factor on their time per token while they are slow
	seed            uint64
}

func main() {
	path, err := os.Executable()
	if err != nil {
		fatal(err)
	}
	var o options
	flag.StringVar(&o.bin, "bin", filepath.Dir(path), "folder with the binaries filbertledge and standin")
	flag.StringVar(&o.layout, "layout", "galambkert", "workload mix and layout: galambkert or noelasilm")
	flag.StringVar(&o.entries, "entry", "", "IP:port of the entry VMs of a running deployment, separated by commas")
	flag.DurationVar(&o.duration, "duration", 30*time.Second, "time for which work arrives")
	flag.Float64Var(&o.chatRate, "chat-rate", 40, "chat requests a second of each row")
	flag.Float64Var(&o.callRate, "call-rate", 20, "service calls a second of each row")
	flag.IntVar(&o.groups, "groups", 8, "groups of each trainer step")
	flag.IntVar(&o.groupSize, "group-size", 8, "samples of each group")
	flag.DurationVar(&o.optimizerTime, "optimizer", time.Second, "time between two steps of a trainer")
	flag.DurationVar(&o.weightsInterval, "weights", 10*time.Second, "interval of new weights; zero for none")
	flag.IntVar(&o.slowEngines, "slow", 0, "engines that are slowed for a second at a time, one after the other")
	flag.Float64Var(&o.slowFactor, "slow-factor", 8, "factor on the time per token of a slowed engine")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flag.Parse()
	if err := run(o); err != nil {
		fatal(err)
	}
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "load:", err)
	os.Exit(1)
}

func layoutByName(name string) (harness.Layout, error) {
	switch name {
	case "galambkert":
		return harness.Galambkert(), nil
	case "noelasilm":
		return harness.Noelasilm(), nil
	}
	return harness.Layout{}, fmt.Errorf("the layout %q does not exist; use galambkert or noelasilm", name)
}

func run(o options) error {
	layout, err := layoutByName(o.layout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.duration+2*time.Minute)
	defer cancel()
	l := &load{opts: o, layout: layout, entries: strings.Split(o.entries, ",")}
	if o.entries == "" {
		d, err := harness.Start(ctx, harness.Options{
			Layout: layout, Filbertledge: filepath.Join(o.bin, "filbertledge"), Standin: filepath.Join(o.bin, "standin"),
		})
		if err != nil {
			return err
		}
		defer d.Close()
		if err := d.WaitForServers(ctx); err != nil {
			return err
		}
		l.deployment = d
		l.entries = nil
		for _, vm := range d.VMs {
			l.entries = append(l.entries, vm.HTTP)
		}
	}
	l.runWorkload(ctx)
	l.printReport()
	return nil
}

// load is one run of the workload.
type load struct {
	opts       options
	layout     harness.Layout
	deployment *harness.Deployment // nil if the deployment was not started here
	entries    []string
	customers  []*customers
	trainers   []*trainerLoad
}

func (l *load) runWorkload(ctx context.Context) {
	arrivals, stop := context.WithTimeout(ctx, l.opts.duration)
	defer stop()
	var wg sync.WaitGroup
	for i, row := range l.layout.Rows {
		if row.Kind == "rollout" {
			t := newTrainerLoad(l, row, uint64(i))
			l.trainers = append(l.trainers, t)
			wg.Go(func() { t.run(arrivals, ctx) })
			continue
		}
		c := newCustomers(l, row, uint64(i))
		l.customers = append(l.customers, c)
		wg.Go(func() { c.run(arrivals, ctx) })
	}
	if l.deployment != nil && l.opts.weightsInterval > 0 && len(l.trainers) > 0 {
		wg.Go(func() { l.publish(arrivals) })
	}
	if l.deployment != nil {
		for i, e := range l.deployment.Engines[:min(l.opts.slowEngines, len(l.deployment.Engines))] {
			wg.Go(func() { l.slowPeriodically(arrivals, e, i) })
		}
	}
	wg.Wait()
}

const slowPeriod = time.Second

// slowPeriodically slows an engine down for one second in every three. The start is offset by index, so that the
// engines are slow at different times.
func (l *load) slowPeriodically(ctx context.Context, engine *harness.Backend, index int) {
	normal := 1.0
	pause(ctx, time.Duration(index)*slowPeriod)
	for ctx.Err() == nil {
		l.inject(ctx, engine, &l.opts.slowFactor)
		pause(ctx, slowPeriod)
		l.inject(ctx, engine, &normal)
		pause(ctx, 2*slowPeriod)
	}
}

func (l *load) inject(ctx context.Context, engine *harness.Backend, factor *float64) {
	err := l.deployment.InjectFaults(ctx, engine, standin.Faults{SlowFactor: factor})
	if err != nil && ctx.Err() == nil {
		fmt.Printf("slow %s down: %v\n", engine.ID, err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
