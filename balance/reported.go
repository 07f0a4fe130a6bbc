package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/loadreport"
)

// RecordLoad records the load that a target has just reported to this node, or to one for
// which this node chooses targets.
func (m *Manager) RecordLoad(id string, l loadreport.Load) {
	m.submit(loadReported{id, l, time.Now()})
}

type loadReported struct {
	id   string
	load loadreport.Load
	at   time.Time
}

func (e loadReported) apply(m *Manager, _ time.Time) {
	if t, _ := m.target(e.id); t != nil {
		t.observe(e.load, e.at)
	}
}

// observe records a load that the target has reported. It may be the one at the start of the
// request, and requests that have ended since are no requests of others.
func (t *target) observe(l loadreport.Load, now time.Time) {
	t.reports.Observe(l, max(t.load().Requests, t.recentRequests.max(now)), now)
}

// peakInterval is the time after which requests that have ended may no longer be part of a
// report; they are part of it up to twice as long. Most first events and plain responses
// come within it.
const peakInterval = 250 * time.Millisecond

// recentPeak is the largest of the values of a count in the last one to two intervals.
type recentPeak struct {
	// value is the present one, and current and previous are the largest ones of the
	// interval from start on and of the one before.
	value, current, previous int
	start                    time.Time
}

// set sets the present value.
func (p *recentPeak) set(value int, now time.Time) {
	p.advance(now)
	p.value, p.current = value, max(p.current, value)
}

func (p *recentPeak) max(now time.Time) int {
	p.advance(now)
	return max(p.current, p.previous)
}

func (p *recentPeak) advance(now time.Time) {
	switch elapsed := now.Sub(p.start); {
	case elapsed < peakInterval:
		return
	case elapsed < 2*peakInterval:
		p.previous = p.current
	default:
		p.previous = p.value
	}
	p.current, p.start = p.value, now
}

// maxReportedWait is how long a request waits because targets with a free slot have reported
// that they are full or slow. Then it is judged by the nodes' own counts and the learned
// speed, so that false reports cost no more, and neither do requests that other zones have
// just sent and that look like those of others. Figures change many times within that time.
const maxReportedWait = 100 * time.Millisecond

// waitsForReports reports whether what targets report may still hold a request back.
func waitsForReports(w *Work, now time.Time) bool { return now.Sub(w.Arrived) < maxReportedWait }

// occupied returns how many requests count as being at the target: those of all nodes and
// those that others have sent, as the target reports. Requests that were sent since the
// report count on top of it.
func (t *target) occupied(now time.Time) int {
	return t.load().Requests + t.reports.Extra(now, t.Slots)
}

// plainLoad returns the load of a plain target, 1 if all its slots are taken at its usual
// pace. At a slow target, the request itself and all before it take longer.
func (t *target) plainLoad(now time.Time) float64 {
	work := float64(t.occupied(now)+1) * t.reports.Factor(now, 0)
	return (work - 1) / float64(t.Slots)
}

// learnSpeed updates the learned speed of a target, and the pace at which it was learned.
func (e *engine) learnSpeed(t *target, s Sample, now time.Time) {
	switch weight := e.learnStep(t, s); weight {
	case 0:
	case 1:
		t.reports.Learned(1, 1, now)
	default:
		t.reports.Learned(fasterWeight, slowerWeight, now)
	}
}

// atLearnedPace returns the gaps of a stream as they would be at the learned speed. What
// the target reports must not be learned as the effect of other requests' prefills.
func (t *target) atLearnedPace(s Sample, now time.Time) Sample {
	s.Total = time.Duration(float64(s.Total) / t.reports.Lasting(now))
	return s
}

// atLearnedPace returns the time to the first event as it would be at the learned speed.
func (f *inFlightRequest) atLearnedPace(after time.Duration) time.Duration {
	if f.pace <= 0 {
		return after
	}
	return time.Duration(float64(after) / f.pace)
}
