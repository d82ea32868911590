package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func (l *load) printReport() {
	fmt.Printf("%s for %v, seed %d, %d entry VMs\n", l.layout.Name, l.opts.duration, l.opts.seed, len(l.entries))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "row\tsent\tfailed\trefused minutes\tshort p50 ms\tp99 ms\tp99.9 ms\tlong p50 ms\tp99 ms\t")
	for _, c := range l.customers {
		failed := 0
		for _, n := range c.failed {
			failed += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", c.row.Name, c.sent, failed, len(c.refusedMinutes),
			ms(c.short, 50), ms(c.short, 99), ms(c.short, 99.9), ms(c.long, 50), ms(c.long, 99))
	}
	_ = w.Flush()
	for _, c := range l.customers {
		for code, n := range c.failed {
			fmt.Printf("%s: %d answers failed: %s\n", c.row.Name, n, code)
		}
	}
	fmt.Println()
	l.printTrainers()
}

func ms(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(q))/1000)
}

func (l *load) printTrainers() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "row\tsteps\tsamples\tidle s/step\tlongest step s\tversions behind, mean\tmax\tstale\tduplicated\t")
	for _, t := range l.trainers {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t\n", t.row.Name, t.steps, t.samples,
			perStep(t.idleTime, t.steps), t.longestStep.Seconds(), mean(t.versionsBehind), maxOf(t.versionsBehind), t.stale, t.duplicated)
	}
	_ = w.Flush()
	for _, t := range l.trainers {
		if t.err != nil {
			fmt.Printf("%s: a step was not finished: %v\n", t.row.Name, t.err)
		}
	}
}

func perStep(d time.Duration, steps int) float64 {
	if steps == 0 {
		return 0
	}
	return d.Seconds() / float64(steps)
}

func mean(list []uint64) float64 {
	sum := uint64(0)
	for _, v := range list {
		sum += v
	}
	return float64(sum) / float64(max(len(list), 1))
}

func maxOf(list []uint64) uint64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}
