package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// outcome ends a request of a route at a target.
func (p *testPool) outcome(id, route string, r Result) {
	t := p.targets[id]
	switch r {
	case Answered:
		t.health.recordSuccess()
		p.recordOutcome(t, &Work{Route: route}, false, p.now)
	case Failed:
		p.recordOutcome(t, &Work{Route: route}, true, p.now)
	}
}

// A target that fails every request at once looks idle. It must not draw the
// requests of the pool, and gets one at a time until it answers again.
func TestFailingTargetDrawsNoRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	lost, sent := 0, 0
	// One request each 20 ms for 6.4 s; A, the fastest, fails all it gets.
	for i := range 320 {
		p.enqueue(p.work("r", 0, nil))
		for _, g := range p.assignNow() {
			sent++
			target := p.targets[g[len(g)-1:]]
			for w := range target.prefilling {
				target.finishPrefill(w)
			}
			target.own.Requests--
			result := Answered
			if target.ID == "A" {
				result = Failed
				lost++
			}
			p.outcome(target.ID, "r", result)
		}
		p.now = p.now.Add(20 * time.Millisecond)
		_ = i
	}
	is.Equal(sent, 320)
	is.True(lost <= 10) // Three until it is noticed, then one for each backoff.
	// Once it answers again, it gets requests like the others.
	p.now = p.now.Add(maxBackoff)
	p.enqueue(p.work("r", 0, nil))
	is.Equal(p.assignNow(), []string{"r>A"})
	p.outcome("A", "r", Answered)
	p.now = p.now.Add(2 * excessHalfLife)
	p.enqueue(p.work("r2", 0, nil))
	is.Equal(len(p.assignNow()), 1)
	is.True(!p.targets["A"].health.onTrial())
	is.True(!p.targets["A"].health.suspect(p.now))
}

// A target that fails a part of its requests is used last.
func TestTargetThatFailsOftenIsUsedLast(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 3*time.Millisecond)
	for range 4 {
		for _, r := range []Result{Failed, Answered, Failed} {
			p.outcome("A", "r", r)
		}
	}
	p.targets["A"].health.recordSuccess()
	p.enqueue(p.work("r1", 0, nil))
	is.Equal(p.assignNow(), []string{"r1>B"})
	p.setFreeSlots("B", 0)
	p.enqueue(p.work("r2", 0, nil))
	is.Equal(p.assignNow(), []string{"r2>A"})
}

// Requests of a route that fails now and then wherever it runs say nothing of their
// targets.
func TestRouteThatFailsEverywhereMakesNoTargetSuspect(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 1))
	ids := []string{"A", "B", "C"}
	suspect, failing := 0, 0
	for i := range 6000 {
		id := ids[i%3]
		result := Answered
		if r.Float64() < 0.14 {
			result = Failed
		}
		p.outcome(id, "r", result)
		p.now = p.now.Add(10 * time.Millisecond)
		if p.targets[id].health.suspect(p.now) {
			suspect++
		}
		if p.targets[id].health.onTrial() {
			failing++
		}
	}
	is.True(suspect < 6000/20)
	is.True(failing < 6000/100)
}

// A target that stands still with a request gets no more until it moves on.
func TestTargetWithAnOverdueRequestGetsNoMore(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	first := p.work("r1", 0, nil)
	p.enqueue(first)
	is.Equal(p.assignNow(), []string{"r1>A"})
	p.now = p.now.Add(3 * time.Second)
	for range 10 {
		p.enqueue(p.work("r", 0, nil))
	}
	for _, g := range p.assignNow() {
		is.True(g != "r>A")
	}
	p.targets["A"].finishPrefill(first)
	p.enqueue(p.work("r2", 0, nil))
	is.Equal(p.assignNow(), []string{"r2>A"})
}

// If most targets seem to stand still, it is this node that did.
func TestNodeThatWakesUsesItsTargets(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	for range 3 {
		p.enqueue(p.work("r", 0, nil))
	}
	is.Equal(len(p.assignNow()), 3)
	p.now = p.now.Add(5 * time.Second)
	p.enqueue(p.work("r2", 0, nil))
	is.Equal(len(p.assignNow()), 1)
}
