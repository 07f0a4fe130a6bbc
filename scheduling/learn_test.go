package scheduling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/scheduling"
)

func TestPrefillRateTracksThermalThrottlingAndRecovery(t *testing.T) {
	is := is.New(t)
	r := scheduling.NewRates()
	observe := func(rate float64) {
		for i := range 60 {
			tokens := float64(100 * (1 + i%40))
			r.ObservePrefill(tokens, r.TokenTime(1)+time.Duration(tokens/rate*float64(time.Second)), 1)
		}
		is.True(r.PrefillRate() > 0.9*rate && r.PrefillRate() < 1.1*rate)
	}
	observe(20000)
	observe(5000)
	observe(20000)
}

func TestTokenTimeDependsOnBatchSize(t *testing.T) {
	is := is.New(t)
	r := scheduling.NewRates()
	for i := range 100 {
		batch := 1 + i%20
		r.ObserveDecode(float64(batch), 10*time.Millisecond+time.Duration(batch)*time.Millisecond/2)
	}
	got := r.TokenTime(30)
	is.True(got > 23*time.Millisecond && got < 27*time.Millisecond)
}

func TestLimitShrinksOnMissedGoalsAndGrowsOnlyNearTheLimit(t *testing.T) {
	is := is.New(t)
	l := scheduling.NewTokenLimit(1000)
	observe := func(tokenTime time.Duration) {
		for range 20 {
			l.Observe(testPolicy(), 0, tokenTime)
		}
	}
	observe(10 * time.Millisecond)
	is.Equal(l.Tokens(), 1000.0)
	l.ObserveOutstanding(900)
	observe(10 * time.Millisecond)
	is.True(l.Tokens() > 1000)
	before := l.Tokens()
	observe(30 * time.Millisecond)
	is.True(l.Tokens() < before)
}

func TestEstimateIsCappedByRequestLimit(t *testing.T) {
	is := is.New(t)
	e := scheduling.NewEstimator()
	for range 100 {
		e.Observe("team", "service", 400)
	}
	is.Equal(e.Estimate("team", "service", 0), 400)
	is.Equal(e.Estimate("team", "service", 50), 50)
}

func TestPrefixIndexMatchesPrefixesAndLosesConfidenceAfterMissedEvents(t *testing.T) {
	is := is.New(t)
	x := scheduling.NewPrefixIndex()
	x.Insert([]uint64{1, 2, 3})
	is.Equal(x.Match([]uint64{1, 2, 9, 10}), 2)
	is.Equal(x.CachedTokens([]uint64{1, 2, 3}, 1000), 3*scheduling.BlockTokens)
	x.Gap()
	is.Equal(x.CachedTokens([]uint64{1, 2, 3}, 1000), 3*scheduling.BlockTokens/2)
	x.Remove([]uint64{3})
	is.Equal(x.Match([]uint64{1, 2, 3}), 2)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	is := is.New(t)
	x := scheduling.NewPrefixIndex()
	for i := range uint64(100000) {
		x.Insert([]uint64{i})
	}
	is.True(x.Len() <= 8192)
}

func TestDriftRestoresRateOfIdleTarget(t *testing.T) {
	is := is.New(t)
	r := scheduling.NewRates()
	for range 50 {
		r.ObservePrefill(200, time.Second, 1)
	}
	is.True(r.PrefillRate() < 300)
	for range 30 {
		r.MoveTowards(4000)
	}
	is.True(r.PrefillRate() > 2000)
}
