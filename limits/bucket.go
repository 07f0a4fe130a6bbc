package limits

import (
	"math"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// minRateSample is the number of requests between reports below which a
// measured rate is mostly random variation.
const minRateSample = 5

// minBurst is the smallest capacity of a rate bucket, so that an idle node can
// admit this many requests at once however small its share is.
const minBurst = 4

// inFlightRetry is the retry delay returned to a caller that is rejected by the
// limit of requests in flight.
const inFlightRetry = time.Second

// bucket enforces this node's share of one team's limits and measures the
// team's demand on this node.
type bucket struct {
	mu       sync.Mutex
	team     string
	limit    amounts
	nodes    int
	requests rateBucket
	tokens   rateBucket
	// slots is this node's share of the limit of requests in flight.
	slots    float64
	inFlight int
	// peakInFlight is the highest value of inFlight since measuredAt.
	peakInFlight int
	// grantExpires is when the allocator's grant expires; zero means no grant.
	grantExpires time.Time
	// requested counts requests and tokens since measuredAt, including those of
	// rejected requests.
	requested  amounts
	rejected   bool
	measuredAt time.Time
	// lastDemand is the demand most recently returned by demand.
	lastDemand amounts
	// earlyReports is signalled when a grant could prevent the next rejection.
	earlyReports chan<- struct{}
}

func newBucket(now time.Time, team string, limit amounts, nodes int, earlyReports chan<- struct{}) *bucket {
	b := &bucket{team: team, measuredAt: now, earlyReports: earlyReports}
	b.configure(now, limit, nodes)
	return b
}

// configure sets the limit and the number of nodes. If either changed, it drops
// the grant and falls back to the base share.
func (b *bucket) configure(now time.Time, limit amounts, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == limit && b.nodes == nodes {
		return
	}
	b.limit, b.nodes = limit, nodes
	b.grantExpires = time.Time{}
	b.setShare(now, amounts{})
}

// setShare applies the base share plus an extra share. Without a grant, the
// share of requests in flight is an even one, and at least one request.
func (b *bucket) setShare(now time.Time, extra amounts) {
	share := b.limit.baseShare(b.nodes).plus(extra)
	b.requests.setRate(now, b.limit.requests, share.requests, b.nodes)
	b.tokens.setRate(now, b.limit.tokens, share.tokens, b.nodes)
	b.slots = math.Floor(share.inFlight)
	if b.grantExpires.IsZero() {
		b.slots = max(1, math.Floor(b.limit.inFlight/float64(b.nodes)))
	}
}

// applyGrant applies a granted share until expires.
func (b *bucket) applyGrant(now, expires time.Time, extra amounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantExpires = expires
	b.setShare(now, extra)
}

// allow admits one request, or returns an error that names the exceeded limit.
func (b *bucket) allow(now time.Time, tokens float64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireGrant(now)
	b.requests.refill(now)
	b.tokens.refill(now)
	b.requested.requests++
	b.requested.tokens += tokens
	if wait := b.requests.wait(1); wait > 0 {
		return b.reject("requests per second", wait)
	}
	if wait := b.tokens.wait(1); wait > 0 {
		return b.reject("tokens per second", wait)
	}
	if b.limit.inFlight > 0 && float64(b.inFlight) >= b.slots {
		return b.reject("requests in flight", inFlightRetry)
	}
	b.requests.level--
	b.tokens.level -= tokens
	b.inFlight++
	b.peakInFlight = max(b.peakInFlight, b.inFlight)
	if b.requests.wait(1) > 0 || b.tokens.wait(1) > 0 || b.limit.inFlight > 0 && float64(b.inFlight) >= b.slots {
		b.requestEarlyReport()
	}
	return nil
}

// expireGrant falls back to the base share once the grant has expired.
func (b *bucket) expireGrant(now time.Time) {
	if !now.Before(b.grantExpires) {
		b.releaseGrant(now)
	}
}

// reject returns the error for a request that exceeds the named limit.
func (b *bucket) reject(what string, wait time.Duration) error {
	b.rejected = true
	b.requestEarlyReport()
	return fault.New(schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED,
		"team "+b.team+" is at its limit of "+what,
		"send again after the time stated, or ask the operators for a higher limit").WithOutcomeNotRun().WithRetryAfter(wait)
}

// requestEarlyReport requests a report before the end of the interval, unless a
// grant is already in force.
func (b *bucket) requestEarlyReport() {
	if !b.grantExpires.IsZero() {
		return
	}
	select {
	case b.earlyReports <- struct{}{}:
	default:
	}
}

// done ends an admitted request and charges the tokens generated.
func (b *bucket) done(now time.Time, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.refill(now)
	b.tokens.level -= tokens
	b.requested.tokens += tokens
	b.inFlight = max(0, b.inFlight-1)
}

// demand returns the demand since the last call and whether it must be reported
// to the allocator. Demand that the base share covers need not be reported. The
// end of a demand is reported once, with a demand of zero, so that other nodes
// get the share. interval is the time between reports.
func (b *bucket) demand(now time.Time, interval time.Duration) (amounts, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireGrant(now)
	b.requests.refill(now)
	b.tokens.refill(now)
	idle := b.lastDemand.requests*interval.Seconds() < minRateSample
	b.lastDemand = b.measureDemand(now, interval, idle)
	active := b.requested.requests > 0 || b.peakInFlight > 0
	bucketsLow := b.requests.isLow() || b.tokens.isLow()
	needsReport := bucketsLow || active && (b.rejected || b.slotsLow()) || !b.grantExpires.IsZero()
	b.requested, b.rejected, b.measuredAt, b.peakInFlight = amounts{}, false, now, b.inFlight
	if !bucketsLow && b.lastDemand.atMost(b.limit.baseShare(b.nodes)) {
		b.lastDemand = amounts{}
		b.releaseGrant(now)
	}
	return b.lastDemand, needsReport
}

// releaseGrant drops the grant, if any, and falls back to the base share.
func (b *bucket) releaseGrant(now time.Time) {
	if !b.grantExpires.IsZero() {
		b.grantExpires = time.Time{}
		b.setShare(now, amounts{})
	}
}

// measureDemand returns the demand since the last report. The rate of a few
// requests is not meaningful; then the demand is only the rate that refills the
// buckets.
func (b *bucket) measureDemand(now time.Time, interval time.Duration, idle bool) amounts {
	d := amounts{inFlight: float64(b.peakInFlight)}
	if b.rejected {
		d.inFlight++
	}
	if b.requested.requests > 0 || idle {
		seconds := max(burstWindow, interval).Seconds()
		d.requests = b.requests.deficit() / seconds
		d.tokens = b.tokens.deficit() / seconds
	}
	if b.requested.requests >= minRateSample {
		elapsed := max(now.Sub(b.measuredAt), interval).Seconds()
		d.requests += b.requested.requests / elapsed
		d.tokens += b.requested.tokens / elapsed
	}
	return d
}

// slotsLow reports whether more than half of the slots were in use.
func (b *bucket) slotsLow() bool {
	return b.limit.inFlight > 0 && float64(b.peakInFlight) > b.slots/2
}
