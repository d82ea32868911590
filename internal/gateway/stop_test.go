package gateway

import (
	"testing"
	"time"
)

// Guards against taking requests late in a planned stop that cannot be answered before its end, and against refusing
// those that can.
func TestStopRefusesWhatItMayCut(t *testing.T) {
	begun := time.Unix(0, 0)
	s := &stop{begunAt: begun, endsAt: begun.Add(6 * time.Second)}
	for name, tc := range map[string]struct {
		at, lasts  time.Duration
		repeatable bool
		want       bool
	}{
		"short work":                               {at: 3 * time.Second, lasts: 2 * time.Second},
		"short work that may be repeated":          {at: 3 * time.Second, lasts: 2 * time.Second, repeatable: true},
		"long work at once":                        {at: 0, lasts: 10 * time.Second, want: true},
		"long work that may be repeated, at once":  {at: 0, lasts: 10 * time.Second, repeatable: true},
		"long work that may be repeated, late":     {at: 3 * time.Second, lasts: 10 * time.Second, repeatable: true, want: true},
		"work that ends just in time":              {at: 4 * time.Second, lasts: 2 * time.Second},
		"work that ends a moment after the end":    {at: 4 * time.Second, lasts: 2*time.Second + 1, want: true},
		"short work at the end, may be repeated":   {at: 5500 * time.Millisecond, lasts: 400 * time.Millisecond, repeatable: true},
		"short work past the end, may be repeated": {at: 5900 * time.Millisecond, lasts: 400 * time.Millisecond, repeatable: true, want: true},
	} {
		now := begun.Add(tc.at)
		if got := s.refuses(now, now.Add(tc.lasts), tc.repeatable); got != tc.want {
			t.Errorf("%s: refused %t, want %t", name, got, tc.want)
		}
	}
	if (*stop)(nil).refuses(begun, begun.Add(time.Hour), false) {
		t.Error("a VM that does not stop refuses a request")
	}
}
