// Command overhead measures what one entry VM adds to requests to a model engine: it compares latency and throughput
// through the entry VM with those of direct requests to the stand-in engine, with and without streaming, and measures
// the processor time of the entry VM per token. The stand-in engine generates tokens without delay, so that the
// difference is due to the entry VM.
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

// The goal constants are goals of the design page. The others are settings of the measurements.
const (
	goalP50         = 300 * time.Microsecond
	goalP99         = time.Millisecond
	goalTokenCPU    = 5 * time.Microsecond
	engineCapacity  = 1024
	startLimit      = 30 * time.Second
	defaultDuration = 4 * time.Second
	idleDuration    = 3 * time.Second
)

type options struct {
	bin         string
	duration    time.Duration // of each measurement
	concurrency int           // of the closed loops
	tokens      int           // of each answer
	seed        uint64
}

func main() {
	path, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
	var o options
	flag.StringVar(&o.bin, "bin", filepath.Dir(path), "folder with the binaries filbertledge and standin")
	flag.DurationVar(&o.duration, "duration", defaultDuration, "time of each measurement")
	flag.IntVar(&o.concurrency, "concurrency", 32, "concurrent requests when the throughput is measured")
	flag.IntVar(&o.tokens, "tokens", 100, "tokens of each answer")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// layout returns a deployment of one engine and three entry VMs, because the control group needs three failure
// domains. Only the first entry VM receives requests.
func layout() harness.Layout {
	const pool, model = "llm", "model"
	return harness.Layout{
		Name:    "overhead",
		VMs:     []harness.VMSpec{{Name: "vm-1", Domain: "a", Replica: true}, {Name: "vm-2", Domain: "b", Replica: true}, {Name: "vm-3", Domain: "c", Replica: true}},
		Engines: []harness.BackendSpec{{ID: "engine-1", Domain: "a", Pool: pool, Capacity: engineCapacity}},
		Model:   model,
		Rows:    []harness.RowSpec{{Name: rowName, Kind: "chat", Pool: pool, Model: model, Deadline: 30 * time.Second}},
	}
}

const rowName = "chat"

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	d, err := harness.Start(ctx, harness.Options{
		Layout: layout(), Filbertledge: filepath.Join(o.bin, "filbertledge"), Standin: filepath.Join(o.bin, "standin"),
		EngineArgs: []string{"--fast", "--no-log", "--cache-blocks=-1"},
	})
	cancel()
	if err != nil {
		return err
	}
	defer d.Close()
	printMachine()
	direct := newTarget("direct", d.Engines[0].Address, o)
	through := newTarget("entry VM", d.VMs[0].HTTP, o)
	if err := through.waitUntilServing(startLimit); err != nil {
		return fmt.Errorf("%w; the entry VM's log ends with %.2000s", err, d.VMs[0].Log())
	}
	return measure(o, d, direct, through)
}

// measure runs all measurements sequentially and prints the table of results and the comparison with the goals.
func measure(o options, d *harness.Deployment, direct, through *target) error {
	var rows []result
	var verdicts []goalResult
	pid := d.VMs[0].PID()
	idle, err := withCPU(pid, func() result {
		time.Sleep(idleDuration)
		return result{}
	})
	if err != nil {
		return err
	}
	fmt.Printf("the idle entry VM uses %.1f%% of a core\n", 100*idle.vmCPU.Seconds()/idleDuration.Seconds())
	for _, stream := range []bool{false, true} {
		full, err := withCPU(pid, func() result { return through.closedLoop(o, stream) })
		if err != nil {
			return err
		}
		rate := full.answersPerSecond / 2
		directResult := direct.openLoop(o, stream, rate)
		throughResult, err := withCPU(pid, func() result { return through.openLoop(o, stream, rate) })
		if err != nil {
			return err
		}
		rows = append(rows, direct.closedLoop(o, stream), full, directResult, throughResult)
		verdicts = append(verdicts, compare(directResult, throughResult, stream)...)
	}
	failed := 0
	printTable(rows)
	for _, r := range rows {
		failed += r.failed
	}
	printVerdicts(verdicts)
	if failed > 0 {
		return fmt.Errorf("%d requests failed, for example: %w", failed, through.firstError())
	}
	return nil
}
