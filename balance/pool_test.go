package balance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// testPool is a pool with some engines and a fixed time.
type testPool struct {
	*pool
	now      time.Time
	queues   remoteQueues
	granted  []string
	location location
}

func newTestPool(steps ...time.Duration) *testPool {
	p := &testPool{
		now:      time.Unix(1000, 0),
		queues:   newRemoteQueues("n1", map[string]string{"a": "r", "b": "r2"}),
		location: location{zone: "a", regions: map[string]string{"a": "r", "b": "r2"}},
	}
	p.pool = &pool{name: "s", engine: newTestEngine(), targets: make(map[string]*target), publishedWaiting: make(map[int]int)}
	for i, step := range steps {
		t := newTestTarget(string(rune('A'+i)), p.now)
		t.speed.reported = step.Seconds()
		p.targets[t.ID] = t
	}
	return p
}

// setFreeSlots occupies all but the given number of slots of a target.
func (p *testPool) setFreeSlots(id string, free int) {
	p.targets[id].own.Requests = p.targets[id].Slots - free
	p.targets[id].updateFreed(p.now)
}

func (p *testPool) work(id string, tier int, edit func(*Work)) *Work {
	w := &Work{
		ID: id, Service: "s", Route: "r", Tier: tier, PromptTokens: 1000, EstimatedOutputTokens: 100,
		Arrived: p.now, Goal: p.now.Add(time.Second), Patience: p.now.Add(4 * time.Second), End: p.now.Add(15 * time.Second),
	}
	if edit != nil {
		edit(w)
	}
	return w
}

func (p *testPool) enqueue(works ...*Work) (replies []chan decision) {
	for _, w := range works {
		reply := make(chan decision, 1)
		replies = append(replies, reply)
		p.waiting = append(p.waiting, &waiter{work: w, reply: reply})
	}
	return replies
}

func (p *testPool) assignNow() []string {
	p.granted = nil
	p.assign(p.now, p.location, 1, &p.queues, assignCallbacks{
		assigned: func(w *waiter, c choice) { p.granted = append(p.granted, w.work.ID+">"+c.target.ID) },
		refused:  func(*waiter, *Refusal) {},
	})
	return p.granted
}

func (p *testPool) waitingIDs() (ids []string) {
	for _, w := range p.waiting {
		ids = append(ids, w.work.ID)
	}
	slices.Sort(ids)
	return ids
}

func makeLate(w *Work) { w.Goal = w.Arrived.Add(-time.Second) }

func TestMoreImportantRequestGetsTheLastSlot(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 1)
	p.enqueue(p.work("mail", 2, nil), p.work("chat", 1, nil), p.work("draft", 0, nil))
	is.Equal(p.assignNow(), []string{"draft>A"})
	is.Equal(p.waitingIDs(), []string{"chat", "mail"})
}

func TestHigherValueDensityGoesFirstWithinATier(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.engine.meanPromptTokens["r"], p.engine.meanOutputTokens["r"] = 1000, 100
	p.setFreeSlots("A", 1)
	p.enqueue(p.work("long", 0, func(w *Work) { w.EstimatedOutputTokens = 3000 }), p.work("short", 0, nil))
	is.Equal(p.assignNow(), []string{"short>A"})
}

func TestOnTimeRequestGoesBeforeALateOne(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 1)
	p.enqueue(p.work("late", 0, makeLate), p.work("chat", 1, nil))
	is.Equal(p.assignNow(), []string{"chat>A"})
}

func TestLateRequestIsServedWhenNothingElseWaits(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 1)
	p.enqueue(p.work("late", 0, makeLate))
	is.Equal(p.assignNow(), []string{"late>A"})
}

func TestLateRequestIsRefusedAtOnceWhileOthersWait(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 0)
	replies := p.enqueue(p.work("late", 0, makeLate), p.work("chat", 1, nil))
	is.Equal(len(p.assignNow()), 0)
	is.Equal(p.waitingIDs(), []string{"chat"})
	d := <-replies[0]
	is.True(d.refusal != nil)
	is.Equal(d.refusal.RetryAfter, 5*time.Second) // a third of the time that the caller has left
}

func TestLateRequestWaitsWhileNoOtherDoes(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("late", 0, makeLate))
	is.Equal(len(p.assignNow()), 0)
	is.Equal(p.waitingIDs(), []string{"late"})
}

func TestRequestIsRefusedWhenItsPatienceEnds(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 0)
	replies := p.enqueue(p.work("draft", 0, func(w *Work) { w.Patience = p.now }))
	is.Equal(len(p.assignNow()), 0)
	is.True((<-replies[0]).refusal != nil)
}

func TestLongPromptGoesToAFastEngine(t *testing.T) {
	is := is.New(t)
	p := newTestPool(10*time.Millisecond, 2*time.Millisecond)
	p.enqueue(p.work("draft", 0, func(w *Work) { w.PromptTokens = 40_000 }))
	is.Equal(p.assignNow(), []string{"draft>B"})
}

func TestBusyPoolKeepsFastEnginesForRequestsThatNeedThem(t *testing.T) {
	is := is.New(t)
	p := newTestPool(6*time.Millisecond, 2*time.Millisecond)
	p.setFreeSlots("A", 2)
	p.setFreeSlots("B", 1)
	p.enqueue(p.work("chat", 1, func(w *Work) { w.PromptTokens = 200; w.EstimatedOutputTokens = 30 }))
	is.Equal(p.assignNow(), []string{"chat>A"})
}

func TestPromptBacklogSendsARequestToAnotherTarget(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
	p.targets["A"].remote["n2"] = remoteLoad{Load{Requests: 1, PromptTokens: 30_000}, 30_000, 0, false}
	p.enqueue(p.work("chat", 1, nil))
	is.Equal(p.assignNow(), []string{"chat>B"})
}

func TestFullDrainingFailedOrTriedTargetGetsNoRequest(t *testing.T) {
	for name, set := range map[string]func(p *testPool){
		"full":     func(p *testPool) { p.setFreeSlots("A", 0) },
		"others":   func(p *testPool) { p.targets["A"].remote["n2"] = remoteLoad{Load: Load{Requests: 8}} },
		"draining": func(p *testPool) { p.targets["A"].Draining = true },
		"paused":   func(p *testPool) { p.targets["A"].health.recordFailure("", p.now) },
		"tried":    func(p *testPool) { p.waiting[0].work.Tried = []string{"A"} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(2 * time.Millisecond)
			p.enqueue(p.work("draft", 0, nil))
			set(p)
			is.Equal(len(p.assignNow()), 0)
		})
	}
}

func TestBackoffEnds(t *testing.T) {
	is := is.New(t)
	var h health
	now := time.Unix(0, 0)
	h.recordFailure("", now)
	is.True(h.inBackoff(now.Add(initialBackoff - 1)))
	is.True(!h.inBackoff(now.Add(initialBackoff)))
	for range 20 {
		h.recordFailure("", now)
	}
	is.True(!h.inBackoff(now.Add(maxBackoff)))
	h.recordSuccess()
	is.True(!h.inBackoff(now))
}

// A freed slot is reserved for a more important request of another node for as
// long as that node needs to learn of it, and no longer.
func TestFreedSlotIsReservedForAMoreImportantRequestOfTheZone(t *testing.T) {
	for _, c := range []struct {
		name, source string
		tier         int
		reserve      time.Duration
	}{
		{"of this zone", "n0", 0, sameZoneReserveTime},
		{"of another zone, which would hear of it too late", "b", 0, 0},
		{"less important", "b", 2, 0},
		{"as important, of another zone", "b", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(2 * time.Millisecond)
			p.setFreeSlots("A", 0)
			p.queues.set(c.source, "s", c.tier, 3)
			p.enqueue(p.work("chat", 1, func(w *Work) { w.Goal = p.now.Add(10 * time.Second) }))
			p.assignNow()
			p.targets["A"].own.Requests--
			p.targets["A"].updateFreed(p.now)
			if c.reserve > 0 {
				is.Equal(len(p.assignNow()), 0)
				p.now = p.now.Add(c.reserve - time.Millisecond)
				is.Equal(len(p.assignNow()), 0)
				p.now = p.now.Add(time.Millisecond)
			}
			is.Equal(p.assignNow(), []string{"chat>A"})
		})
	}
}

func TestNodeWithMostWaitingRequestsGoesFirst(t *testing.T) {
	is := is.New(t)
	q := newRemoteQueues("n2", map[string]string{"a": "r"})
	q.set("n1", "s", 0, 3)
	is.Equal(q.reserveTime("s", 0, 2), sameZoneReserveTime)
	is.Equal(q.reserveTime("s", 0, 4), time.Duration(0))
	is.Equal(q.reserveTime("s", 0, 3), sameZoneReserveTime) // equal counts: the lower name goes first
	is.Equal(q.reserveTime("other", 0, 0), time.Duration(0))
	q.set("n1", "s", 0, 0)
	is.Equal(q.reserveTime("s", 0, 1), time.Duration(0))
}

func TestIdleSlotIsNotReserved(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.queues.set("b", "s", 0, 3)
	p.enqueue(p.work("chat", 1, nil))
	// The slot has been free for longer than the reserve time: the others do not
	// use it.
	is.Equal(p.assignNow(), []string{"chat>A"})
}

// The owner of another zone uses freed slots itself while requests wait there,
// so a slot that has just been reported free may already be taken.
func TestFreedSlotInAnotherZoneIsReservedForItsOwner(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
	p.targets["B"].Target.Zone = "b"
	p.setFreeSlots("A", 0)
	p.setFreeSlots("B", 0)
	p.enqueue(p.work("chat", 1, nil))
	p.assignNow()
	p.targets["B"].own.Requests--
	p.targets["B"].updateFreed(p.now)
	is.Equal(len(p.assignNow()), 0)
	p.now = p.now.Add(otherZoneReserveTime)
	is.Equal(p.assignNow(), []string{"chat>B"})
}

// If the owners of all zones see the same idle engine, they must not all choose
// it.
func TestLoadIsSpreadOverTargetsOfOtherZones(t *testing.T) {
	is := is.New(t)
	steps := make([]time.Duration, 20)
	for i := range steps {
		steps[i] = time.Duration(2+i) * time.Millisecond
	}
	chosen := make(map[string]bool)
	for range 100 {
		p := newTestPool(steps...)
		for _, t := range p.targets {
			t.Target.Zone = "b"
		}
		p.enqueue(p.work("chat", 1, nil))
		chosen[p.assignNow()[0]] = true
	}
	is.True(len(chosen) > 5)
}

func TestRequestsOfOneTierAreOrderedByRank(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 1)
	p.enqueue(p.work("mail", 1, func(w *Work) { w.Rank, w.EstimatedOutputTokens = 2, 10 }), p.work("draft", 1, func(w *Work) { w.EstimatedOutputTokens = 1000 }))
	is.Equal(p.assignNow(), []string{"draft>A"})
}

func TestPlainServiceTakesTheLeastLoadedTarget(t *testing.T) {
	is := is.New(t)
	p := newTestPool(time.Millisecond, time.Millisecond)
	p.engine = nil
	p.targets["A"].own.Requests = 3
	p.enqueue(p.work("book", 2, nil))
	is.Equal(p.assignNow(), []string{"book>B"})
}

func TestOtherZoneIsUsedWhenThisZoneIsFull(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
	p.targets["B"].Zone = "b"
	p.enqueue(p.work("one", 0, nil))
	is.Equal(p.assignNow(), []string{"one>A"})
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("two", 0, nil))
	is.Equal(p.assignNow(), []string{"two>B"})
}

func TestRestartedInstanceStartsWithoutLoad(t *testing.T) {
	is := is.New(t)
	p := newTestPool()
	p.setTargets([]*catalog.Target{{ID: "A", Started: 1, Slots: 8}}, p.now)
	p.targets["A"].own.Requests = 5
	p.setTargets([]*catalog.Target{{ID: "A", Started: 1, Slots: 8, Draining: true}}, p.now)
	is.Equal(p.targets["A"].own.Requests, 5)
	is.True(p.targets["A"].Draining)
	p.setTargets([]*catalog.Target{{ID: "A", Started: 2, Slots: 8}}, p.now)
	is.Equal(p.targets["A"].own.Requests, 0)
	p.setTargets(nil, p.now)
	is.Equal(len(p.targets), 0)
}

func TestLimitedTargetIsKeptForRequestsThatOccupyASlotForLong(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.targets["A"].rate.stated, p.targets["A"].rate.statedAt = 1, p.now
	short := func(w *Work) { w.PromptTokens = 100; w.EstimatedOutputTokens = 10 }
	long := func(w *Work) { w.PromptTokens = 100; w.EstimatedOutputTokens = 1000 }
	p.engine.meanSlotSeconds = p.engine.slotSeconds(p.work("mean", 1, func(w *Work) { w.PromptTokens = 100; w.EstimatedOutputTokens = 500 }))
	p.enqueue(p.work("short-1", 1, short))
	is.Equal(p.assignNow(), []string{"short-1>A"}) // Two may be sent.
	p.enqueue(p.work("short-2", 1, short))
	p.enqueue(p.work("long", 1, long))
	is.Equal(p.assignNow(), []string{"long>A"})
}
