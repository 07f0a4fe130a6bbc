package hedge

import (
	"math"
	"time"
)

const (
	// slowQuantile is the share of the recent responses of a route that were faster than the
	// time after which a copy is sent. One request in twenty is then a candidate.
	slowQuantile = 0.95
	// minSamples is how many responses a route needs before any of its requests is hedged: two
	// of them are slower than the quantile.
	minSamples = 40
	// generationSamples and generationAge bound what one histogram counts. The quantile is that
	// of the last two, so that it follows a change of the times within that.
	generationSamples = 400
	generationAge     = time.Minute
	// shortestTime and growth give the bounds of the buckets: 96 buckets reach 9 s, beyond
	// the silence after which another target is looked for anyway.
	shortestTime = time.Millisecond
	growth       = 1.1
	buckets      = 96
	// minDelay is the shortest time after which a copy is sent: below it, the way to
	// another target and the turn of two processes decide, not the target.
	minDelay = 10 * time.Millisecond
)

// times are the recent times to the first event or to the response of one route at one service.
type times struct {
	current, previous histogram
	// began is when the current histogram was begun, last when a time was added.
	began, last time.Time
}

// histogram counts times in buckets whose bounds grow by a constant factor.
type histogram struct {
	counts [buckets]uint32
	total  uint32
}

// add counts a time.
func (t *times) add(now time.Time, d time.Duration) {
	full := t.current.total >= generationSamples
	old := now.Sub(t.began) >= generationAge && t.current.total >= minSamples
	if full || old {
		t.previous, t.current, t.began = t.current, histogram{}, now
	}
	t.last = now
	t.current.counts[bucketOf(d)]++
	t.current.total++
}

func bucketOf(d time.Duration) int {
	if d <= shortestTime {
		return 0
	}
	steps := math.Ceil(math.Log(float64(d)/float64(shortestTime)) / math.Log(growth))
	return min(int(steps), buckets-1)
}

// slow returns the time below which slowQuantile of the recent times are, or false while too
// few are known.
func (t *times) slow() (time.Duration, bool) {
	total := t.current.total + t.previous.total
	if total < minSamples {
		return 0, false
	}
	wanted, sum := slowQuantile*float64(total), 0.0
	for i := range buckets {
		sum += float64(t.current.counts[i] + t.previous.counts[i])
		if sum >= wanted {
			upper := float64(shortestTime) * math.Pow(growth, float64(i))
			return max(minDelay, time.Duration(upper)), true
		}
	}
	return 0, false
}
