// Package quota keeps teams within their limits over all nodes, and the node
// within its share of the retries.
package quota

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Allowance is each node's copy of one token bucket for each team. A node books
// its own requests at once and those of others when it hears of them, and draws
// its levels towards theirs, so that the copies stay alike although nodes start
// at different times. For the nodes that it does not hear of it leaves their
// share of the rate, and they do the same, so that the parts of a split
// deployment stay within the limit together.
type Allowance struct {
	// publish tells the other nodes of a booking.
	publish func(team string, amount float64, level *int64)
	started time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	// silent is the share of the nodes that is not heard of.
	silent float64
}

// assumedNodes share the limits while the list of nodes is not known.
const assumedNodes = 8

type bucket struct {
	level float64
	// at is when the level was last filled up, drawn when it was last drawn
	// towards another node's.
	at    time.Time
	drawn time.Time
}

// NewAllowance returns an Allowance whose buckets are empty and fill from now
// on: what was booked before a start is not known.
func NewAllowance(publish func(team string, amount float64, level *int64)) *Allowance {
	return &Allowance{publish: publish, started: time.Now(), buckets: make(map[string]*bucket), silent: 1 - 1.0/assumedNodes}
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
	b := a.bucket(team.Name)
	b.level = min(team.Burst*heard, b.level+now.Sub(b.at).Seconds()*team.Rate*heard)
	b.at = now
	// A request larger than the burst waits for a full bucket.
	need := min(amount, team.Burst*heard)
	if b.level < need || heard <= 0 {
		return waitFor(need-b.level, team.Rate*heard), b.level, false
	}
	b.level -= amount
	return 0, b.level, true
}

// maxWait bounds the time that a caller is told to stay away.
const maxWait = 30 * time.Second

func waitFor(missing, rate float64) time.Duration {
	if rate <= 0 || missing/rate > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// drawRate is how far, per second, a level moves towards what other nodes
// report. A report lacks what this node has booked since the other heard of it,
// so that drawing faster would give a team more than its limit.
const drawRate = 0.5

// settleTime is how long a node takes other nodes' levels as they are after its
// start, and does not tell its own.
const settleTime = 3 * time.Second

// Booked takes off what was booked at another node, whose level was as given,
// nil if it does not know.
func (a *Allowance) Booked(team string, amount float64, level *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	b := a.bucket(team)
	b.level -= amount
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

func (a *Allowance) bucket(team string) *bucket {
	b := a.buckets[team]
	if b == nil {
		b = &bucket{at: a.started}
		a.buckets[team] = b
	}
	return b
}
