package rollout

import (
	"time"

	"filbertledge/internal/usage"
)

// UsageChange changes the counts of the workspaces' requests. The parts that are set are applied in the order of the fields.
type UsageChange struct {
	// Length is the length of a window.
	Length time.Duration `cbor:"1,keyasint"`
	Deltas []usage.Delta `cbor:"2,keyasint,omitempty"`
	// CloseThrough closes all windows up to this one; 0 closes none.
	CloseThrough int64 `cbor:"3,keyasint,omitempty"`
	// Remove is a closed window whose report was accepted; 0 removes none. RemoveLength is its length.
	Remove       int64         `cbor:"4,keyasint,omitempty"`
	RemoveLength time.Duration `cbor:"5,keyasint,omitempty"`
}

// changeUsage never sets Outcome.Changed, which would wake every call that waits for a change of the state several times a
// second.
func (s *State) changeUsage(c *UsageChange) Outcome {
	o := Outcome{Found: true}
	if c.Length <= 0 {
		return o
	}
	if s.usage == nil {
		s.usage = &usage.Ledger{}
	}
	o.LateUsage = s.usage.SetLength(c.Length)
	for _, d := range c.Deltas {
		o.LateUsage = append(o.LateUsage, s.usage.Add(d)...)
	}
	if c.CloseThrough > 0 {
		for _, w := range s.usage.Close(c.CloseThrough) {
			for workspace, n := range w.Counts {
				o.LateUsage = append(o.LateUsage, usage.Count{Window: w.Window, Workspace: workspace, Requests: n})
			}
		}
	}
	if c.Remove > 0 {
		s.usage.Remove(c.Remove, c.RemoveLength)
	}
	return o
}

// UsageView is what the leader needs of the counts.
type UsageView struct {
	Length        time.Duration
	ClosedThrough int64 // newest closed window; 0 if none was closed yet
	OldestOpen    int64 // oldest window with counts that is not closed; 0 if there is none
	// Closed are the closed windows that wait for their report, the oldest first. Their counts must not be changed.
	Closed []usage.ClosedWindow
	// Reporting are the instances of entry VMs that sent counts within the stated number of windows.
	Reporting []uint64
}

// Usage returns a view of the counts. Reporting covers the given number of windows before the newest closed one.
func (s *State) Usage(windows int64) UsageView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.usage == nil {
		return UsageView{}
	}
	return UsageView{
		Length: s.usage.Length, ClosedThrough: s.usage.ClosedThrough, OldestOpen: s.usage.OldestOpen(), Closed: append([]usage.ClosedWindow(nil), s.usage.Closed...),
		Reporting: s.usage.ReportedSince(s.usage.ClosedThrough - windows),
	}
}
