package main

import (
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/prometheus/procfs"
)

// cpuTime returns the user and system time that a process has used so far.
func cpuTime(pid int) (time.Duration, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return 0, fmt.Errorf("read the processor time of process %d: %w", pid, err)
	}
	stat, err := p.Stat()
	if err != nil {
		return 0, fmt.Errorf("read the processor time of process %d: %w", pid, err)
	}
	return time.Duration(stat.CPUTime() * float64(time.Second)), nil
}

// withCPU runs a measurement and records the processor time that process pid used during it.
func withCPU(pid int, measure func() result) (result, error) {
	before, err := cpuTime(pid)
	if err != nil {
		return result{}, err
	}
	r := measure()
	after, err := cpuTime(pid)
	r.vmCPU = after - before
	return r, err
}

// perCore returns the number of answers per second of processor time of the entry VM, formatted for the table.
func (r *result) perCore() string {
	if r.vmCPU == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(r.answers)/r.vmCPU.Seconds())
}

// printMachine prints the number of cores and the load average, because other load on the machine increases all
// latencies.
func printMachine() {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return
	}
	if load, err := fs.LoadAvg(); err == nil {
		fmt.Printf("%d cores, load average %.1f before the measurement\n", runtime.NumCPU(), load.Load1)
	}
}

// goalResult is a goal and the measured value to compare with it.
type goalResult struct {
	what     string
	measured time.Duration
	goal     time.Duration
}

func (r *result) quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (r *result) firstQuantile(q float64) time.Duration {
	return time.Duration(r.firstByte.ValueAtQuantile(q)) * time.Microsecond
}

// compare returns, for each goal, what the entry VM adds. For streams, the added latency is that of the first token,
// because the engine sends all tokens at once.
func compare(directResult, throughResult result, stream bool) []goalResult {
	if !stream {
		return []goalResult{
			{"whole answers, p50 added at half load", throughResult.quantile(50) - directResult.quantile(50), goalP50},
			{"whole answers, p99 added at half load", throughResult.quantile(99) - directResult.quantile(99), goalP99},
		}
	}
	list := []goalResult{
		{"streams, p50 added to the first token at half load", throughResult.firstQuantile(50) - directResult.firstQuantile(50), goalP50},
		{"streams, p99 added to the first token at half load", throughResult.firstQuantile(99) - directResult.firstQuantile(99), goalP99},
	}
	if throughResult.tokens > 0 {
		list = append(list, goalResult{"streams, processor time for each token", throughResult.vmCPU / time.Duration(throughResult.tokens), goalTokenCPU})
	}
	return list
}

func printTable(rows []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "target\tload\tanswers/s\tper VM core\ttokens/s\tp50 ms\tp99 ms\tfirst token p50 ms\tp99 ms\tfailed\t")
	for _, r := range rows {
		perAnswer := 0.0
		if r.answers > 0 {
			perAnswer = float64(r.tokens) / float64(r.answers)
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%s\t%.0f\t%s\t%s\t%s\t%s\t%d\t\n", r.target, r.kind, r.answersPerSecond, r.perCore(), r.answersPerSecond*perAnswer,
			ms(r.quantile(50)), ms(r.quantile(99)), ms(r.firstQuantile(50)), ms(r.firstQuantile(99)), r.failed)
	}
	_ = w.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.3f", float64(d)/float64(time.Millisecond)) }

func printVerdicts(list []goalResult) {
	for _, v := range list {
		word := "pass"
		if v.measured >= v.goal {
			word = "MISS"
		}
		fmt.Printf("%s: %s: %v (goal < %v)\n", word, v.what, v.measured.Round(100*time.Nanosecond), v.goal)
	}
	fmt.Println("The load generator, the engine and the entry VMs share this machine; throughput is that of one entry VM.")
}
