package coordinator

import (
	"testing"
	"time"
)

func TestTenure(t *testing.T) {
	type look struct {
		at            time.Duration
		held, leading bool
		want          tenureState
	}
	for name, looks := range map[string][]look{
		"a short lapse is bridged": {
			{0, true, true, tenureHeld},
			{100, false, true, tenureLapsed},
			{400, false, true, tenureLapsing},
			{450, true, true, tenureRegained},
			{475, true, true, tenureHeld},
		},
		"a second lapse gets the whole time again": {
			{0, true, true, tenureHeld},
			{400, false, true, tenureLapsed},
			{450, true, true, tenureRegained},
			{900, false, true, tenureLapsed},
			{951, false, true, tenureEnded},
		},
		"a long lapse ends it":                   {{0, true, true, tenureHeld}, {499, false, true, tenureLapsed}, {501, false, true, tenureEnded}},
		"another leader ends it at once":         {{0, true, true, tenureHeld}, {25, false, false, tenureEnded}},
		"a lease of another term counts nothing": {{0, true, true, tenureHeld}, {25, true, false, tenureEnded}},
		"a frozen VM ends it with the first look": {
			{0, true, true, tenureHeld},
			{5000, false, true, tenureEnded},
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := tenure{allowed: 500}
			for _, l := range looks {
				if got := state.observe(l.at, l.held, l.leading); got != l.want {
					t.Fatalf("at %d: got %d, want %d", l.at, got, l.want)
				}
			}
		})
	}
}
