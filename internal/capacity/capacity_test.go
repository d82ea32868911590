package capacity

import (
	"math"
	"testing"
	"time"
)

// Guards against reading the wrong fields when the process name contains spaces and parentheses.
func TestParseCPUWithParenthesesInProcessName(t *testing.T) {
	const line = "7 (a (b) c) S 1 1 1 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 10 0 1 1 1"
	got, err := parseCPU(line)
	if err != nil || got != 3*time.Second {
		t.Fatalf("parseCPU = %v, %v; want 3 s", got, err)
	}
	if _, err := parseCPU("7 (x) S 1"); err == nil {
		t.Fatal("a short line must be an error")
	}
}

// Guards against a wrong slope or base, and against an error figure that hides a bad fit.
func TestNewFitOfExactAndInexactPoints(t *testing.T) {
	f := NewFit([]float64{1, 2, 3}, []float64{5, 7, 9})
	if math.Abs(f.At(10)-23) > 1e-9 || f.Error > 1e-9 {
		t.Fatalf("fit %+v, value at 10 is %v, want 23", f, f.At(10))
	}
	if f := NewFit([]float64{0, 1, 2}, []float64{0, 10, 0}); f.Error < 0.5 {
		t.Fatalf("error %v of a bad fit, want at least 0.5", f.Error)
	}
}
