package capacity

import "gonum.org/v1/gonum/stat"

// Fit is a straight line through measured points: Value = Base + Slope * size.
type Fit struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the largest distance of a point from the line, relative to the largest absolute measured value.
	Error  float64   `json:"error"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
}

// NewFit fits a line by least squares. It needs at least two distinct sizes.
func NewFit(sizes, values []float64) Fit {
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	f := Fit{Base: base, Slope: slope, Sizes: sizes, Values: values}
	var largest, off float64
	for i, x := range sizes {
		largest = max(largest, abs(values[i]))
		off = max(off, abs(values[i]-f.At(x)))
	}
	if largest > 0 {
		f.Error = off / largest
	}
	return f
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

func abs(x float64) float64 { return max(x, -x) }
