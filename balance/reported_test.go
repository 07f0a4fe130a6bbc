package balance

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/logging"
)

func (p *testPool) report(id string, l loadreport.Load) {
	p.targets[id].observe(l, p.now)
}

// A target that shares its machine looked healthy until its streams had slowed down.
func TestTargetThatReportsThatItIsSlowGetsLessWorkAtOnce(t *testing.T) {
	for name, plain := range map[string]bool{"engines": false, "plain": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
			if plain {
				p.engine = nil
			}
			p.targets["B"].own.Requests = 1 // Without reports, A is chosen.
			p.targets["B"].own.PromptTokens = 100
			p.enqueue(p.work("before", 0, nil))
			is.Equal(p.assignNow(), []string{"before>A"})
			p.targets["A"].own, p.targets["A"].prefilling = Load{}, make(map[*Work]*pendingPrompt)
			p.report("A", loadreport.Load{Slots: 8, Pace: 2.5})
			p.enqueue(p.work("now", 0, nil))
			is.Equal(p.assignNow(), []string{"now>B"})
			p.targets["B"].own = Load{Requests: 1, PromptTokens: 100}
			p.targets["B"].prefilling = make(map[*Work]*pendingPrompt)
			p.now = p.now.Add(10 * time.Second) // The figure is outdated.
			p.targets["B"].prefillUpdatedAt = p.now
			p.enqueue(p.work("later", 0, nil))
			is.Equal(p.assignNow(), []string{"later>A"})
		})
	}
}

// A slow target would get a request that it can't begin in time.
func TestRequestThatWouldBeLateAtTheReportedPaceWaits(t *testing.T) {
	is := is.New(t)
	p := newTestPool(4 * time.Millisecond)
	w := p.work("r", 0, func(w *Work) { w.PromptTokens = 15_000 })
	before := p.score(p.targets["A"], w, p.now, p.location, 0)
	is.True(before.onTime)
	p.report("A", loadreport.Load{Slots: 8, Pace: 4})
	now := p.score(p.targets["A"], w, p.now, p.location, 0)
	is.True(now.expected > before.expected*5/4)
	is.True(now.step > before.step*5/4)
}

func TestRequestsOfOtherSourcesTakeSlots(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 9*time.Millisecond)
	p.setFreeSlots("A", 4)
	p.report("A", loadreport.Load{Running: 8, Waiting: 3, Slots: 8}) // Four are known.
	p.enqueue(p.work("r", 0, nil))
	is.Equal(p.assignNow(), []string{"r>B"})
}

// False reports of all targets must not cost more than a short wait: the requests would be
// refused while all slots are free.
func TestRequestsWaitOnlyShortlyBecauseOfReports(t *testing.T) {
	for name, load := range map[string]loadreport.Load{"full": {Running: 1000, Slots: 8}, "slow": {Slots: 8, Pace: 400}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(4*time.Millisecond, 4*time.Millisecond)
			report := func() {
				p.report("A", load)
				p.report("B", load)
			}
			p.enqueue(p.work("r", 0, func(w *Work) { w.PromptTokens, w.Goal = 15_000, p.now.Add(800*time.Millisecond) }))
			report()
			is.Equal(len(p.assignNow()), 0)
			p.now = p.now.Add(maxReportedWait)
			report()
			is.Equal(len(p.assignNow()), 1)
		})
	}
}

// A report that is as old as its response would show requests that have ended as those of
// others.
func TestRequestsThatHaveJustEndedAreNotThoseOfOthers(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 0)
	p.now = p.now.Add(10 * time.Second)
	p.setFreeSlots("A", 7)
	p.now = p.now.Add(100 * time.Millisecond)
	p.report("A", loadreport.Load{Running: 8, Slots: 8})
	is.Equal(p.targets["A"].occupied(p.now), 1)
	p.now = p.now.Add(2 * peakInterval)
	p.report("A", loadreport.Load{Running: 8, Slots: 8})
	is.Equal(p.targets["A"].occupied(p.now), 8)
}

// All nodes that read the same report would send to the same target.
func TestWhatWasSentSinceAReportCountsOnTopOfIt(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
	p.engine = nil
	p.report("A", loadreport.Load{Slots: 8, Pace: 0.5})
	for range 12 {
		p.enqueue(p.work("r", 0, nil))
	}
	p.assignNow()
	a, b := p.targets["A"].own.Requests, p.targets["B"].own.Requests
	is.True(a > b)
	is.Equal(a+b, 12)
	p.report("B", loadreport.Load{Running: 1, Slots: 8, Pace: 1}) // Those sent are not forgotten.
	is.Equal(p.targets["B"].occupied(p.now), b)
}

// The owners of many zones read the same reports at the same time.
func TestZonesThatReadTheSameReportDoNotAllSendToTheSameTarget(t *testing.T) {
	is := is.New(t)
	const zones, targets = 300, 10
	atFastest := 0
	for range zones {
		p := newTestPool(slices.Repeat([]time.Duration{2 * time.Millisecond}, targets)...)
		for _, t := range p.targets {
			t.Zone = "b"
		}
		p.report("A", loadreport.Load{Slots: 8, Pace: 0.5})
		p.enqueue(p.work("r", 0, nil))
		if p.assignNow()[0] == "r>A" {
			atFastest++
		}
	}
	is.True(atFastest > zones/targets)                         // It counts.
	is.True(atFastest < zones*3/2*otherZoneCandidates/targets) // Most did not compare it.
}

// The others' prefill times would be learned from what only this target reports.
func TestReportedPaceIsNotLearnedForTheService(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	before := p.engine.prefillTokensPerStep
	w := p.work("r", 0, func(w *Work) { w.PromptTokens = 5000 })
	p.report("A", loadreport.Load{Slots: 8, Pace: 2.5})
	c := p.score(p.targets["A"], w, p.now, p.location, 0)
	f := &inFlightRequest{work: w, target: c.target, pace: c.pace}
	p.engine.learnPrefill(c.target, 0, w.PromptTokens, f.atLearnedPace(c.expected))
	is.True(p.engine.prefillTokensPerStep > before*0.99 && p.engine.prefillTokensPerStep < before*1.01)
}

func TestReportsReachTheNodesThatChooseTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		targets := []*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 4}, {ID: "i-2", Service: "s", Zone: "a", Slots: 4}}
		nodes := make([]*Manager, 2)
		for i := range nodes {
			nodes[i] = NewManager(Options{
				Node: "n", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
				Publish:     func(target string, own Use) { nodes[1-i].SetRemoteUse("other", target, own) },
				PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
			})
			nodes[i].ApplyTargets(targets, nil)
			go nodes[i].Run(t.Context())
		}
		acquire := func(m *Manager) *Grant {
			now := time.Now()
			g, err := m.Acquire(t.Context(), &Work{Service: "s", Arrived: now, Goal: now.Add(time.Second), Patience: now.Add(time.Second), End: now.Add(time.Second)})
			is.NoErr(err)
			synctest.Wait()
			return g
		}
		first := acquire(nodes[0])
		nodes[0].RecordLoad(first.Target.ID, loadreport.Load{Running: 1, Slots: 4, Pace: 4})
		first.Done(Answered)
		synctest.Wait()
		for range 2 { // Both targets are idle; one is slow.
			is.True(acquire(nodes[1]).Target.ID != first.Target.ID)
		}
	})
}
