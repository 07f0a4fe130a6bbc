package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const (
	// otherZoneCost and otherRegionCost are added for a target elsewhere: what
	// the way there and back takes, and what the bytes are worth.
	otherZoneCost   = 20 * time.Millisecond
	otherRegionCost = 120 * time.Millisecond
	// plainCost weighs the load of a plain target against the way to it: a
	// target whose slots are all taken is as far as this.
	plainCost = 200 * time.Millisecond
	// fastCost keeps the fast engines of a busy pool for the requests that need
	// them: an engine of usual speed costs as much more when no slot is free.
	fastCost = 300 * time.Millisecond
	// unknownSlower is how much slower than usual an engine is taken for of which
	// nothing is known, when it is compared with others: a long prompt at a slow
	// engine holds up all that run there, while a short one shows its speed at
	// little cost.
	unknownSlower = 2.0
	// safety stretches a prediction that decides whether a request is on time.
	safety = 1.2
)

// choice is a target for a request, with the inputs that decided.
type choice struct {
	target *target
	// chosen is the target as it was when it was chosen; the manager's goroutine
	// alone reads target.
	chosen *catalog.Target
	// expected is the predicted time to the first event or to the answer.
	expected time.Duration
	cost     time.Duration
	// onTime says that the goal is expected to be met, whole that the answer
	// will have ended before the caller gives up.
	onTime, whole bool
	// load and step are what was known of the target.
	load Load
	step time.Duration
}

func (c choice) seen() Seen { return Seen{Expected: c.expected, Load: c.load, Step: c.step} }

// place is where this node stands.
type place struct {
	zone    string
	regions map[string]string
}

// way returns the cost of a target's place.
func (p place) way(zone string) time.Duration {
	switch {
	case zone == p.zone:
		return 0
	case p.regions[zone] == p.regions[p.zone]:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// score predicts how a request would fare at a target.
func (p *pool) score(t *target, w *Work, now time.Time, at place, busy float64) choice {
	if p.engine != nil {
		t.advance(now, p.engine)
	}
	c := choice{target: t, chosen: t.Target, load: t.load(), onTime: true, whole: true}
	way := at.way(t.Zone)
	if p.engine == nil {
		c.expected = time.Duration(float64(c.load.Requests) / float64(t.Slots) * float64(plainCost))
		c.cost = c.expected + way
		return c
	}
	step := p.engine.stepSeconds(t)
	c.step = seconds(step)
	c.expected = p.engine.firstEvent(t, c.load.PromptTokens, w.PromptTokens)
	first := now.Add(time.Duration(safety*float64(c.expected)) + way)
	c.onTime = first.Before(w.Goal)
	c.whole = first.Add(p.engine.rest(t, p.engine.output(w))).Before(w.End)
	scarce := busy * p.engine.step / step
	c.cost = c.expected + way + time.Duration(scarce*float64(fastCost))
	if !t.pace.known() {
		c.cost += time.Duration((unknownSlower - 1) * float64(c.expected))
	}
	return c
}
