package balance_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
)

// startPair runs a manager with two plain targets of five slots.
func startPair(t *testing.T) *balance.Manager {
	t.Helper()
	m := startWith(t, func(string, balance.Use) {})
	m.ApplyTargets([]*catalog.Target{
		{ID: "i-1", Service: "s", Zone: "a", Slots: 5, Version: "v1"}, {ID: "i-2", Service: "s", Zone: "a", Slots: 5, Version: "v2"},
	}, nil)
	return m
}

// copyOf returns a second copy of a request that was sent to some targets.
func copyOf(tried ...string) *balance.Work {
	w := work()
	w.NoWait, w.Tried = true, tried
	return w
}

// refusedAtOnce reports whether a request is refused without any wait.
func refusedAtOnce(t *testing.T, m *balance.Manager, w *balance.Work) bool {
	t.Helper()
	began := time.Now()
	grant, err := m.Acquire(t.Context(), w)
	var refusal *balance.Refusal
	if err == nil {
		grant.Done(balance.Unsent)
		return false
	}
	return errors.As(err, &refusal) && time.Since(began) == 0
}

func occupy(t *testing.T, m *balance.Manager, requests int) {
	t.Helper()
	for range requests {
		_, err := m.Acquire(t.Context(), work())
		is.New(t).NoErr(err)
	}
}

// A copy that is granted one of the last slots takes it from a first request.
func TestCopyIsRefusedAtOnceWhenSlotsAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startPair(t)
		occupy(t, m, 5)
		low := copyOf("i-1")
		low.MaxInUse = 0.5
		is.True(refusedAtOnce(t, m, low)) // The sixth slot of ten is above its bound.
		is.True(!refusedAtOnce(t, m, copyOf("i-1")))
		occupy(t, m, 2)
		is.True(refusedAtOnce(t, m, copyOf("i-1")))
		high := copyOf("i-1")
		high.MaxInUse = 1
		is.True(refusedAtOnce(t, m, high)) // No node may set a higher bound than the owner's.
	})
}

func TestCopyIsRefusedAtOnceWhileOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startPair(t)
		m.SetRemoteWaiting("b", "s", 1, 1)
		is.True(refusedAtOnce(t, m, copyOf("i-1")))
		m.SetRemoteWaiting("b", "s", 1, 0)
		is.True(!refusedAtOnce(t, m, copyOf("i-1")))
		for range 5 { // All slots of the only target of the version.
			w := work()
			w.Version = "v1"
			_, err := m.Acquire(t.Context(), w)
			is.NoErr(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		waits := work()
		waits.Version = "v1"
		go func() { _, _ = m.Acquire(ctx, waits) }()
		synctest.Wait()
		is.True(refusedAtOnce(t, m, copyOf("i-1")))
	})
}

func TestCopyGoesToNoTargetThatFailedOrOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startPair(t)
		w := copyOf("i-1")
		w.Version = "v1"
		is.True(refusedAtOnce(t, m, w))
		w = work()
		w.Version = "v2"
		grant, err := m.Acquire(t.Context(), w)
		is.NoErr(err)
		grant.Done(balance.Broken)
		time.Sleep(time.Second) // The backoff has ended, but it has not answered since.
		is.True(refusedAtOnce(t, m, copyOf("i-1")))
	})
}

// Each copy that wins ends the first attempt, so that the load of a slow target does not keep
// others away from it.
func TestTargetWhoseRequestsAreOvertakenIsUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startPair(t)
		end := func(version string, results ...balance.Result) {
			for _, r := range results {
				w := work()
				w.Version = version
				grant, err := m.Acquire(t.Context(), w)
				is.NoErr(err)
				grant.Done(r)
			}
		}
		chosen := func() string {
			grant, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
			defer grant.Done(balance.Unsent)
			return grant.Target.ID
		}
		end("v1", balance.Overtaken, balance.Overtaken)
		for range 20 {
			is.Equal(chosen(), "i-2")
		}
		end("v1", balance.Answered)
		seen := make(map[string]bool)
		for range 20 { // It takes requests as before.
			seen[chosen()] = true
		}
		is.Equal(len(seen), 2)
		end("v1", balance.Overtaken, balance.Overtaken)
		occupy(t, m, 5)
		is.Equal(chosen(), "i-1") // The other one is full.
	})
}
