package rollout

import (
	"math"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// A response is slow if it takes slowFactor times as long as is usual at the other
	// versions: bad versions are several times slower, and sound engines differ in speed. Once these get no requests, what was
	// usual is of the past, when the load may have been lower, and shiftedSlowFactor holds.
	slowFactor        = 3.0
	shiftedSlowFactor = 5.0
	// minUsualSamples is the number of responses from which it is known what is usual.
	minUsualSamples = 8
	// brokenInterval is the time in which responses of one target that break off count once:
	// a target that crashes breaks all of its responses.
	brokenInterval = time.Second
)

// Times sums up times, so that the usual one is known from the responses at all nodes: in a
// large deployment no node sees enough on a quiet route.
type Times struct {
	Count uint64
	// LogMillis is the sum of thousandths of the binary logarithms of the microseconds.
	LogMillis uint64
}

const logUnit = 1000

func timesOf(d time.Duration) Times {
	if d <= 0 {
		return Times{}
	}
	return Times{1, uint64(logUnit * math.Log2(max(1, float64(d)/float64(time.Microsecond))))}
}

func (t Times) plus(o Times) Times { return Times{t.Count + o.Count, t.LogMillis + o.LogMillis} }

func (t Times) most(o Times) Times {
	return Times{max(t.Count, o.Count), max(t.LogMillis, o.LogMillis)}
}

// usual returns the geometric mean, which few slow responses hardly move; 0 if it is not
// known.
func (t Times) usual() time.Duration {
	if t.Count < minUsualSamples {
		return 0
	}
	return time.Duration(math.Exp2(float64(t.LogMillis)/float64(t.Count)/logUnit) * float64(time.Microsecond))
}

// usualTimes are the usual times of a route at the old versions; 0 if not known.
type usualTimes struct{ first, gap time.Duration }

// slow reports whether a response took more than a multiple of what is usual.
func (u usualTimes) slow(first, gap time.Duration, factor float64) bool {
	exceeds := func(d, usual time.Duration) bool { return usual > 0 && float64(d) > factor*float64(usual) }
	return exceeds(first, u.first) || exceeds(gap, u.gap)
}

// usualTimes returns the usual times of each route at the old versions.
func (t Tally) usualTimes() map[string]usualTimes {
	usual := make(map[string]usualTimes)
	for s, c := range t {
		if !s.New {
			usual[s.Route] = usualTimes{c.First.usual(), c.Gaps.usual()}
		}
	}
	return usual
}

// observer passes a request's progress on, and records its outcome.
type observer struct {
	balance.Reporter
	manager *Manager
	rollout *rollout
	work    *balance.Work
	target  *catalog.Target
	sentAt  clock.Instant
	first   time.Duration
}

// FirstEvent implements balance.Reporter.
func (o *observer) FirstEvent(after time.Duration) {
	o.first = after
	o.Reporter.FirstEvent(after)
}

// Ended implements balance.Reporter.
func (o *observer) Ended(r balance.Result, s balance.Sample) {
	o.manager.record(o, r, s)
	o.Reporter.Ended(r, s)
}

// record counts the outcome of a request. What was not sent, not run, or given up in time
// says nothing of the version.
func (m *Manager) record(o *observer, result balance.Result, sample balance.Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, now := o.rollout, m.options.Now()
	isNew := o.target.Version == r.Target
	route := r.route(o.work.Route)
	first, gap := o.first, time.Duration(0)
	if first == 0 {
		first = now.Sub(o.sentAt)
	}
	if sample.Gaps > 0 {
		gap = sample.Total / time.Duration(sample.Gaps)
	}
	i := instance{o.target.ID, o.target.Started}
	cold := now < m.coldUntil[i] || o.sentAt < m.coldUntil[i]
	factor := slowFactor
	if r.phase == Shifting {
		factor = shiftedSlowFactor
	}
	slow := !cold && r.usual[o.work.Route].slow(first, gap, factor)
	c := Counts{Responses: 1}
	switch result {
	case balance.Answered, balance.Abandoned, balance.Overtaken:
		if result != balance.Answered && !slow {
			return
		}
		if slow {
			c.Slow = 1
		}
		if !isNew && !cold && result == balance.Answered {
			c.First, c.Gaps = timesOf(first), timesOf(gap)
		}
	case balance.Broken, balance.Stalled:
		if now.Sub(r.lastBroken[i]) < brokenInterval {
			return
		}
		r.lastBroken[i] = now
		c.Failures = 1
	case balance.Failed:
		c.Failures = 1
	case balance.Unsent:
		if len(o.work.Tried) == 0 && route.sends > 0 {
			route.sends--
		}
		if isNew && r.phase == Trial && route.tries > 0 {
			route.tries--
		}
		return
	default:
		return
	}
	series := Series{o.work.Route, isNew}
	r.own[series] = r.own[series].plus(c)
}
