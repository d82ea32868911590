package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxClosedWindows bounds the closed windows that wait for their report: 85 minutes of windows of 5 s.
	maxClosedWindows = 1024
	// maxWindowsAhead bounds the open windows: counts of later windows can only come from a wrong clock.
	maxWindowsAhead = 1024
	// silenceLimit is how long after its last delta an instance is dropped. Deltas that it repeats after that belong to
	// closed windows.
	silenceLimit = 10 * time.Minute
)

// Ledger is the replicated state of the counts. It is deterministic: all replicas apply the same changes in the same order.
type Ledger struct {
	// Length is the length of a window.
	Length    time.Duration       `cbor:"1,keyasint,omitempty"`
	Instances map[uint64]Instance `cbor:"2,keyasint,omitempty"`
	// Open holds the counts of the windows that are not closed, by window and workspace.
	Open map[int64]map[string]int64 `cbor:"3,keyasint,omitempty"`
	// ClosedThrough is the newest closed window; 0 if none was closed yet.
	ClosedThrough int64 `cbor:"4,keyasint,omitempty"`
	// Closed are the closed windows that have not been removed, the oldest first.
	Closed []ClosedWindow `cbor:"5,keyasint,omitempty"`
}

// Instance is a process of an entry VM that sent deltas.
type Instance struct {
	Sequence uint64 `cbor:"1,keyasint"` // of the last delta
	Window   int64  `cbor:"2,keyasint"` // newest window that was known when the instance last sent a delta
}

// ClosedWindow holds the counts of a closed window, which never change.
type ClosedWindow struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint,omitempty"` // by workspace, all positive
	Length time.Duration    `cbor:"3,keyasint"`
}

// End returns the end of the window, in nanoseconds since the start of 1970.
func (w ClosedWindow) End() int64 { return (w.Window + 1) * int64(w.Length) }

// SetLength sets the length of the windows. After a change, the numbers of the open windows mean other times; their counts
// are returned and dropped.
func (l *Ledger) SetLength(length time.Duration) (dropped []Count) {
	if l.Length == length {
		return nil
	}
	for window, counts := range l.Open {
		for workspace, n := range counts {
			dropped = append(dropped, Count{Window: window, Workspace: workspace, Requests: n})
		}
	}
	slices.SortFunc(dropped, compareCounts)
	*l = Ledger{Length: length, Instances: l.Instances, Closed: l.Closed}
	for id, instance := range l.Instances {
		instance.Window = 0
		l.Instances[id] = instance
	}
	return dropped
}

// Add adds a delta unless it has been added before. It returns the counts of closed windows, which are dropped. Deltas of
// an instance must arrive in the order of their sequence numbers, apart from repetitions.
func (l *Ledger) Add(d Delta) (late []Count) {
	instance := l.Instances[d.Instance]
	if d.Sequence <= instance.Sequence {
		return nil
	}
	instance.Sequence, instance.Window = d.Sequence, max(instance.Window, l.ClosedThrough)
	for _, c := range d.Counts {
		if c.Window <= l.ClosedThrough || l.ClosedThrough > 0 && c.Window > l.ClosedThrough+maxWindowsAhead {
			late = append(late, c)
			continue
		}
		instance.Window = max(instance.Window, c.Window)
		if l.Open == nil {
			l.Open = map[int64]map[string]int64{}
		}
		if l.Open[c.Window] == nil {
			l.Open[c.Window] = map[string]int64{}
		}
		l.Open[c.Window][c.Workspace] += c.Requests
	}
	if l.Instances == nil {
		l.Instances = map[uint64]Instance{}
	}
	l.Instances[d.Instance] = instance
	return late
}

// Close closes all windows up to the given one, and so fixes their counts. It returns the windows that are dropped without
// a report because too many wait for one.
func (l *Ledger) Close(through int64) (dropped []ClosedWindow) {
	if through <= l.ClosedThrough || l.Length <= 0 {
		return nil
	}
	from := l.ClosedThrough + 1
	if l.ClosedThrough == 0 {
		from = through
		if oldest := l.OldestOpen(); oldest > 0 {
			from = min(from, oldest)
		}
	}
	from = max(from, through-maxClosedWindows+1)
	for window, counts := range l.Open {
		if window < from { // no window was closed for more than an hour
			dropped = append(dropped, ClosedWindow{Window: window, Counts: counts, Length: l.Length})
			delete(l.Open, window)
		}
	}
	slices.SortFunc(dropped, func(a, b ClosedWindow) int { return cmp.Compare(a.Window, b.Window) })
	for window := from; window <= through; window++ {
		counts := l.Open[window]
		maps.DeleteFunc(counts, func(_ string, n int64) bool { return n <= 0 })
		l.Closed = append(l.Closed, ClosedWindow{Window: window, Counts: counts, Length: l.Length})
		delete(l.Open, window)
	}
	l.ClosedThrough = through
	if excess := len(l.Closed) - maxClosedWindows; excess > 0 {
		dropped = append(dropped, l.Closed[:excess]...)
		l.Closed = slices.Clone(l.Closed[excess:])
	}
	oldest := through - int64(silenceLimit/l.Length)
	maps.DeleteFunc(l.Instances, func(_ uint64, i Instance) bool { return i.Window < oldest })
	return dropped
}

// OldestOpen returns the oldest window with counts that is not closed, or 0.
func (l *Ledger) OldestOpen() int64 {
	oldest := int64(0)
	for window := range l.Open {
		if oldest == 0 || window < oldest {
			oldest = window
		}
	}
	return oldest
}

// Remove removes a closed window after its report was accepted.
func (l *Ledger) Remove(window int64, length time.Duration) {
	l.Closed = slices.DeleteFunc(slices.Clone(l.Closed), func(w ClosedWindow) bool { return w.Window == window && w.Length == length })
}

// ReportedSince returns the instances that sent a delta since the given window.
func (l *Ledger) ReportedSince(window int64) []uint64 {
	var out []uint64
	for id, i := range l.Instances {
		if i.Window >= window {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Clone returns a copy that further changes of the ledger do not affect.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Instances, c.Closed = maps.Clone(l.Instances), slices.Clone(l.Closed)
	c.Open = make(map[int64]map[string]int64, len(l.Open))
	for window, counts := range l.Open {
		c.Open[window] = maps.Clone(counts)
	}
	return &c
}
