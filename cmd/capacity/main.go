// Command capacity measures what control costs a VM and how the cost grows with the number of VMs, backend servers,
// rows and edits. It fills the tables of docs/CAPACITY.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filbertledge/internal/capacity"
	"filbertledge/internal/harness"
)

const (
	latencyEdits = 200 // number of edits whose latency is measured
	editVMs      = 9   // VMs in that measurement: seven in the first failure domain and one in each of two others
	// runTimeout bounds the whole run.
	runTimeout = 25 * time.Minute
)

type sweepPlan struct {
	name, sizeUnit string
	sizes          []float64
	spec           func(size float64) capacity.DeploymentSpec
}

// sweepPlans returns the sweeps, with sizes that fit on one machine. The largest sizes of the sweeps over VMs,
// servers and failure domains correspond to the size of one failure domain that is planned for two years ahead: 27
// VMs, and 2,000 servers over 15 failure domains.
func sweepPlans() []sweepPlan {
	return []sweepPlan{
		{"VMs in one failure domain, 133 servers there", "VMs", []float64{2, 4, 8, 16, 27}, func(n float64) capacity.DeploymentSpec {
			return capacity.DeploymentSpec{Domains: 3, VMs: int(n), Servers: 133, Rows: 1}
		}},
		{"Servers in the own failure domain, 8 VMs", "servers", []float64{0, 33, 67, 133}, func(n float64) capacity.DeploymentSpec {
			return capacity.DeploymentSpec{Domains: 3, VMs: 8, Servers: int(n), Rows: 1}
		}},
		{"Failure domains of one VM and 133 servers each, 4 VMs in the own", "failure domains", []float64{3, 7, 15}, func(n float64) capacity.DeploymentSpec {
			return capacity.DeploymentSpec{Domains: int(n), VMs: 4, Servers: 133, OtherServers: 133, Rows: 1}
		}},
		{"Rows, 4 VMs in one failure domain", "rows", []float64{1, 100, 500}, func(n float64) capacity.DeploymentSpec {
			return capacity.DeploymentSpec{Domains: 3, VMs: 4, Rows: int(n)}
		}},
		{"Edits a second, 4 VMs in one failure domain", "edits/s", []float64{0, 2, 8}, func(n float64) capacity.DeploymentSpec {
			return capacity.DeploymentSpec{Domains: 3, VMs: 4, Rows: 1, EditsPerS: n}
		}},
	}
}

func main() {
	path, err := os.Executable()
	if err != nil {
		fail(err)
	}
	bin := flag.String("bin", filepath.Dir(path), "folder with the binaries filbertledge and standin")
	duration := flag.Duration("duration", 8*time.Second, "time of each measurement")
	warmup := flag.Duration("warmup", 4*time.Second, "time before each measurement")
	figures := flag.String("figures", "docs/capacity.json", "file for the figures; empty writes none")
	page := flag.String("page", "docs/CAPACITY.md", "page whose tables are filled; empty fills none")
	only := flag.Int("only", 0, "number of the only sweep to run; 0 runs all and the edits")
	flag.Parse()
	o := capacity.OptionsForBinaries(*bin)
	o.Duration, o.Warmup = *duration, *warmup
	if err := o.CheckBinaries(); err != nil {
		fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	result, err := run(ctx, o, *only)
	if err != nil {
		fail(err)
	}
	fmt.Println(result.Markdown())
	if *figures != "" && *only == 0 {
		if err := result.Write(*figures); err != nil {
			fail(err)
		}
	}
	if *page != "" && *only == 0 {
		if err := capacity.FillPage(*page, result.Markdown()); err != nil {
			fail(err)
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "capacity:", err)
	os.Exit(1)
}

func run(ctx context.Context, o capacity.Options, only int) (*capacity.Figures, error) {
	f := &capacity.Figures{Date: time.Now().UTC().Format(time.DateOnly), SecondsPerPoint: o.Duration.Seconds()}
	for i, plan := range sweepPlans() {
		if only != 0 && only != i+1 {
			continue
		}
		s, err := measureSweep(ctx, o, plan)
		if err != nil {
			return nil, err
		}
		f.Sweeps = append(f.Sweeps, s)
	}
	if only != 0 {
		return f, nil
	}
	var err error
	f.Edits, err = measureEdits(ctx, o)
	return f, err
}

func measureSweep(ctx context.Context, o capacity.Options, plan sweepPlan) (capacity.Sweep, error) {
	s := capacity.Sweep{Name: plan.name, SizeUnit: plan.sizeUnit}
	for _, size := range plan.sizes {
		costs, err := measure(ctx, o, plan.spec(size))
		if err != nil {
			return s, fmt.Errorf("%s, %g: %w", plan.name, size, err)
		}
		fmt.Fprintf(os.Stderr, "%s: %g done\n", plan.name, size)
		s.Points = append(s.Points, capacity.Measurement{Size: size, Costs: costs})
	}
	s.Fit()
	return s, nil
}

func measure(ctx context.Context, o capacity.Options, p capacity.DeploymentSpec) (map[capacity.Role]capacity.Cost, error) {
	d, err := capacity.Start(ctx, o, p)
	if err != nil {
		return nil, err
	}
	costs, err := d.Measure(ctx, o)
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return costs, err
}

func measureEdits(ctx context.Context, o capacity.Options) (capacity.EditFigures, error) {
	d, err := capacity.Start(ctx, o, capacity.DeploymentSpec{Domains: 3, VMs: editVMs - 2, Rows: 1})
	if err != nil {
		return capacity.EditFigures{}, err
	}
	defer d.Close()
	latencies, err := d.MeasureEditLatency(ctx, latencyEdits)
	if err != nil {
		return capacity.EditFigures{}, err
	}
	e := capacity.EditFigures{VMs: editVMs, Count: latencyEdits}
	var accepted, everywhere []float64
	for _, r := range latencies {
		accepted = append(accepted, capacity.Milliseconds(r.Accepted))
		everywhere = append(everywhere, capacity.Milliseconds(r.Everywhere))
	}
	e.AcceptedP50, e.AcceptedP99 = capacity.Percentile(accepted, 0.5), capacity.Percentile(accepted, 0.99)
	e.EverywhereP50, e.EverywhereP99 = capacity.Percentile(everywhere, 0.5), capacity.Percentile(everywhere, 0.99)
	return e, measureRecoveries(ctx, d, &e)
}

// measureRecoveries measures the recovery after the leader is frozen and, once that VM has been resumed, the recovery
// after the next leader is killed.
func measureRecoveries(ctx context.Context, d *capacity.Deployment, e *capacity.EditFigures) error {
	var frozen *harness.VM
	took, err := d.MeasureRecovery(ctx, func(vm *harness.VM) error { frozen = vm; return vm.Freeze() })
	if err != nil {
		return err
	}
	e.AfterFreeze = capacity.Milliseconds(took)
	if err := frozen.Resume(); err != nil {
		return err
	}
	if err := d.WaitReady(ctx, frozen); err != nil {
		return err
	}
	took, err = d.MeasureRecovery(ctx, (*harness.VM).Kill)
	e.AfterKill = capacity.Milliseconds(took)
	return err
}
