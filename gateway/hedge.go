package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/hedge"
)

// Hedges decides whether a request is sent a second time because its target is slow.
type Hedges interface {
	// RecordRequest counts a request that is sent to its first target.
	RecordRequest(service string, now time.Time)
	// RecordTime records the time to the first event or to the response. Of a request that
	// was given up before, only a time above the delay is recorded.
	RecordTime(service, route string, d time.Duration, now time.Time)
	// Delay returns how long a request waits before a copy is sent, or false if none is.
	Delay(service, route string) (time.Duration, bool)
	// Decide decides whether a copy may be sent.
	Decide(service string, now time.Time) hedge.Verdict
	// Take counts a copy in the limits, or returns why it must not be sent.
	Take(service string, now time.Time) (hedge.Reason, bool)
	// RecordRefusal records that no target was granted to a copy.
	RecordRefusal(service string, now time.Time)
	// Count records what became of a copy.
	Count(service string, o hedge.Outcome)
}

// copyAskLimit bounds the wait for the target of a copy. An owner of an older release has the
// request wait; its answer otherwise takes a fraction of a millisecond within the zone.
const copyAskLimit = 20 * time.Millisecond

// slowFactor is how many times the time that was expected of its engine a request waits before
// a copy is sent. The longest prompts of a route would take most of the copies otherwise,
// although they are as slow at any engine.
const slowFactor = 2

var (
	// errHedged is the cause of an attempt's end if a second copy has been faster.
	errHedged = errors.New("gateway: a second copy was faster")
	// errCopyNotGranted is the cause of the end of a wait for the target of a copy.
	errCopyNotGranted = errors.New("gateway: no target was granted at once")
)

// firstSend is the first send of a request that may be hedged.
type firstSend struct {
	// counted is set once the request counts for the limit.
	counted bool
	// at is when it was sent; zero if it may not be hedged, or if its time is recorded.
	at time.Time
	// delay is how long it waits before a copy is sent; 0 if none is sent.
	delay time.Duration
}

// beginFirstSend records that the request is about to be sent, if it may be hedged: it may be
// repeated, and it is neither sent again nor continues a stream that has begun.
func (x *exchange) beginFirstSend(p balance.Prediction) {
	h := x.gateway.Hedges
	if h == nil {
		return
	}
	now := time.Now()
	if !x.firstSend.counted {
		x.firstSend.counted = true
		h.RecordRequest(x.service, now)
	}
	if x.resumed || x.headersSent || x.sends > 0 || !x.mayRetryAfterRuns(x.possibleRuns+1) {
		return
	}
	delay, _ := h.Delay(x.service, x.route.Name)
	if delay > 0 && p.Step > 0 {
		delay = max(delay, slowFactor*p.Expected)
	}
	x.firstSend.at, x.firstSend.delay = now, delay
}

// recordFirstResponse records the time to the first event or to the response of the first
// target.
func (x *exchange) recordFirstResponse(now time.Time) {
	if at := x.firstSend.at; !at.IsZero() {
		x.gateway.Hedges.RecordTime(x.service, x.route.Name, now.Sub(at), now)
		x.firstSend.at = time.Time{}
	}
}

// endFirstSend records the time of a first send that had no response for longer than the
// delay, because another target was faster or the request has ended.
func (x *exchange) endFirstSend() {
	if now := time.Now(); x.firstSend.delay > 0 && now.Sub(x.firstSend.at) > x.firstSend.delay {
		x.recordFirstResponse(now)
	}
	x.firstSend.at = time.Time{}
}

// copyDelay returns after what time a second copy of the request is sent, or false if none
// is.
func (x *exchange) copyDelay() (time.Duration, bool) {
	return x.firstSend.delay, !x.firstSend.at.IsZero() && x.firstSend.delay > 0
}

// copyState is the state of the second copy of a request.
type copyState struct {
	// due is set while a copy is sent if the first target does not begin to answer.
	due bool
	// sent is set once a copy was sent by the running search.
	sent bool
}

// act sends a second copy if one is due, and searches for another target otherwise.
func (s *standby) act() {
	s.mu.Lock()
	copyDue := s.copy.due
	s.copy.due = false
	s.mu.Unlock()
	if copyDue {
		s.hedge()
		return
	}
	s.search()
}

// hedge sends a second copy of the request if the limits allow it and a target has a free
// slot. Whatever becomes of the copy, the first attempt goes on until the copy has begun to
// answer.
func (s *standby) hedge() {
	ctx, ok := s.begin()
	if !ok {
		return
	}
	defer s.searches.Done()
	grant, err := s.acquireForCopy(ctx)
	if err != nil {
		s.exchange.logNoCopy(ctx, err)
		s.end(s.untilSearch())
		return
	}
	s.copy.sent = true
	s.exchange.logCopy("copy_sent", s.target, grant.Target, time.Since(s.began))
	s.exchange.gateway.Hedges.Count(s.exchange.service, hedge.Sent)
	a, _ := s.sendTo(ctx, grant)
	if a != nil && s.offer(ctx, a) {
		// takeOver or endStandby records what becomes of it.
		return
	}
	outcome := hedge.Failed
	if ctx.Err() != nil {
		outcome = hedge.Cancelled
	}
	s.copyEnded(grant.Target, outcome)
	if a != nil {
		return
	}
	if s.runs > 0 {
		// It counts among the targets of the route, so that it may be asked again.
		s.spare = grant.Target.ID
	}
	s.copy.sent = false
	s.end(s.untilSearch())
}

// untilSearch returns when a search for another target is due.
func (s *standby) untilSearch() time.Duration { return max(0, s.timeout-time.Since(s.began)) }

// acquireForCopy returns the target of a copy, which is counted in the limits, or why none
// may be sent.
func (s *standby) acquireForCopy(ctx context.Context) (*balance.Grant, error) {
	x := s.exchange
	h := x.gateway.Hedges
	verdict := h.Decide(x.service, time.Now())
	if !verdict.Send {
		return nil, copyLimitError(verdict.Reason)
	}
	version := ""
	if x.route.Kind == catalog.Streaming {
		version = s.target.Version
	}
	w := x.balancerWork(s.tried, time.Time{}, version)
	w.NoWait, w.MaxInUse = true, verdict.MaxInUse
	askCtx, cancel := context.WithTimeoutCause(ctx, copyAskLimit, errCopyNotGranted)
	defer cancel()
	grant, err := x.gateway.Balancer.Acquire(askCtx, w)
	if err != nil {
		if ctx.Err() == nil {
			h.RecordRefusal(x.service, time.Now())
		}
		return nil, err
	}
	if err = s.forbidden(grant.Target); err == nil {
		err = ctx.Err()
	}
	if err == nil {
		if reason, ok := h.Take(x.service, time.Now()); !ok {
			err = copyLimitError(reason)
		}
	}
	if err != nil {
		grant.Done(balance.Unsent)
		return nil, err
	}
	return grant, nil
}

// copyLimitError is the error for a copy that a limit does not allow.
type copyLimitError hedge.Reason

// Error implements error.
func (e copyLimitError) Error() string {
	remedies := map[hedge.Reason]string{
		hedge.ReasonOff: "set hedging.max_share", hedge.ReasonShare: "raise hedging.max_share",
		hedge.ReasonRetries: "raise the retry budget", hedge.ReasonRefused: "add targets",
	}
	return "gateway: no second copy of the request is sent: " + string(e) + "; if more are wanted, " + remedies[hedge.Reason(e)]
}

// copyWon records that the copy is used. Where no further target may be asked, the request may
// still go back to the first one.
func (s *standby) copyWon() {
	s.exchange.spare = s.target.ID
	s.copyEnded(s.found.grant.Target, hedge.Won)
}

// copyEnded records what became of the copy.
func (s *standby) copyEnded(target *catalog.Target, o hedge.Outcome) {
	s.exchange.gateway.Hedges.Count(s.exchange.service, o)
	s.exchange.logCopy("copy_"+string(o), s.target, target, time.Since(s.began))
}

// logCopy logs a second copy of the request that was sent or has ended.
func (x *exchange) logCopy(event string, first, second *catalog.Target, after time.Duration) {
	x.gateway.Logger.Info().Str("event", event).Str("request", x.call.ID).Str("route", x.route.Name).
		Str("target", first.ID).Str("copy", second.ID).Dur("after", after).Dur("delay", x.firstSend.delay).Msg("")
}

// logNoCopy logs why no second copy is sent, unless the first target goes on or the request has
// ended.
func (x *exchange) logNoCopy(ctx context.Context, err error) {
	if ctx.Err() == nil {
		x.gateway.Logger.Info().Str("event", "no_copy").Str("request", x.call.ID).Str("route", x.route.Name).
			Dur("delay", x.firstSend.delay).Err(err).Msg("")
	}
}
