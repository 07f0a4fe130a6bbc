package capacity

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 10 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// plottedSeries are the names of the series that WritePlots draws.
var plottedSeries = []string{seriesRestCPU, seriesRestSent, seriesChangeCPU, seriesChangeMax, seriesPermitCPU, seriesClaimWrites}

// WritePlots draws the points and fitted lines of the main series as SVG files in
// dir.
func (r *Result) WritePlots(dir string) error {
	for _, name := range plottedSeries {
		for _, s := range r.Series {
			if s.Name != name {
				continue
			}
			if err := s.draw(filepath.Join(dir, "capacity-"+name+".svg")); err != nil {
				return fmt.Errorf("draw %s: %w", name, err)
			}
		}
	}
	return nil
}

func (s Series) draw(path string) error {
	points := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		points[i] = plotter.XY{X: p.Size, Y: p.Value}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Of
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	p.Add(scatter, plotter.NewFunction(s.Fit.At))
	return p.Save(plotWidth, plotHeight, path)
}
