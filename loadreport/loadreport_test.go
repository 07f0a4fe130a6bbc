package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "500") }

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func isNear(got, want float64) bool { return math.Abs(got-want) < 0.05*want }

func TestTargetWithoutReportsCountsAsBefore(t *testing.T) {
	is := is.New(t)
	var target Target
	target.Learned(0.5, 0.5, start)
	is.Equal(target.Factor(start, 0), 1.0)
	is.Equal(target.Lasting(start), 1.0)
	is.Equal(target.Extra(start, 8), 0)
	target.Observe(Load{Running: 2, Slots: 8}, 2, start) // without a pace
	is.Equal(target.Factor(start, 0), 1.0)
}

// Streams show that their target is slow only after they have slowed down.
func TestTargetIsSlowerFromItsReportOn(t *testing.T) {
	is := is.New(t)
	var target Target
	target.Observe(Load{Running: 1, Slots: 8, Pace: 2.5}, 1, start)
	is.Equal(target.Factor(start, 0), 2.5)
	is.True(target.Lasting(start) < 1.15)
	is.True(target.Factor(start, time.Second) < 1.5) // It changes many times within that time.
	is.True(isNear(target.Factor(after(halfLife), 0), 1+1.5/2))
	is.True(isNear(target.Factor(after(time.Minute), 0), 1))
}

// Figures that last, but of which each counts for a moment only, would be forgotten
// between two reports.
func TestLastingPaceIsKeptAsTheMeanUntilTheSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	var target Target
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		target.Observe(Load{Pace: 2.5, Slots: 8}, 0, now)
	}
	is.True(target.Lasting(now.Add(time.Second)) > 1.9)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		target.Observe(Load{Pace: 2.5, Slots: 8}, 0, now)
		target.Learned(0.3, 0.05, now)
	}
	is.True(isNear(target.Factor(now, 0), 1)) // The learned speed includes it.
	target.Observe(Load{Pace: 1, Slots: 8}, 0, now.Add(time.Second))
	is.Equal(target.Factor(now.Add(time.Second), 0), MinPace)
}

// While a speed is being learned, it and the pace must not count twice.
func TestPaceAndLearnedSpeedDoNotCountTwice(t *testing.T) {
	is := is.New(t)
	var target Target
	now, step := start, 1.0
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		target.Observe(Load{Pace: 2.5, Slots: 8}, 0, now)
		step += 0.05 * (2.5 - step)
		target.Learned(0.3, 0.05, now)
		if i > 40 {
			is.True(math.Abs(step*target.Factor(now, 0)-2.5) < 0.25)
		}
	}
}

func TestRequestsOfOthersTakeSlots(t *testing.T) {
	is := is.New(t)
	var target Target
	target.Observe(Load{Running: 8, Waiting: 5, Slots: 8}, 3, start)
	is.Equal(target.Extra(start, 8), 8) // Never more than the slots.
	is.Equal(target.Extra(after(halfLife), 8), 4)
	is.Equal(target.Extra(after(5*halfLife), 8), 0)
	target.Observe(Load{Running: 3, Slots: 8}, 5, after(time.Second)) // Two have not arrived there yet.
	is.Equal(target.Extra(after(time.Second), 8), 0)
}

// A request that another node has just sent would be counted twice.
func TestOneUnknownRequestCountsFromTheSecondReportOn(t *testing.T) {
	is := is.New(t)
	var target Target
	target.Observe(Load{Running: 4, Slots: 8}, 3, start)
	is.Equal(target.Extra(start, 8), 0)
	target.Observe(Load{Running: 4, Slots: 8}, 3, after(time.Millisecond))
	is.Equal(target.Extra(after(time.Millisecond), 8), 1)
}

func TestOlderReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	var target Target
	target.Record(Report{Pace: 2, Extra: 3, At: after(time.Second)})
	target.Record(Report{Pace: 4, Extra: 8, At: start})
	is.Equal(target.Factor(after(time.Second), 0), 2.0)
	is.Equal(target.Extra(after(time.Second), 8), 3)
}

func TestWrongReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var target Target
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "later")))
			count := rapid.IntRange(0, math.MaxInt32)
			l := Load{Running: count.Draw(t, "running"), Waiting: count.Draw(t, "waiting"), Slots: count.Draw(t, "slots"), Pace: rapid.Float64().Draw(t, "pace")}
			target.Observe(l, rapid.IntRange(0, 10).Draw(t, "known"), now)
			if rapid.Bool().Draw(t, "learned") {
				target.Learned(rapid.Float64Range(0, 1).Draw(t, "faster"), rapid.Float64Range(0, 1).Draw(t, "slower"), now)
			}
			for _, f := range []float64{target.Factor(now, 0), target.Factor(now, time.Second), target.Lasting(now)} {
				if !(f >= MinPace && f <= MaxPace) {
					t.Fatalf("factor %v", f)
				}
			}
			if e := target.Extra(now, 8); e < 0 || e > 8 {
				t.Fatalf("extra requests %d", e)
			}
		}
	})
}

// A target is scored for each waiting request.
func BenchmarkScoreOfATarget(b *testing.B) {
	var target Target
	target.Observe(Load{Running: 5, Slots: 8, Pace: 1.4}, 3, start)
	now := after(50 * time.Millisecond)
	for b.Loop() {
		_ = target.Factor(now, 100*time.Millisecond)
		_ = target.Lasting(now)
		_ = target.Extra(now, 8)
	}
}

func BenchmarkReport(b *testing.B) {
	var target Target
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		target.Observe(Load{Running: 5, Slots: 8, Pace: 1.4}, 3, now)
	}
}
