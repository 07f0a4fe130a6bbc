package dispatch

import (
	"slices"
	"time"
)

const (
	// maxGaps bounds the times between tokens kept of one answer.
	maxGaps       = 1024
	initialGaps   = 64
	gapPercentile = 95
)

// timing records when tokens came. It keeps the latest maxGaps gaps.
type timing struct {
	first time.Time
	last  time.Time
	gaps  []time.Duration
	next  int
}

func (t *timing) started() bool {
	return !t.first.IsZero()
}

// token notes one token at a time.
func (t *timing) token(now time.Time) {
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
	t.gaps[t.next] = gap
	t.next = (t.next + 1) % maxGaps
}

// percentile returns a percentile of the gaps, by the nearest rank.
func (t *timing) percentile(percent int) time.Duration {
	if len(t.gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(t.gaps)
	slices.Sort(sorted)
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}
