package limits

import (
	"math"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// burst is the time whose share may be used at once.
const burst = 2 * time.Second

// decay is the part of a sparse demand that is kept from one report to the
// next when fewer callers come by chance.
const decay = 0.7

// sparse is the number of requests between reports below which a demand is
// mostly chance.
const sparse = 5

// A node may admit this many requests after a quiet time, however small its
// share: without a grant and with one.
const (
	minBurst     = 2
	grantedBurst = 4
)

// inFlightRetry is the wait stated to a caller refused for requests in flight.
const inFlightRetry = time.Second

// rateBucket is a token bucket that may go into debt.
type rateBucket struct {
	limited  bool
	level    float64
	rate     float64
	capacity float64
	updated  time.Time
}

// setRate changes the rate from now on. A bucket holds at least least, and as
// much as an even share of the limit over all nodes, so that a caller who
// was idle may begin with a burst.
func (b *rateBucket) setRate(now time.Time, limit, rate, least float64, nodes int) {
	fresh := b.updated.IsZero()
	b.refill(now)
	b.limited = limit > 0
	b.rate = rate
	b.capacity = max(least, max(rate, limit/float64(nodes))*burst.Seconds())
	if fresh {
		b.level = b.capacity
	}
	b.level = min(b.level, b.capacity)
}

func (b *rateBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 && !b.updated.IsZero() {
		b.level = min(b.capacity, b.level+b.rate*elapsed)
	}
	b.updated = now
}

// wait returns the time until the level reaches need; 0 means now.
func (b *rateBucket) wait(need float64) time.Duration {
	if !b.limited || b.level >= need {
		return 0
	}
	seconds := (need - b.level) / b.rate
	return time.Duration(math.Ceil(min(seconds, time.Hour.Seconds())*1e3)) * time.Millisecond
}

func (b *rateBucket) low() bool {
	return b.limited && b.level < b.capacity/2
}

// bucket holds one team's share of its limits on this node.
type bucket struct {
	mu       sync.Mutex
	team     string
	limit    amounts
	nodes    int
	requests rateBucket
	tokens   rateBucket
	slots    float64
	inFlight int
	// granted ends when the allocator's grant does; zero means none.
	granted time.Time
	// seen counts what callers asked for since measured.
	seen     amounts
	refused  bool
	measured time.Time
	// recent is the demand told last; it falls gradually.
	recent amounts
	// urgent is signalled by a refusal that a grant might have avoided.
	urgent chan<- struct{}
}

func newBucket(now time.Time, team string, limit amounts, nodes int, urgent chan<- struct{}) *bucket {
	b := &bucket{team: team, measured: now, urgent: urgent}
	b.configure(now, limit, nodes)
	return b
}

// configure sets the limit and falls back to the base share if either changed.
func (b *bucket) configure(now time.Time, limit amounts, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == limit && b.nodes == nodes {
		return
	}
	b.limit, b.nodes = limit, nodes
	b.granted = time.Time{}
	b.setShare(now, amounts{})
}

// setShare puts the base and an extra share in force.
func (b *bucket) setShare(now time.Time, extra amounts) {
	share := b.limit.base(b.nodes).plus(extra)
	least := float64(grantedBurst)
	if b.granted.IsZero() {
		least = minBurst
	}
	b.requests.setRate(now, b.limit.requests, share.requests, least, b.nodes)
	b.tokens.setRate(now, b.limit.tokens, share.tokens, least, b.nodes)
	b.slots = math.Floor(share.inFlight)
	if b.granted.IsZero() {
		b.slots = max(1, b.slots)
	}
}

// grant puts a granted share in force until expires.
func (b *bucket) grant(now, expires time.Time, extra amounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted = expires
	b.setShare(now, extra)
}

// allow admits one request, or says why not.
func (b *bucket) allow(now time.Time, tokens float64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.requests.refill(now)
	b.tokens.refill(now)
	b.seen.requests++
	b.seen.tokens += tokens
	if wait := b.requests.wait(1); wait > 0 {
		return b.refuse("requests per second", wait)
	}
	if wait := b.tokens.wait(1); wait > 0 {
		return b.refuse("tokens per second", wait)
	}
	if b.limit.inFlight > 0 && float64(b.inFlight) >= b.slots {
		return b.refuse("requests in flight", inFlightRetry)
	}
	b.requests.level--
	b.tokens.level -= tokens
	b.inFlight++
	return nil
}

// expire falls back to the base share when the grant has ended.
func (b *bucket) expire(now time.Time) {
	if !b.granted.IsZero() && !now.Before(b.granted) {
		b.granted = time.Time{}
		b.setShare(now, amounts{})
	}
}

func (b *bucket) refuse(what string, wait time.Duration) error {
	b.refused = true
	if b.granted.IsZero() {
		select {
		case b.urgent <- struct{}{}:
		default:
		}
	}
	return fault.New(schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED,
		"team "+b.team+" is at its limit of "+what,
		"send again after the time stated, or ask the operators for a higher limit").NotRun().After(wait)
}

func (b *bucket) done(now time.Time, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.refill(now)
	b.tokens.level -= tokens
	b.seen.tokens += tokens
	b.inFlight = max(0, b.inFlight-1)
}

// demand returns what callers asked for lately, and whether it is worth
// telling the allocator: while the base share suffices it is not. The end of a
// demand is told, so that others get the share.
func (b *bucket) demand(now time.Time) (amounts, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.requests.refill(now)
	b.tokens.refill(now)
	kept := 0.0
	if b.recent.requests*now.Sub(b.measured).Seconds() < sparse {
		kept = decay
	}
	b.recent = b.recent.fallTo(b.measure(now), kept)
	active := b.seen.requests > 0 || b.inFlight > 0
	short := b.refused || b.requests.low() || b.tokens.low() || b.fewSlots()
	b.seen, b.refused, b.measured = amounts{}, false, now
	if b.recent.below(b.limit.base(b.nodes)) {
		b.recent = amounts{}
	}
	return b.recent, active && short || !b.granted.IsZero()
}

// measure returns the demand since the last report.
func (b *bucket) measure(now time.Time) amounts {
	elapsed := max(now.Sub(b.measured).Seconds(), time.Millisecond.Seconds())
	d := amounts{b.seen.requests / elapsed, b.seen.tokens / elapsed, float64(b.inFlight)}
	if b.refused {
		d.inFlight++
	}
	return d
}

func (b *bucket) fewSlots() bool {
	return b.limit.inFlight > 0 && float64(b.inFlight) > b.slots/2
}
