package dispatch

import (
	"slices"
	"time"
)

const (
	// maxGaps limits the number of gaps between tokens kept for one response.
	maxGaps       = 1024
	initialGaps   = 64
	gapPercentile = 95
)

// tokenTiming records when tokens arrive. It keeps the latest maxGaps gaps.
type tokenTiming struct {
	first       time.Time
	last        time.Time
	gaps        []time.Duration
	oldestIndex int
}

func (t *tokenTiming) started() bool {
	return !t.first.IsZero()
}

// recordToken records a token that arrived at now.
func (t *tokenTiming) recordToken(now time.Time) {
	if !t.started() {
		t.first = now
		t.last = now
		t.gaps = make([]time.Duration, 0, initialGaps)
		return
	}
	gap := now.Sub(t.last)
	t.last = now
	if len(t.gaps) < maxGaps {
		t.gaps = append(t.gaps, gap)
		return
	}
	t.gaps[t.oldestIndex] = gap
	t.oldestIndex = (t.oldestIndex + 1) % maxGaps
}

// percentile returns a percentile of the gaps by the nearest-rank method.
func (t *tokenTiming) percentile(percent int) time.Duration {
	if len(t.gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(t.gaps)
	slices.Sort(sorted)
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}
