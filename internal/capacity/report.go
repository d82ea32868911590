package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Sweep is a series of measurements in which one size of the deployment grows.
type Sweep struct {
	Name     string          `json:"name"`
	SizeUnit string          `json:"size"` // what the sizes count
	Points   []Measurement   `json:"points"`
	Fits     map[string]Fits `json:"fits"` // by role
}

// Measurement holds the costs that were measured at one size.
type Measurement struct {
	Size  float64       `json:"size"`
	Costs map[Role]Cost `json:"costs"`
}

// Fits holds the lines fitted to the costs of a role.
type Fits struct {
	CorePercent   Fit `json:"core_percent"`
	ResidentMB    Fit `json:"resident_mb"`
	WireBytesPerS Fit `json:"wire_bytes_per_s"`
}

// EditFigures holds the measured latencies of edits.
type EditFigures struct {
	VMs           int     `json:"vms"`
	Count         int     `json:"count"`
	AcceptedP50   float64 `json:"accepted_p50_ms"`
	AcceptedP99   float64 `json:"accepted_p99_ms"`
	EverywhereP50 float64 `json:"everywhere_p50_ms"`
	EverywhereP99 float64 `json:"everywhere_p99_ms"`
	AfterKill     float64 `json:"first_edit_after_leader_killed_ms"`
	AfterFreeze   float64 `json:"first_edit_after_leader_frozen_ms"`
}

// Figures holds the results of a run.
type Figures struct {
	Date            string      `json:"date"`
	SecondsPerPoint float64     `json:"seconds_per_point"`
	Sweeps          []Sweep     `json:"sweeps"`
	Edits           EditFigures `json:"edits"`
}

// Fit fits lines to the costs of each role that was measured at two or more sizes.
func (s *Sweep) Fit() {
	s.Fits = map[string]Fits{}
	for _, role := range []Role{RoleLeader, RoleFollower, RoleEntry} {
		var sizes, core, resident, wire []float64
		for _, p := range s.Points {
			if c, ok := p.Costs[role]; ok {
				sizes = append(sizes, p.Size)
				core, resident, wire = append(core, c.CorePercent), append(resident, c.ResidentMB), append(wire, c.WireBytesPerS)
			}
		}
		if len(slices.Compact(slices.Sorted(slices.Values(sizes)))) > 1 {
			s.Fits[string(role)] = Fits{CorePercent: NewFit(sizes, core), ResidentMB: NewFit(sizes, resident), WireBytesPerS: NewFit(sizes, wire)}
		}
	}
}

// Markdown returns the sweep as a Markdown table with a row for each size and role, and one for each fit.
func (s *Sweep) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "**%s**\n\n| %s | role | core %% | resident MB | wire bytes/s | servers known |\n|---|---|---|---|---|---|\n", s.Name, s.SizeUnit)
	for _, p := range s.Points {
		for _, role := range []Role{RoleLeader, RoleFollower, RoleEntry} {
			if c, ok := p.Costs[role]; ok {
				fmt.Fprintf(&b, "| %g | %s | %.2f | %.1f | %.0f | %.0f |\n", p.Size, role, c.CorePercent, c.ResidentMB, c.WireBytesPerS, c.ServersKnown)
			}
		}
	}
	for _, role := range []Role{RoleLeader, RoleFollower, RoleEntry} {
		if f, ok := s.Fits[string(role)]; ok {
			fmt.Fprintf(&b, "| slope (error) | %s | %.4f (%.0f%%) | %.4f (%.0f%%) | %.1f (%.0f%%) | |\n", role,
				f.CorePercent.Slope, 100*f.CorePercent.Error, f.ResidentMB.Slope, 100*f.ResidentMB.Error, f.WireBytesPerS.Slope, 100*f.WireBytesPerS.Error)
		}
	}
	return b.String()
}

// Markdown returns the figures as Markdown tables.
func (f *Figures) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s, %g s a point.\n\n", f.Date, f.SecondsPerPoint)
	for i := range f.Sweeps {
		b.WriteString(f.Sweeps[i].Markdown() + "\n")
	}
	e := f.Edits
	fmt.Fprintf(&b, "**Edits with %d VMs** (%d edits)\n\n| measure | p50 ms | p99 ms |\n|---|---|---|\n", e.VMs, e.Count)
	fmt.Fprintf(&b, "| accepted | %.1f | %.1f |\n| held by every VM | %.1f | %.1f |\n", e.AcceptedP50, e.AcceptedP99, e.EverywhereP50, e.EverywhereP99)
	fmt.Fprintf(&b, "\nFirst accepted edit %.0f ms after the leader was killed and %.0f ms after it was frozen.\n", e.AfterKill, e.AfterFreeze)
	return b.String()
}

// Write writes the figures as JSON to path.
func (f *Figures) Write(path string) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

const (
	figuresBegin = "<!-- figures:begin -->"
	figuresEnd   = "<!-- figures:end -->"
)

// FillPage replaces the text between the markers in the page at path with content.
func FillPage(path, content string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), figuresBegin)
	_, after, ok2 := strings.Cut(rest, figuresEnd)
	if !ok || !ok2 {
		return fmt.Errorf("%s has no marks %s and %s; add them where the tables go", path, figuresBegin, figuresEnd)
	}
	return os.WriteFile(path, []byte(before+figuresBegin+"\n\n"+content+"\n"+figuresEnd+after), 0o644)
}

// Milliseconds returns d in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
