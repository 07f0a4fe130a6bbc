package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRetries(RetryLimits{Ratio: 0.1, Extra: 6, Window: 10 * time.Second})
		r.SetNodes(1)
		retried := 0
		for range 100 {
			r.RecordFirstAttempt("s")
			if r.AllowRetry("s") {
				retried++
			}
			time.Sleep(100 * time.Millisecond)
		}
		// 10% of the requests, plus the window's Extra.
		is.True(retried >= 7)
		is.True(float64(retried) <= 0.1*100+6)
	})
}

func TestNoExtraRetriesWhileTheNumberOfNodesIsNotKnown(t *testing.T) {
	is := is.New(t)
	r := NewRetries(RetryLimits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second})
	is.True(!r.AllowRetry("s"))
	r.SetNodes(5)
	is.True(r.AllowRetry("s"))
}

func TestNewRetryLimitsApplyAtOnce(t *testing.T) {
	is := is.New(t)
	r := NewRetries(RetryLimits{Extra: 50, Window: 10 * time.Second})
	r.SetNodes(1)
	is.True(r.AllowRetry("s"))
	r.ApplyLimits(RetryLimits{Extra: 2, Window: 10 * time.Second})
	is.True(!r.AllowRetry("s"))
}

// Over all nodes and in each span of a window's length, the retries must stay
// within the budget for any traffic, even though all nodes are restarted once.
func TestRetriesOfAllNodesStayWithinTheBudgetInEachWindow(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			nodes := make([]*Retries, rapid.IntRange(1, 8).Draw(rt, "nodes"))
			restart := func(i int) {
				nodes[i] = NewRetries(limits)
				nodes[i].SetNodes(len(nodes))
			}
			for i := range nodes {
				restart(i)
			}
			const steps, stepsPerWindow = 60, 20
			first, retries := make([]int, steps), make([]int, steps)
			restartStep := rapid.IntRange(0, steps).Draw(rt, "restart all nodes at")
			for step := range steps {
				if step == restartStep {
					for i := range nodes {
						restart(i)
					}
				}
				requests := rapid.SampledFrom([]int{0, 1, 30}).Draw(rt, "requests")
				failing := rapid.SampledFrom([]int{0, 3, 30}).Draw(rt, "failing")
				for i := range max(requests, failing) {
					n := nodes[i%len(nodes)]
					if i < requests {
						first[step]++
						n.RecordFirstAttempt("s")
					}
					if i < failing && n.AllowRetry("s") {
						retries[step]++
					}
				}
				time.Sleep(limits.Window / stepsPerWindow)
			}
			checkBudget(rt, limits, first, retries, stepsPerWindow)
		})
	})
}

// checkBudget compares the retries of each window with the requests of the same
// window, of the preceding one or of the one half a window earlier, whichever are
// most.
func checkBudget(rt *rapid.T, limits RetryLimits, first, retries []int, window int) {
	sum := func(counts []int, from int) int {
		total := 0
		for i := max(0, from); i < min(len(counts), from+window); i++ {
			total += counts[i]
		}
		return total
	}
	for from := range retries {
		requests := max(sum(first, from), sum(first, from-window/2), sum(first, from-window))
		allowed := limits.Ratio*float64(requests) + limits.Extra
		if got := sum(retries, from); float64(got) > allowed {
			rt.Fatalf("%d retries from step %d, %.1f allowed for %d requests", got, from, allowed, requests)
		}
	}
}

// Copies that fill the budget would leave requests whose target failed without a retry.
func TestCopiesLeaveHalfOfTheBudgetToRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRetries(RetryLimits{Ratio: 0.2, Window: 10 * time.Second})
		for range 200 {
			r.RecordFirstAttempt("s")
		}
		copies, retries := 0, 0
		for r.AllowHedge("s") {
			copies++
		}
		for r.AllowRetry("s") {
			retries++
		}
		is.Equal(copies, 10)
		is.Equal(copies+retries, 20)
		is.True(!r.AllowHedge("s"))
	})
}
