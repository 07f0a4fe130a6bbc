package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFitOfExactLine(t *testing.T) {
	is := is.New(t)
	s := NewSeries("n", "nodes", "B/s", []Point{{4, 14}, {8, 22}, {16, 38}, {32, 70}})
	is.True(math.Abs(s.Fit.At(400)-806) < 1e-6)
	is.True(math.Abs(s.Fit.RSquared-1) < 1e-9)
	is.True(s.Fit.MaxResidual < 1e-9)
}

func TestResidualOfOutlier(t *testing.T) {
	is := is.New(t)
	s := NewSeries("n", "nodes", "B/s", []Point{{1, 1}, {2, 2}, {3, 3}, {4, 8}})
	is.True(s.Fit.MaxResidual > 0.1)
}

func TestProjectionOfFallingLineIsItsLargestPoint(t *testing.T) {
	is := is.New(t)
	s := NewSeries("n", "nodes", "%", []Point{{1, 0.4}, {2, 0.3}, {3, 0.3}, {4, 0.2}})
	is.Equal(s.project(400), 0.4)
}
