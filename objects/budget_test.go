package objects

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestClaimsAreAdmittedWhileHousekeepingWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget(10, 0)
		housekeeping := WithPriority(t.Context(), PriorityHousekeeping)
		start := time.Now()
		for range 10 {
			is.NoErr(b.acquire(housekeeping, 0))
		}
		is.Equal(time.Since(start), time.Duration(0))
		short, cancel := context.WithTimeout(housekeeping, 50*time.Millisecond)
		defer cancel()
		is.True(b.acquire(short, 0) != nil)
		for range 8 {
			is.NoErr(b.acquire(WithPriority(t.Context(), PriorityClaim), 0))
		}
		is.Equal(time.Since(start), 50*time.Millisecond)
	})
}

func TestClaimsDoNotStarveReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget(50, 0)
		claims, stop := context.WithCancel(WithPriority(t.Context(), PriorityClaim))
		for range 8 {
			go func() {
				for b.acquire(claims, 0) == nil {
				}
			}()
		}
		for range 30 {
			time.Sleep(time.Second)
			start := time.Now()
			report, cancel := context.WithTimeout(WithPriority(t.Context(), PriorityReport), time.Second)
			is.NoErr(b.acquire(report, 0))
			cancel()
			is.Equal(time.Since(start), time.Duration(0))
		}
		stop()
	})
}

func TestBudgetBoundsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget(10, 0)
		start := time.Now()
		for range 120 {
			is.NoErr(b.acquire(WithPriority(t.Context(), PriorityClaim), 0))
		}
		is.True(time.Since(start) >= 10*time.Second)
	})
}
