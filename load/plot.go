package load

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/primrosemoor/primrosemoor/trace"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// CheckPlotFile returns an error of kind bad-request unless the path ends in .svg
// or .png.
func CheckPlotFile(path string) error {
	if !slices.Contains([]string{".svg", ".png"}, filepath.Ext(path)) {
		return badRequest(fmt.Sprintf("%q is not a plot file", path), "end the name in .svg or .png")
	}
	return nil
}

// WritePlot draws the cumulative distribution of the time to the first token for
// each tier. The file extension selects the format.
func WritePlot(path string, results []trace.Result) error {
	if err := CheckPlotFile(path); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "First token by tier"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of answered chats"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	for i, c := range firstTokenCurves(results) {
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return fmt.Errorf("draw tier %s: %w", c.tier, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.tier, line)
	}
	p.Legend.Left = false
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// curve is the cumulative distribution of one tier.
type curve struct {
	tier   string
	points plotter.XYs
}

func firstTokenCurves(results []trace.Result) []curve {
	byTier := make(map[string][]time.Duration)
	var tiers []string
	for _, r := range results {
		if r.Request.Kind != trace.KindChat || r.Ending != trace.EndingAnswer {
			continue
		}
		tier := r.Request.Tier
		if byTier[tier] == nil {
			tiers = append(tiers, tier)
		}
		byTier[tier] = append(byTier[tier], r.FirstToken)
	}
	slices.Sort(tiers)
	curves := make([]curve, 0, len(tiers))
	for _, tier := range tiers {
		curves = append(curves, curve{tier, cumulativeDistribution(byTier[tier])})
	}
	return curves
}

func cumulativeDistribution(times []time.Duration) plotter.XYs {
	slices.Sort(times)
	points := make(plotter.XYs, len(times))
	for i, t := range times {
		points[i].X = float64(t) / float64(time.Millisecond)
		points[i].Y = float64(i+1) / float64(len(times))
	}
	return points
}
