// Package capacity measures what the control work of a VM costs (processor time, memory and network traffic) and how
// these costs grow with the size of the deployment. It starts real processes on loopback. The calculations in
// docs/CAPACITY.md use its figures.
package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of ticks per second in which /proc counts processor time: 100 on all Linux architectures
// that Go supports.
const clockTicks = 100

// Usage is the processor time that a process has used since its start, and its current resident memory.
type Usage struct {
	CPU      time.Duration
	Resident int64 // bytes
}

// ReadUsage reads the usage of process pid from /proc.
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

// parseCPU returns the sum of the user and system time in a line of /proc/PID/stat. The second field, the process
// name, is in parentheses and may contain spaces.
func parseCPU(stat string) (time.Duration, error) {
	end := strings.LastIndex(stat, ")")
	fields := strings.Fields(stat[end+1:])
	const user, system = 11, 12 // indices of the fields after the name
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
