package enginesim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var paceSeeds = flag.Uint64("paceseeds", 2, "number of seeds for each experiment with engines whose pace changes")

// reportTolerance is the difference in the mean prediction error and in the value share that
// may occur by chance.
const reportTolerance = 0.06

// The reports of engines whose pace changes are outdated soon. Used for too long, they make
// predictions worse than none. The test logs the errors of predicted first events with and
// without reports; the bounds say only that reports cost nothing.
func TestReportsOfChangingPacesCostNothing(t *testing.T) {
	for _, change := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		for _, load := range []float64{0.3, 0.6} {
			t.Run(fmt.Sprintf("change %v load %v", change, load), func(t *testing.T) {
				is := is.New(t)
				var predictionError, worth [2]float64
				for i, reports := range []bool{false, true} {
					for s := range *paceSeeds {
						e := defaultExperiment()
						e.load, e.paceChange, e.reports, e.seed, e.length = load, change, reports, *seed+s, 20*time.Second
						r := runExperiment(t, e)
						predictionError[i] += r.MeanPredictionError() / float64(*paceSeeds)
						worth[i] += r.ValueShare() / float64(*paceSeeds)
					}
				}
				t.Logf("without reports: error %.3f, worth %.3f; with: error %.3f, worth %.3f", predictionError[0], worth[0], predictionError[1], worth[1])
				is.True(predictionError[1] <= predictionError[0]+reportTolerance)
				is.True(worth[1] >= worth[0]-reportTolerance)
			})
		}
	}
}
