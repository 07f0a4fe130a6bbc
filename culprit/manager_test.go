package culprit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/logging"
)

func newManager(onChanged func()) *Manager { return New(onChanged, logging.Discard()) }

// recordCrashes records crashes of different targets, one a second until now.
func recordCrashes(m *Manager, count int, features ...Feature) {
	now := clock.Now()
	for i := range count {
		own := append([]Feature{own(i)}, features...)
		m.RecordCrash(Crash{Target: uint64(i), Features: own, At: now.Add(-time.Duration(count-i) * time.Second)})
	}
}

func TestWatchedRequestIsCancelledWhenItIsQuarantined(t *testing.T) {
	is := is.New(t)
	m := newManager(func() {})
	cancelled := map[string]bool{}
	for name, f := range map[string][]Feature{"crashing": {crashing, own(8)}, "sound": {other, own(9)}} {
		m.Watch(f, func() { cancelled[name] = true })
	}
	m.Watch([]Feature{crashing, own(10)}, func() { cancelled["ended"] = true })()
	recordCrashes(m, quarantineCrashes, crashing)
	is.Equal(cancelled, map[string]bool{"crashing": true})
}

func TestEvidenceIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	changes := 0
	a, b := newManager(func() {}), newManager(func() { changes++ })
	recordCrashes(a, 3, crashing)
	crashes, survivals, version := a.Since(0)
	is.Equal(len(crashes), 3)
	b.Apply(crashes, survivals)
	is.Equal(changes, 1)
	b.Apply(crashes, survivals) // Again, over another link.
	is.Equal(changes, 1)
	is.Equal(b.Judge([]Feature{crashing}).State, Quarantined)
	crashes, survivals, _ = a.Since(version)
	is.Equal(len(crashes)+len(survivals), 0)
}

func TestOnlySurvivalsThatClearSomethingArePassedOn(t *testing.T) {
	is := is.New(t)
	m := newManager(func() {})
	m.RecordSurvival([]Feature{shared})
	recordCrashes(m, 1, shared)
	m.RecordSurvival([]Feature{shared, other})
	m.RecordSurvival([]Feature{shared})
	_, survivals, _ := m.Since(0)
	is.Equal(len(survivals), 1)
	is.Equal(survivals[0].Feature, shared)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := newManager(func() {})
	for i := range 3 * maxEntries {
		m.RecordCrash(Crash{Target: uint64(i), Features: []Feature{own(i)}, At: clock.Now()})
		m.RecordSurvival([]Feature{own(i)})
	}
	crashes, survivals, _ := m.Since(0)
	is.True(len(crashes)+len(survivals) <= maxEntries)
	is.True(len(m.history.crashes)+len(m.history.survivals) <= maxEntries)
	is.True(m.evidence.records.Len() <= maxFeatures)
}

// A crash that the node of the crashing request could not confirm is evidence once the node
// of another request has shown it, whichever comes first. Sound requests stay clear of it.
func TestBreakCountsOnceAnotherRequestHasShownTheCrash(t *testing.T) {
	for _, first := range []string{"the break", "the crash"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			m := New(func() {}, logging.Discard())
			now := clock.Now()
			for i := range 3 {
				at := now.Add(time.Duration(i-10) * time.Second)
				unconfirmed := Crash{Target: uint64(i), Features: []Feature{shared, crashing, own(i)}, At: at}
				shown := Crash{Target: uint64(i), Features: []Feature{shared, own(100 + i)}, At: at.Add(20 * time.Millisecond)}
				if first == "the break" {
					m.RecordBreak(unconfirmed)
					m.Apply([]Crash{shown}, nil)
				} else {
					m.Apply([]Crash{shown}, nil)
					m.RecordBreak(unconfirmed)
				}
			}
			is.Equal(m.Judge([]Feature{shared, own(9)}).State, Suspect)
			is.Equal(m.Judge([]Feature{shared, crashing, own(9)}).State, Quarantined)
		})
	}
}

func TestBreaksWithoutACrashAreNoEvidence(t *testing.T) {
	is := is.New(t)
	m := New(func() {}, logging.Discard())
	for i := range 2 * maxDoubtful {
		m.RecordBreak(Crash{Target: uint64(i % 5), Features: []Feature{shared}, At: clock.Now()})
	}
	is.Equal(m.Judge([]Feature{shared}).State, Clear)
	is.True(len(m.doubtful.breaks) <= maxDoubtful)
}
