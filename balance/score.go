package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const (
	// otherZoneCost and otherRegionCost are added for a target outside this
	// node's zone: the network round trip, and the price of the traffic
	// converted to time.
	otherZoneCost   = 20 * time.Millisecond
	otherRegionCost = 120 * time.Millisecond
	// plainLoadCost weighs the load of a plain target against the network cost:
	// it is the cost of a target whose slots are all taken.
	plainLoadCost = 200 * time.Millisecond
	// fastEngineCost keeps the fast engines of a busy pool for the requests that
	// need them: it is the extra cost of an engine of typical speed when no slot
	// is free, and rises in proportion to the speed.
	fastEngineCost = 300 * time.Millisecond
	// unknownSlowdown is how much slower than typical an engine of unknown speed
	// is assumed to be when it is compared with others. This adds the most to long
	// prompts, which would delay all requests on a slow engine; a short prompt
	// measures the engine's speed at little cost.
	unknownSlowdown = 2.0
	// predictionMargin scales the predictions that decide whether a request is on
	// time.
	predictionMargin = 1.2
)

// choice is a target for a request, with the inputs of the decision.
type choice struct {
	target *target
	// config is the target's configuration when it was chosen; only the manager's
	// goroutine reads target.
	config *catalog.Target
	// expected is the predicted time to the first event or to the response.
	expected time.Duration
	cost     time.Duration
	// onTime says whether the goal is expected to be met, completes whether the
	// response is expected to end before the caller gives up.
	onTime, completes bool
	// onTimeAsLearned says whether the goal is expected to be met at the learned speed.
	onTimeAsLearned bool
	// load and step are the load and the step time of the target when it was
	// chosen, and pace the factor by which its reports said that it was slower than
	// learned.
	load Load
	step time.Duration
	pace float64
	// extra counts the requests that others were reported to have there.
	extra int
	// granted is the work that counts as granted to the team.
	granted grantedWork
}

func (c choice) prediction() Prediction {
	return Prediction{Expected: c.expected, Load: c.load, Step: c.step, Pace: c.pace, Extra: c.extra}
}

// location holds this node's zone and the region of each zone.
type location struct {
	zone    string
	regions map[string]string
}

// networkCost returns the cost of reaching a target in a zone.
func (l location) networkCost(zone string) time.Duration {
	switch {
	case zone == l.zone:
		return 0
	case l.regions[zone] == l.regions[l.zone]:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// score predicts how a request would perform at a target.
func (p *pool) score(t *target, w *Work, now time.Time, here location, squaredUtilization float64) choice {
	if p.engine != nil {
		t.advancePrefill(now, p.engine)
	}
	c := choice{target: t, config: t.Target, load: t.load(), onTime: true, completes: true, pace: 1, extra: t.reports.Extra(now, t.Slots)}
	networkCost := here.networkCost(t.Zone)
	if p.engine == nil {
		c.pace = t.reports.Factor(now, 0)
		c.expected = time.Duration(t.plainLoad(now) * float64(plainLoadCost))
		c.cost = c.expected + networkCost
		c.expected = max(0, c.expected)
		return c
	}
	step := p.engine.stepSeconds(t)
	c.expected = p.engine.timeToFirstEvent(t, c.load.PromptTokens, w.PromptTokens)
	c.onTimeAsLearned = now.Add(time.Duration(predictionMargin*float64(c.expected)) + networkCost).Before(w.Goal)
	c.pace = t.reports.Factor(now, c.expected)
	c.expected = time.Duration(c.pace * float64(c.expected))
	c.step = seconds(c.pace * step)
	firstEventAt := now.Add(time.Duration(predictionMargin*float64(c.expected)) + networkCost)
	c.onTime = firstEventAt.Before(w.Goal)
	decode := t.reports.Lasting(now) * float64(p.engine.decodeTime(t, p.engine.expectedOutputTokens(w)))
	c.completes = firstEventAt.Add(time.Duration(decode)).Before(w.End)
	scarcity := squaredUtilization * p.engine.defaultStep / step
	c.cost = c.expected + networkCost + time.Duration(scarcity*float64(fastEngineCost))
	if !t.speed.known() {
		c.cost += time.Duration((unknownSlowdown - 1) * float64(c.expected))
	}
	return c
}
