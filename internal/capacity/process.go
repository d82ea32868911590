// Package capacity measures what the control work of a VM costs and how the cost grows with the size of the
// deployment. It starts real processes on loopback; docs/CAPACITY.md works with its figures.
package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of processor times in /proc: 100 a second on all Linux architectures that Go supports.
const clockTicks = 100

// Usage is what a process has used since its start, and its memory now.
type Usage struct {
	CPU      time.Duration
	Resident int64 // bytes
}

// ReadUsage reads the usage of the process pid.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("read the processor time of process %d: %w", pid, err)
	}
	cpu, err := parseCPU(string(stat))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("read the memory of process %d: %w", pid, err)
	}
	resident, err := parseResident(string(statm))
	return Usage{CPU: cpu, Resident: resident}, err
}

// parseCPU adds user and system time of a line of /proc/PID/stat. The second field, the name, may hold spaces
// and is in parentheses.
func parseCPU(stat string) (time.Duration, error) {
	end := strings.LastIndex(stat, ")")
	fields := strings.Fields(stat[end+1:])
	const user, system = 11, 12 // counted after the name
	if end < 0 || len(fields) <= system {
		return 0, fmt.Errorf("malformed stat line %q", stat)
	}
	var ticks int64
	for _, f := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("malformed stat line %q: %w", stat, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

func parseResident(statm string) (int64, error) {
	fields := strings.Fields(statm)
	if len(fields) < 2 {
		return 0, fmt.Errorf("malformed statm line %q", statm)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("malformed statm line %q: %w", statm, err)
	}
	return pages * int64(os.Getpagesize()), nil
}
