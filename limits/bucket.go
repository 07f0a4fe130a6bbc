package limits

import (
	"math"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// sparse is the number of requests between reports below which a demand is
// mostly chance.
const sparse = 5

// minBurst is the number of requests that a node may admit after a quiet time,
// however small its share.
const minBurst = 4

// inFlightRetry is the wait stated to a caller refused for requests in flight.
const inFlightRetry = time.Second

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
	// peak is the most that was in flight since measured.
	peak int
	// granted ends when the allocator's grant does; zero means none.
	granted time.Time
	// seen counts what callers asked for since measured.
	seen     amounts
	refused  bool
	measured time.Time
	// recent is the demand told last.
	recent amounts
	// urgent is signalled when a grant might avoid the next refusal.
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
	b.requests.setRate(now, b.limit.requests, share.requests, b.nodes)
	b.tokens.setRate(now, b.limit.tokens, share.tokens, b.nodes)
	b.slots = math.Floor(share.inFlight)
	if b.granted.IsZero() {
		b.slots = max(1, math.Floor(b.limit.inFlight/float64(b.nodes)))
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
	b.peak = max(b.peak, b.inFlight)
	if b.requests.wait(1) > 0 || b.tokens.wait(1) > 0 || b.limit.inFlight > 0 && float64(b.inFlight) >= b.slots {
		b.hurry()
	}
	return nil
}

// expire falls back to the base share when the grant has ended.
func (b *bucket) expire(now time.Time) {
	if !now.Before(b.granted) {
		b.release(now)
	}
}

func (b *bucket) refuse(what string, wait time.Duration) error {
	b.refused = true
	b.hurry()
	return fault.New(schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED,
		"team "+b.team+" is at its limit of "+what,
		"send again after the time stated, or ask the operators for a higher limit").NotRun().After(wait)
}

// hurry asks for an early report if a grant might help.
func (b *bucket) hurry() {
	if !b.granted.IsZero() {
		return
	}
	select {
	case b.urgent <- struct{}{}:
	default:
	}
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
// demand is told, so that others get the share. interval is the time between
// reports.
func (b *bucket) demand(now time.Time, interval time.Duration) (amounts, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.requests.refill(now)
	b.tokens.refill(now)
	quiet := b.recent.requests*interval.Seconds() < sparse
	b.recent = b.measure(now, interval, quiet)
	active := b.seen.requests > 0 || b.peak > 0
	short := b.requests.low() || b.tokens.low()
	worth := short || active && (b.refused || b.fewSlots()) || !b.granted.IsZero()
	b.seen, b.refused, b.measured, b.peak = amounts{}, false, now, b.inFlight
	if !short && b.recent.below(b.limit.base(b.nodes)) {
		b.recent = amounts{}
		b.release(now)
	}
	return b.recent, worth
}

// release gives a grant back.
func (b *bucket) release(now time.Time) {
	if !b.granted.IsZero() {
		b.granted = time.Time{}
		b.setShare(now, amounts{})
	}
}

// measure returns the demand since the last report. Of a few requests the rate
// says little: then it is what fills the buckets again.
func (b *bucket) measure(now time.Time, interval time.Duration, quiet bool) amounts {
	d := amounts{inFlight: float64(b.peak)}
	if b.refused {
		d.inFlight++
	}
	if b.seen.requests > 0 || quiet {
		seconds := max(burst, interval).Seconds()
		d.requests = b.requests.lacking() / seconds
		d.tokens = b.tokens.lacking() / seconds
	}
	if b.seen.requests >= sparse {
		elapsed := max(now.Sub(b.measured), interval).Seconds()
		d.requests += b.seen.requests / elapsed
		d.tokens += b.seen.tokens / elapsed
	}
	return d
}

func (b *bucket) fewSlots() bool {
	return b.limit.inFlight > 0 && float64(b.peak) > b.slots/2
}
