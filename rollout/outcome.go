package rollout

import (
	"slices"
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
	// usualSamples is the number of responses of which the median counts as usual, and
	// minUsualSamples that from which it is known.
	usualSamples    = 32
	minUsualSamples = 8
	// brokenInterval is the time in which responses of one target that break off count once:
	// a target that crashes breaks all of its responses.
	brokenInterval = time.Second
)

// usual is the median of the last response times.
type usual struct {
	samples []time.Duration
	next    int
	median  time.Duration
}

func (u *usual) add(d time.Duration) {
	if len(u.samples) < usualSamples {
		u.samples = append(u.samples, d)
	} else {
		u.samples[u.next] = d
	}
	u.next = (u.next + 1) % usualSamples
	sorted := slices.Sorted(slices.Values(u.samples))
	u.median = sorted[len(sorted)/2]
}

// exceeded reports whether a time is more than a multiple of the usual one.
func (u *usual) exceeded(d time.Duration, factor float64) bool {
	return len(u.samples) >= minUsualSamples && float64(d) > factor*float64(u.median)
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
	slow := !cold && (route.first.exceeded(first, factor) || gap > 0 && route.gap.exceeded(gap, factor))
	c := Counts{Responses: 1}
	switch result {
	case balance.Answered, balance.Abandoned:
		if result == balance.Abandoned && !slow {
			return
		}
		if slow {
			c.Slow = 1
		}
		if !isNew && !cold && result == balance.Answered {
			route.first.add(first)
			if gap > 0 {
				route.gap.add(gap)
			}
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
