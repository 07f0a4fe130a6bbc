package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func needsVersion(version string) func(*Work) { return func(w *Work) { w.Version = version } }

// newVersionedPool returns a pool with a slow engine of version 1 and two fast ones of
// version 2.
func newVersionedPool() *testPool {
	p := newTestPool(9*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	p.targets["A"].Version, p.targets["B"].Version, p.targets["C"].Version = "1", "2", "2"
	return p
}

func TestRequestThatNeedsAVersionGetsATargetOfIt(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	p.enqueue(p.work("r", 0, needsVersion("1")), p.work("r2", 1, needsVersion("1")))
	is.Equal(p.assignNow(), []string{"r>A", "r2>A"})
}

func TestRequestWaitsForASlotOfItsVersionAndOthersDoNot(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("r", 0, needsVersion("1")), p.work("other", 3, nil), p.work("late", 3, makeLate))
	is.Equal(len(p.assignNow()), 2)
	is.Equal(p.waitingIDs(), []string{"r"})
	p.setFreeSlots("A", 1)
	p.now = p.now.Add(time.Second)
	is.Equal(p.assignNow(), []string{"r>A"})
}

func TestRequestThatWaitsForItsVersionRefusesNoOther(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	for _, id := range []string{"A", "B", "C"} {
		p.setFreeSlots(id, 0)
	}
	p.enqueue(p.work("r", 0, needsVersion("1")), p.work("late", 0, makeLate))
	is.Equal(len(p.assignNow()), 0)
	is.Equal(p.waitingIDs(), []string{"late", "r"})
}

func TestRequestWhoseVersionHasNoTargetLeftIsRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused bool
		edit    func(*testPool, *Work)
	}{
		{"one target", false, nil},
		{"none of the version", true, func(p *testPool, w *Work) { w.Version = "3" }},
		{"the only one was tried", true, func(p *testPool, w *Work) { w.Tried = []string{"A"} }},
		{"the only one drains", true, func(p *testPool, w *Work) { p.targets["A"].Draining = true }},
		{"the only one says that it leaves", true, func(p *testPool, w *Work) { p.targets["A"].leaving = true }},
		{"the only one was down a moment ago", false, func(p *testPool, w *Work) { p.targets["A"].health.recordFailure("", p.now) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newVersionedPool()
			w := p.work("r", 0, needsVersion("1"))
			if c.edit != nil {
				c.edit(p, w)
			}
			reply := p.enqueue(w, p.work("other", 0, nil))[0]
			p.refuseUnservable()
			is.Equal(len(p.waiting) == 1, c.refused)
			if c.refused {
				is.Equal((<-reply).refusal.Reason, ReasonNoVersion)
			}
		})
	}
}

func needsTarget(id string) func(*Work) { return func(w *Work) { w.Only = id } }

func TestRequestThatNeedsATargetWaitsForItAndTakesNoOther(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("r", 0, needsTarget("A")), p.work("late", 3, makeLate))
	is.Equal(len(p.assignNow()), 1)
	is.Equal(p.waitingIDs(), []string{"r"})
	p.setFreeSlots("A", 1)
	p.now = p.now.Add(time.Second)
	is.Equal(p.assignNow(), []string{"r>A"})
}

func TestRequestWhoseOnlyTargetHasLeftIsRefused(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	p.enqueue(p.work("r", 0, needsTarget("A")), p.work("gone", 0, needsTarget("D")))
	p.refuseUnservable()
	is.Equal(p.waitingIDs(), []string{"r"})
	p.targets["A"].Draining = true
	p.refuseUnservable()
	is.Equal(len(p.waiting), 0)
}

func bars(version string) func(*Work) { return func(w *Work) { w.Barred = []string{version} } }

// During a rollout, a target of a barred version must get nothing, however free it is.
func TestRequestGetsNoTargetOfABarredVersion(t *testing.T) {
	is := is.New(t)
	p := newVersionedPool()
	p.targets["C"].speed.reported = p.targets["A"].speed.reported // B is the fastest.
	p.enqueue(p.work("r", 0, bars("2")), p.work("other", 1, nil))
	is.Equal(p.assignNow(), []string{"r>A", "other>B"})
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("r2", 0, bars("2")))
	is.Equal(len(p.assignNow()), 0)
	p.targets["A"].Draining = true
	p.refuseUnservable()
	is.Equal(len(p.waiting), 0) // It would wait for a version that has no target left.
}

// Targets of other zones are picked at random, so that those of other versions must not hide
// the one that may be used.
func TestRequestFindsTheOneTargetOfItsVersionInAnotherZone(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		p := newTestPool(9*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
		for id, target := range p.targets {
			target.Zone, target.Version = "other", "2"
			if id == "A" {
				target.Version = "1"
			}
		}
		p.now = p.now.Add(time.Minute)
		p.enqueue(p.work("r", 0, []func(*Work){bars("2"), needsVersion("1")}[i%2]))
		is.Equal(p.assignNow(), []string{"r>A"})
	}
}
