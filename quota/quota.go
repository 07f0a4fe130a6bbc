// Package quota enforces the teams' limits across all nodes, and this node's share
// of the retry budget.
package quota

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Slack is the amount by which all nodes together may exceed a team's limit in a
// window: Overshoot times the limit, plus Fixed in the limit's unit.
type Slack struct {
	Window    time.Duration
	Overshoot float64
	Fixed     float64
}

// Publisher reports what this node books and refunds to the other nodes. level is the
// remaining amount as this node estimates it, or nil if it has no estimate yet.
type Publisher interface {
	Book(team string, amount float64, level *int64)
	// BookReturn reports a refund, and the time since the charge.
	BookReturn(team string, amount float64, delay time.Duration, level *int64)
}

// Allowance is this node's replica of the usage of all teams. Within a window a
// team may use its rate times the window, plus its burst. A token bucket per team
// spreads this amount over the window, so that a busy team is served evenly.
//
// A node books its own requests at once and those of other nodes when they are
// reported, and moves its bucket levels towards the reported ones, so that the
// replicas converge although nodes start at different times. A node leaves the
// unreachable nodes their share of the rate, and they do the same, so that the
// sides of a network partition together stay within the limit.
type Allowance struct {
	slack     Slack
	publisher Publisher
	started   time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	// unreachableShare is the fraction of the nodes that are unreachable.
	unreachableShare float64
	// nodes is the number of nodes that share the limits, 0 until it is known.
	nodes int
	// shareSeconds is the reachable share of the nodes, integrated over the time from
	// the start to sharesAt: what this node may refill for each unit of a rate.
	shareSeconds float64
	// reservedSeconds is the unreachable share of the nodes, integrated likewise: what
	// was left to them.
	reservedSeconds float64
	sharesAt        time.Time
}

// bucket is the known usage of one team.
type bucket struct {
	level float64
	// team is the team as last seen by Take or Return, nil before; capacity is the
	// highest level that it may have, and headroom how far the level was below that.
	team     *catalog.Team
	capacity float64
	headroom *headroom
	// refunds is the sum of the refunds, each times its delay in seconds.
	refunds window
	// initialized is set once the level includes the amount that a node may use
	// right after its start.
	initialized bool
	// refilled is the Allowance's shareSeconds when the level was last refilled;
	// syncedAt is when it was last moved towards another node's level.
	refilled float64
	syncedAt time.Time
	// reserved is what was left to unreachable nodes within a window, less what has been
	// offset against their bookings; reservedAt is the Allowance's reservedSeconds when it
	// was last raised.
	reserved   window
	reservedAt float64
	used       window
	// ownLevel is what this node may use while the level is low, as of ownRefilledAt;
	// ownUsed is the part of used that this node booked.
	ownLevel      float64
	ownRefilledAt time.Time
	ownUsed       window
}

const (
	// limitSlackShare is the fraction of the slack that is added to the limit, so
	// that no request within the limit is refused because the replicas differ. The
	// rest covers bookings of other nodes that are not reported yet, and bookings
	// from before a restart of all nodes.
	limitSlackShare = 0.2
	// minRetryAfter and maxRetryAfter bound the wait that a refused caller is given.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// unknownNodesRetryAfter is the wait while the number of nodes is not known.
	unknownNodesRetryAfter = 200 * time.Millisecond
	// lowerRate and raiseRate are the fractions, per second, by which a level moves
	// towards a lower or higher level that another node reports. Nodes with a high
	// level admit and report more than others, and a reported level does not include
	// this node's latest bookings, so that raising levels as fast as lowering them
	// would give a team more than its limit, the more the more nodes there are.
	lowerRate = 0.5
	raiseRate = 0.1
	// scarceTime is the time for which a level, with the expected refunds, must last to
	// count as high. Below it, each of ownShareMinNodes or more nodes uses at most
	// ownShareFactor times its share, since bookings take up to a few hundred milliseconds
	// to reach hundreds of nodes, which would all use the same rest meanwhile. Among fewer
	// nodes they arrive within tens of milliseconds.
	scarceTime       = 500 * time.Millisecond
	ownShareFactor   = 1.25
	ownShareMinNodes = 12
	// scarceWindowShare is the part of what is left in the window that must last for
	// scarceTime. Without this bound, 300 nodes passed a limit and its slack by 3 % when
	// refunds had ended.
	scarceWindowShare = 0.5
	// startRateShare is the fraction of a team's rate that a node counts with in the
	// first window after its start: if all nodes have restarted, nobody knows what
	// was used before, and bookings take longer to arrive than usual.
	startRateShare = 0.8
	// startSlackShare is the fraction of the slack that all nodes together may use
	// at their start, before they have received each other's reports.
	startSlackShare = 0.1
	// warmUpTime is the time after its start during which a node adopts other
	// nodes' levels unchanged and does not publish its own.
	warmUpTime = 3 * time.Second
)

// NewAllowance returns an Allowance whose buckets are empty until SetNodes has set
// how many nodes there are. They then hold this node's share of a fraction of the
// slack and refill, because bookings from before the start are not known.
func NewAllowance(slack Slack, publisher Publisher) *Allowance {
	now := time.Now()
	return &Allowance{
		slack: slack, publisher: publisher, started: now, sharesAt: now, buckets: make(map[string]*bucket), unreachableShare: 1,
	}
}

// Take books an amount for a team. If the team has not enough left, Take returns
// false and the time after which it will have.
func (a *Allowance) Take(team *catalog.Team, amount float64) (time.Duration, bool) {
	after, level, ok := a.take(team, amount, time.Now())
	if ok {
		a.publisher.Book(team.Name, amount, a.publishableLevel(level))
	}
	return after, ok
}

// publishableLevel returns the level to publish, or nil during warmUpTime, when this
// node's level is not reliable yet.
func (a *Allowance) publishableLevel(level float64) *int64 {
	if time.Since(a.started) < warmUpTime {
		return nil
	}
	rounded := int64(level)
	return &rounded
}

func (a *Allowance) take(team *catalog.Team, amount float64, now time.Time) (after time.Duration, level float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.nodes == 0 {
		return unknownNodesRetryAfter, 0, false
	}
	reachableShare := 1 - a.unreachableShare
	a.integrateShare(now)
	limit, usageUnknown := a.windowLimit(team), a.usageUnknown(now)
	b := a.bucket(team.Name)
	rate := a.refill(b, team, now)
	rate *= reachableShare
	b.used.advance(now)
	// What waits and is expected to be refused is run after all once targets are free
	// again: the slack is kept for it.
	expected := b.expectedRefunds(now)
	limit = max(a.configuredLimit(team), limit-expected)
	// A bucket that is not empty admits a request of any size and goes into debt:
	// requiring the whole amount would starve the large requests of a busy team
	// while its small ones are admitted. A node that does not know the usage on other
	// nodes, or before its start, allows no debt, because all nodes would go into
	// debt at once.
	need := 0.0
	if usageUnknown {
		need = amount
	}
	if b.level <= need {
		return retryAfter(need-b.level, rate), b.level, false
	}
	if !usageUnknown && b.used.sum > limit {
		// All nodes would begin together with what they saved up when the window has room.
		b.ownLevel, b.ownRefilledAt = min(0, b.ownLevel), now
		return retryAfter(amount, rate), b.level, false
	}
	// The rate is what the reachable nodes, this one included, may use together.
	reachableNodes := max(1, float64(a.nodes)*reachableShare)
	b.refillOwn(now, rate, reachableNodes, usageUnknown)
	// Many nodes would all use what is left in the window before they hear of each other,
	// also with a high level, which refunds raise at all nodes at once.
	left := b.level + expected
	if !usageUnknown {
		left = min(left, scarceWindowShare*(limit-b.used.sum))
	}
	scarce := left < scarceTime.Seconds()*rate
	if a.nodes >= ownShareMinNodes && scarce && b.ownLevel <= 0 {
		return retryAfter(-b.ownLevel, rate/reachableNodes), b.level, false
	}
	b.level -= amount
	b.ownLevel -= amount
	b.used.add(now, amount)
	b.ownUsed.add(now, amount)
	return 0, b.level, true
}

// usageUnknown reports whether this node may not know what a team has used on other
// nodes, or before its start, which remains unknown for the length of a window.
func (a *Allowance) usageUnknown(now time.Time) bool {
	return a.unreachableShare > 0 || now.Sub(a.started) < a.slack.Window
}

// refill refills a team's level for the time since the last refill, and returns the
// rate at which all nodes together refill it. integrateShare must have been called.
func (a *Allowance) refill(b *bucket, team *catalog.Team, now time.Time) (rate float64) {
	rate = a.windowLimit(team) / a.slack.Window.Seconds()
	if a.usageUnknown(now) {
		rate = team.Rate
	}
	if now.Sub(a.started) < a.slack.Window {
		rate *= startRateShare
	}
	if !b.initialized && a.nodes > 0 {
		b.initialized = true
		b.level += startSlackShare * a.slackAmount(team) / float64(a.nodes)
	}
	b.team, b.capacity = team, team.Burst*(1-a.unreachableShare)
	b.level = min(b.capacity, b.level+(a.shareSeconds-b.refilled)*rate)
	b.refilled = a.shareSeconds
	b.headroom.record(now, b.capacity-b.level)
	b.reserved.add(now, (a.reservedSeconds-b.reservedAt)*rate)
	b.reservedAt = a.reservedSeconds
	return rate
}

// refillOwn refills what this node may use while the level is low: ownShareFactor
// times its share of the team's recent usage, or of the nodes if that is more or the
// usage of others is not known.
func (b *bucket) refillOwn(now time.Time, rate, reachableNodes float64, usageUnknown bool) {
	b.ownUsed.advance(now)
	share := 1 / reachableNodes
	if b.used.sum > 0 && !usageUnknown {
		share = max(share, b.ownUsed.sum/b.used.sum)
	}
	ownRate := ownShareFactor * share * rate
	b.ownLevel = min(scarceTime.Seconds()*ownRate, b.ownLevel+now.Sub(b.ownRefilledAt).Seconds()*ownRate)
	b.ownRefilledAt = now
}

// windowLimit returns the amount that a team may use within a window, including
// limitSlackShare of the slack.
func (a *Allowance) windowLimit(team *catalog.Team) float64 {
	return a.configuredLimit(team) + limitSlackShare*a.slackAmount(team)
}

// configuredLimit returns the amount that a team may use within a window, without
// slack.
func (a *Allowance) configuredLimit(team *catalog.Team) float64 {
	return team.Rate*a.slack.Window.Seconds() + team.Burst
}

func (a *Allowance) slackAmount(team *catalog.Team) float64 {
	return a.configuredLimit(team)*a.slack.Overshoot + a.slack.Fixed
}

func retryAfter(missing, rate float64) time.Duration {
	if rate <= 0 || missing/rate > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(missing/rate*float64(time.Second)))
}

// RecordRemote subtracts an amount that was booked on another node. The level
// is that node's, or nil if it does not publish one yet. over is the time in which
// it was booked, if that node was silent for so long, or 0: such an amount is first
// offset against what was left to unreachable nodes.
func (a *Allowance) RecordRemote(team string, amount float64, level *int64, over time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.integrateShare(now)
	b := a.bucket(team)
	b.used.addOver(now, over, amount)
	if over > 0 {
		b.reserved.advance(now)
		offset := max(0, min(amount, b.reserved.sum))
		b.reserved.add(now, -offset)
		amount -= offset
	}
	b.level -= amount
	a.adoptLevel(b, level, now)
}

// adoptLevel moves a level towards that of another node, nil if it is unknown.
func (a *Allowance) adoptLevel(b *bucket, level *int64, now time.Time) {
	if level == nil {
		return
	}
	rate := lowerRate
	if float64(*level) > b.level {
		rate = raiseRate
	}
	share := min(1, rate*now.Sub(b.syncedAt).Seconds())
	if now.Sub(a.started) < warmUpTime {
		share = 1
	}
	b.level += share * (float64(*level) - b.level)
	b.syncedAt = now
	if b.team != nil {
		b.headroom.record(now, b.capacity-b.level)
	}
}

// SetNodes sets how many nodes share the limits, and the fraction of them that is
// unreachable.
func (a *Allowance) SetNodes(nodes int, unreachableShare float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrateShare(time.Now())
	a.nodes, a.unreachableShare = nodes, unreachableShare
}

// Ready reports whether the number of nodes that share the limits is known. Until
// then nothing is admitted.
func (a *Allowance) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nodes > 0
}

// integrateShare advances shareSeconds. What a team may use for a time in which other
// nodes were not heard stays this node's share, also once they are: they refilled the
// rest.
func (a *Allowance) integrateShare(now time.Time) {
	elapsed := now.Sub(a.sharesAt).Seconds()
	a.shareSeconds += elapsed * (1 - a.unreachableShare)
	a.reservedSeconds += elapsed * a.unreachableShare
	a.sharesAt = now
}

// SetSlack sets the slack. Counted usage is kept if the window is unchanged.
func (a *Allowance) SetSlack(slack Slack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slack.Window != a.slack.Window {
		for _, b := range a.buckets {
			now := time.Now()
			b.used, b.ownUsed, b.reserved = newWindow(slack.Window, now), newWindow(slack.Window, now), newWindow(slack.Window, now)
			b.headroom, b.refunds = newHeadroom(slack.Window, now), newWindow(slack.Window, now)
		}
	}
	a.slack = slack
}

// SilentShare returns the fraction of the nodes that are unreachable.
func (a *Allowance) SilentShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachableShare
}

func (a *Allowance) bucket(team string) *bucket {
	b := a.buckets[team]
	if b == nil {
		b = &bucket{
			syncedAt: a.started, ownRefilledAt: a.started,
			used: newWindow(a.slack.Window, a.started), ownUsed: newWindow(a.slack.Window, a.started),
			reserved: newWindow(a.slack.Window, a.started), reservedAt: a.reservedSeconds,
			headroom: newHeadroom(a.slack.Window, a.started), refunds: newWindow(a.slack.Window, a.started),
		}
		a.buckets[team] = b
	}
	return b
}
