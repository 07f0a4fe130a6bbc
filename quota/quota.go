// Package quota keeps teams within their limits over all nodes, and the node
// within its share of the retries.
package quota

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Slack is what may pass beyond a team's limit in a window, over all nodes:
// Overshoot times the limit, plus Fixed in the limit's unit.
type Slack struct {
	Window    time.Duration
	Overshoot float64
	Fixed     float64
}

// Allowance is each node's copy of what all teams use. Within a window a team
// may use its rate times the window, plus its burst. A bucket spreads that over
// the window, so that a busy team is served evenly.
//
// A node books its own requests at once and those of others when it hears of
// them, and draws its levels towards theirs, so that the copies stay alike
// although nodes start at different times. For the nodes that it does not hear
// of it leaves their share of the rate, and they do the same, so that the parts
// of a split deployment stay within the limit together.
type Allowance struct {
	slack Slack
	// publish tells the other nodes of a booking.
	publish func(team string, amount float64, level *int64)
	started time.Time

	mu    sync.Mutex
	books map[string]*book
	// silent is the share of the nodes that is not heard of.
	silent float64
}

// book is what is known of one team's use.
type book struct {
	level float64
	// begun is set once the level holds what a node may use at its start.
	begun bool
	// at is when the level was last filled up, drawn when it was last drawn
	// towards another node's.
	at    time.Time
	drawn time.Time
	used  window
}

const (
	// assumedNodes share the limits while the list of nodes is not known.
	assumedNodes = 8
	// usedSlack is the part of the slack that widens the limit, so that no
	// request within it is refused because copies differ. The rest covers what
	// was booked elsewhere and is not heard of yet, and what was booked before
	// all nodes started anew.
	usedSlack = 0.2
	// minWait and maxWait bound the time that a caller is told to stay away.
	minWait = 50 * time.Millisecond
	maxWait = 30 * time.Second
	// drawRate is how far, per second, a level moves towards what other nodes
	// report. A report lacks what this node has booked since the other heard of
	// it, so that drawing faster would give a team more than its limit.
	drawRate = 0.5
	// startSlack is the part of the slack that all nodes together may use at
	// their start, before they have heard of each other.
	startSlack = 0.1
	// settleTime is how long a node takes other nodes' levels as they are after
	// its start, and does not tell its own.
	settleTime = 3 * time.Second
)

// NewAllowance returns an Allowance whose buckets hold a part of the slack and
// fill from now on: what was booked before a start is not known.
func NewAllowance(slack Slack, publish func(team string, amount float64, level *int64)) *Allowance {
	return &Allowance{
		slack: slack, publish: publish, started: time.Now(), books: make(map[string]*book), silent: 1 - 1.0/assumedNodes,
	}
}

// Take books an amount for a team. If the team has not enough left, it returns
// when it will have.
func (a *Allowance) Take(team *catalog.Team, amount float64) (time.Duration, bool) {
	after, level, ok := a.take(team, amount, time.Now())
	if ok {
		a.publish(team.Name, amount, a.known(level))
	}
	return after, ok
}

// known returns a level to be published, or nil while this node has not run long
// enough to know it.
func (a *Allowance) known(level float64) *int64 {
	if time.Since(a.started) < settleTime {
		return nil
	}
	rounded := int64(level)
	return &rounded
}

func (a *Allowance) take(team *catalog.Team, amount float64, now time.Time) (after time.Duration, level float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	heard := 1 - a.silent
	limit := a.limit(team)
	rate := limit / a.slack.Window.Seconds()
	// What was used before a start is not known for the time of a window.
	blind := a.silent > 0 || now.Sub(a.started) < a.slack.Window
	if blind {
		rate = team.Rate
	}
	rate *= heard
	b := a.book(team.Name)
	if !b.begun {
		b.begun = true
		b.level += startSlack * a.slackOf(team) / assumedNodes
	}
	b.level = min(team.Burst*heard, b.level+now.Sub(b.at).Seconds()*rate)
	b.at = now
	b.used.advance(now)
	// A bucket that is not empty admits a request of any size and owes the rest:
	// waiting for the whole amount would refuse the large ones of a busy team
	// while its small ones slip through. A node that does not know what was used
	// elsewhere, or before its start, owes nothing, because all nodes would.
	need := 0.0
	if blind {
		need = amount
	}
	if b.level <= need {
		return waitFor(need-b.level, rate), b.level, false
	}
	if !blind && b.used.sum > limit {
		return waitFor(amount, rate), b.level, false
	}
	b.level -= amount
	b.used.add(now, amount)
	return 0, b.level, true
}

// limit returns what a team may use within a window, with some of the slack.
func (a *Allowance) limit(team *catalog.Team) float64 {
	return a.stated(team) + usedSlack*a.slackOf(team)
}

// stated returns what a team may use within a window as its limit is stated.
func (a *Allowance) stated(team *catalog.Team) float64 {
	return team.Rate*a.slack.Window.Seconds() + team.Burst
}

func (a *Allowance) slackOf(team *catalog.Team) float64 {
	return a.stated(team)*a.slack.Overshoot + a.slack.Fixed
}

func waitFor(missing, rate float64) time.Duration {
	if rate <= 0 || missing/rate > maxWait.Seconds() {
		return maxWait
	}
	return max(minWait, time.Duration(missing/rate*float64(time.Second)))
}

// Booked takes off what was booked at another node, whose level was as given,
// nil if it does not know.
func (a *Allowance) Booked(team string, amount float64, level *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	b := a.book(team)
	b.level -= amount
	b.used.add(now, amount)
	if level == nil {
		return
	}
	share := min(1, drawRate*now.Sub(b.drawn).Seconds())
	if now.Sub(a.started) < settleTime {
		share = 1
	}
	b.level += share * (float64(*level) - b.level)
	b.drawn = now
}

// Silent sets the share of the nodes that is not heard of.
func (a *Allowance) Silent(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = share
}

// SetSlack sets what may pass beyond the limits. What was counted before is kept
// if the window is the same.
func (a *Allowance) SetSlack(slack Slack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slack.Window != a.slack.Window {
		for _, b := range a.books {
			b.used = newWindow(slack.Window, time.Now())
		}
	}
	a.slack = slack
}

// SilentShare returns the share of the nodes that is not heard of.
func (a *Allowance) SilentShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

func (a *Allowance) book(team string) *book {
	b := a.books[team]
	if b == nil {
		b = &book{at: a.started, drawn: a.started, used: newWindow(a.slack.Window, a.started)}
		a.books[team] = b
	}
	return b
}
