package owner

import (
	"math"
	"time"

	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/schema"
)

// maxLoadAge is the age up to which a load goes to the owner: its time is that of its
// arrival there. The first event or the end of the request, whose report takes it along,
// normally follows at once.
const maxLoadAge = 50 * time.Millisecond

// reportedLoad is the load that a target reported at an instant.
type reportedLoad struct {
	loadreport.Load
	at time.Time
}

// recordLoad keeps the load of a target for the next report on a request there.
func (l *link) recordLoad(target string, load loadreport.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[target] = reportedLoad{load, time.Now()}
}

// addLoad adds what a target has reported of its load to a report. l.mu must be held.
func (l *link) addLoad(r *schema.OwnerReport, target string, now time.Time) {
	load, ok := l.loads[target]
	delete(l.loads, target)
	if !ok || now.Sub(load.at) > maxLoadAge {
		return
	}
	r.HasLoad, r.PacePercent = true, uint32(math.Round(min(load.Pace, maxEncodedPace)*percent))
	r.Running, r.Waiting = encodeCount(load.Running), encodeCount(load.Waiting)
}

const (
	// percent is the number of units of a pace on the wire in the usual one.
	percent = 100
	// maxEncodedPace and maxEncodedCount are far beyond any figure that is not false.
	maxEncodedPace  = 1000
	maxEncodedCount = 1 << 20
)

func encodeCount(n int) uint32 { return uint32(min(max(n, 0), maxEncodedCount)) }

// decodeLoad returns the load in a report.
func decodeLoad(r *schema.OwnerReport) loadreport.Load {
	return loadreport.Load{
		Running: int(min(r.GetRunning(), maxEncodedCount)), Waiting: int(min(r.GetWaiting(), maxEncodedCount)),
		Pace: float64(r.GetPacePercent()) / percent,
	}
}
