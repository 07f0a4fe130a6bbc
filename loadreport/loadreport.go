// Package loadreport judges what targets report of their load: how much slower a target
// is at this moment than its learned speed, and how many requests run there that the
// nodes have not sent.
//
// It answers the load of targets that share their machine with other work: they look
// healthy until their streams have slowed down. The figures change many times a second,
// so each report counts for a fraction of a second only. What lasts is kept as the mean.
package loadreport

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of a report halves, as the figures change
	// many times a second. In bench/enginesim, 150 ms and more make predictions worse where
	// they change 17 times a second, and 100 ms hardly does.
	halfLife = 100 * time.Millisecond
	// outdatedAfter is the age from which a report itself counts no more: its weight is a
	// thousandth.
	outdatedAfter = 10 * halfLife
	// meanHalfLife is the time in which the mean pace follows a change halfway. After as
	// long without reports it is forgotten, halfway in as long again, so that a target which
	// nobody uses any more because it was slow is tried again.
	meanHalfLife = 2 * time.Second
	// MinPace and MaxPace bound a reported pace, and so what a wrong report can cost.
	MinPace, MaxPace = 0.5, 4.0
	// inTransit is the difference between the requests at a target and the known ones
	// that one report alone does not show: another node has just sent one, or the
	// response to one is under way.
	inTransit = 1
)

// Load is the load that a target reports with a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at this moment, as a multiple of the usual
	// time; 0 if unknown.
	Pace float64
}

// Report is what a load report says of a target.
type Report struct {
	// Pace is as in Load.
	Pace float64
	// Extra counts the requests at the target beyond those that the nodes know of.
	Extra int
	// At is the time of the report.
	At time.Time
}

// Target holds the last report of one target and what has been learned from earlier
// ones. The zero value is that of a target without reports, which counts as before. It
// may be used by one goroutine at a time.
type Target struct {
	last Report
	// observed is the last report to this node itself. Only that is passed on: reports that
	// two nodes passed back and forth would stay young.
	observed Report
	// paceAt is the time of the last report with a pace, lastPace its pace and mean the
	// mean of the paces over the last seconds.
	paceAt         time.Time
	lastPace, mean float64
	// learned is the mean pace at which the learned speed of the target was measured; 0
	// if nothing was measured beside a report, which counts as the usual pace.
	learned float64
	// difference is that of the previous report between the requests at the target and the
	// known ones.
	difference int
}

// Observe records a load that the target reported to this node or to one for which this
// node chooses targets. known is how many requests the nodes are known to have there.
func (t *Target) Observe(l Load, known int, at time.Time) {
	difference := l.Running + l.Waiting - known
	extra := max(0, difference)
	if extra <= inTransit && t.difference <= 0 {
		extra = 0
	}
	t.difference = difference
	if l.Slots > 0 {
		extra = min(extra, l.Slots)
	}
	t.observed = Report{Pace: l.Pace, Extra: extra, At: at}
	t.Record(t.observed)
}

// Record records a report, unless a newer one is known.
func (t *Target) Record(r Report) {
	if !r.At.After(t.last.At) {
		return
	}
	t.last = r
	if !(r.Pace > 0) {
		return
	}
	pace := min(max(r.Pace, MinPace), MaxPace)
	mean, elapsed := 1.0, halfLife
	if !t.paceAt.IsZero() {
		mean, elapsed = t.meanAt(r.At), min(r.At.Sub(t.paceAt), meanHalfLife)
	}
	t.mean = mean + (1-remaining(elapsed, meanHalfLife))*(pace-mean)
	t.lastPace, t.paceAt = pace, r.At
}

// Observed returns the last report to this node itself; its time is zero if there is none.
func (t *Target) Observed() Report { return t.observed }

// Learned says that the learned speed of the target has been updated by a measurement,
// which has one of two weights, depending on whether it is faster or slower than what was
// learned. The pace is learned alike, so that it is the one at which the speed was learned:
// at one that changes often, more of the faster paces than of the slower ones.
func (t *Target) Learned(faster, slower float64, now time.Time) {
	if t.paceAt.IsZero() {
		return
	}
	pace, learned := t.paceAfter(now, 0), t.learnedPace()
	weight := slower
	if pace < learned {
		weight = faster
	}
	t.learned = learned + weight*(pace-learned)
}

// LearnedElsewhere says that the speed of the target has been measured at other nodes, at
// the mean pace as far as this one knows.
func (t *Target) LearnedElsewhere(now time.Time) {
	if !t.paceAt.IsZero() {
		t.learned = t.meanAt(now)
	}
}

func (t *Target) learnedPace() float64 {
	if t.learned == 0 {
		return 1
	}
	return t.learned
}

// Factor returns by how much the target is slower than its learned speed, in the mean
// over a time from now on.
func (t *Target) Factor(now time.Time, over time.Duration) float64 {
	if t.paceAt.IsZero() {
		return 1
	}
	return min(max(t.paceAfter(now, over)/t.learnedPace(), MinPace), MaxPace)
}

// paceAfter returns the expected pace of the target in the mean over a time from now on.
func (t *Target) paceAfter(now time.Time, over time.Duration) float64 {
	mean := t.meanAt(now)
	return mean + meanWeight(now.Sub(t.paceAt), over)*(t.lastPace-mean)
}

// Lasting returns by how much the target is slower than its learned speed in the mean of
// the last seconds.
func (t *Target) Lasting(now time.Time) float64 {
	if t.paceAt.IsZero() {
		return 1
	}
	return min(max(t.meanAt(now)/t.learnedPace(), MinPace), MaxPace)
}

// Extra returns how many requests are at the target beyond those that the nodes know of,
// at most as many as it has slots.
func (t *Target) Extra(now time.Time, slots int) int {
	if t.last.Extra <= 0 {
		return 0
	}
	extra := float64(min(t.last.Extra, slots)) * remaining(now.Sub(t.last.At), halfLife)
	return int(math.Round(extra))
}

// meanAt returns the mean pace, which without reports returns to the learned one.
func (t *Target) meanAt(now time.Time) float64 {
	learned := t.learnedPace()
	return learned + remaining(now.Sub(t.paceAt)-meanHalfLife, meanHalfLife)*(t.mean-learned)
}

// remaining returns the share that is left after a time of what halves in another one.
func remaining(elapsed, half time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / half.Seconds())
}

// meanWeight returns the mean weight of a report of an age over a time from now on.
func meanWeight(age, over time.Duration) float64 {
	if age > outdatedAfter {
		return 0
	}
	start := remaining(age, halfLife)
	if over <= 0 {
		return start
	}
	return start * (1 - remaining(over, halfLife)) / (over.Seconds() / halfLife.Seconds() * math.Ln2)
}
