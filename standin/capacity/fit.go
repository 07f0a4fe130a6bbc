// Package capacity measures how the cost of a node grows with the size of the
// system, fits a line to the measurements, and extrapolates it to the size of the
// target deployment.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the cost measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a cost measured at several sizes.
type Series struct {
	// Name identifies the series in the page and the JSON file.
	Name string `json:"name"`
	// Of names the quantity that was varied, and Unit is the unit of the values.
	Of     string  `json:"of"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Fit is a least-squares line through the points of a series.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the coefficient of determination: the fraction of the variance
	// that the line explains.
	RSquared float64 `json:"r_squared"`
	// MaxResidual is the largest absolute residual as a fraction of the largest
	// absolute value.
	MaxResidual float64 `json:"max_residual"`
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// NewSeries returns a series with a line fitted to the points.
func NewSeries(name, of, unit string, points []Point) Series {
	return Series{Name: name, Of: of, Unit: unit, Points: points, Fit: fitLine(points)}
}

func fitLine(points []Point) Fit {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i] = p.Size
		ys[i] = p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{
		Intercept: intercept,
		Slope:     slope,
		RSquared:  stat.RSquared(xs, ys, nil, intercept, slope),
	}
	if math.IsNaN(f.RSquared) || math.IsInf(f.RSquared, 0) {
		f.RSquared = 0
	}
	if largest == 0 {
		return f
	}
	for _, p := range points {
		f.MaxResidual = max(f.MaxResidual, math.Abs(p.Value-f.At(p.Size))/largest)
	}
	return f
}
