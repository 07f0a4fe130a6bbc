package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/hedge"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	// A request that may be retried looks for another target after a silence of
	// stallGoalFactor times the longer of its route's goals, but not before
	// minStallTimeout, which the long prompt of another request may take.
	stallGoalFactor = 3
	minStallTimeout = time.Second
	// handoverLimit is how long two targets may work on a stream side by side, between
	// the headers of the second and its first event.
	handoverLimit = 250 * time.Millisecond
)

var (
	errStalled   = errors.New("gateway: target stalled")
	errNotWanted = errors.New("gateway: the target has asked for no request")
)

// stallTimeout returns how long a target may be silent before another one is looked
// for.
func (x *exchange) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGoalFactor*max(x.route.Goal, x.route.GapGoal))
}

// standby looks for another target while that of an attempt is silent. The attempt goes
// on until the other target has begun to answer, because a sound target may fall silent
// for a second, and because another one may refuse or fail. The goroutine of the request
// calls pause, resume and close; the timer's goroutine runs the search. If standby is nil,
// pause and resume do nothing.
type standby struct {
	exchange *exchange
	ctx      context.Context
	// yield cancels the attempt once another target has taken over.
	yield   context.CancelCauseFunc
	target  *catalog.Target
	timeout time.Duration
	timer   *time.Timer
	// began is when the watch began.
	began time.Time
	// searches counts the running search, of which there is one at most.
	searches sync.WaitGroup

	mu sync.Mutex
	// cancelSearch ends the running search; nil if there is none. sending is set once it
	// sends the request. closing is set when no other search may begin, paused while
	// events are passed on.
	cancelSearch             context.CancelFunc
	sending, closing, paused bool
	// lastEventID is where another target, of the given version, would resume the stream;
	// streaming is set once events were passed on, the last of them at lastEventAt.
	lastEventID, version string
	lastEventAt          time.Time
	streaming            bool
	found                *begunAttempt
	// tried lists the targets that were asked, those of the exchange included. sends and
	// runs count those that received the request, and those that may have run it.
	tried       []string
	sends, runs int
	// spare is a target that received the request and was cancelled because the first one
	// went on, or that broke a second copy; empty if there is none.
	spare string
	// copy is the state of a second copy of the request while its target is slow, but not
	// silent for long enough for a search.
	copy copyState
	// maxRuns is how many more targets may run the request.
	maxRuns int
}

// startStandby watches the attempt at a target, if the request may be sent to another
// one. runs counts the attempt itself as a possible run.
func (x *exchange) startStandby(ctx context.Context, target *catalog.Target, yield context.CancelCauseFunc, runs int) {
	x.standby = nil
	if !x.mayRetryAfterRuns(runs) {
		return
	}
	s := &standby{
		exchange: x, ctx: ctx, yield: yield, target: target, timeout: x.stallTimeout(), began: time.Now(),
		lastEventID: x.lastEventID(), version: x.version, lastEventAt: x.lastEventAt, streaming: x.headersSent,
		tried: slices.Clone(x.tried), maxRuns: x.route.MaxAttempts - runs,
	}
	wait := s.timeout
	if delay, ok := x.copyDelay(); ok && delay < s.timeout {
		wait, s.copy.due = delay, true
	}
	s.mu.Lock()
	s.timer = time.AfterFunc(wait, s.act)
	s.mu.Unlock()
	x.standby = s
}

// pause stops the watch while the answer is passed on, because the target has made
// progress. It returns false if another target has taken over.
func (s *standby) pause() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.found != nil {
		return false
	}
	s.paused, s.copy.due = true, false
	s.timer.Stop()
	if s.cancelSearch != nil {
		s.cancelSearch()
	}
	return true
}

// cause returns why the attempt ends once pause has returned false.
func (s *standby) cause() error {
	if s.copy.sent {
		return errHedged
	}
	return errStalled
}

// resume continues the watch after events of a target of the version were passed on.
func (s *standby) resume(lastEventID, version string, lastEventAt time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEventID, s.version, s.lastEventAt = lastEventID, version, lastEventAt
	s.streaming, s.paused = true, false
	s.timer.Reset(s.timeout)
}

// close lets no other search begin and waits for the running one. It cancels that if its
// result is not wanted, or if it still waits for a target.
func (s *standby) close(wanted bool) {
	s.mu.Lock()
	s.closing = true
	s.timer.Stop()
	if s.cancelSearch != nil && !(wanted && s.sending) {
		s.cancelSearch()
	}
	s.mu.Unlock()
	s.searches.Wait()
}

// takeOver is called when the attempt has failed. It waits for the search for another
// target, unless the request must not be sent any more, and reports whether one has begun to
// answer. That one is kept in any case: the attempt may have been cancelled for it.
func (x *exchange) takeOver() bool {
	s := x.standby
	if s == nil {
		return false
	}
	_, blocked := x.blocked()
	x.closeStandby(!blocked)
	if s.found == nil {
		return false
	}
	if s.copy.sent {
		s.copyWon()
	} else {
		x.logTakenOver(s.target.ID, s.found.grant)
	}
	x.successor = s.found
	return true
}

// endStandby ends the watch of an attempt that has ended.
func (x *exchange) endStandby() {
	s := x.standby
	if s == nil {
		return
	}
	x.closeStandby(false)
	if s.found != nil {
		if s.copy.sent {
			s.copyEnded(s.found.grant.Target, hedge.Cancelled)
		}
		s.found.drop(balance.Superseded)
	}
}

// closeStandby closes the standby and adds what it sent to the counts of the request.
func (x *exchange) closeStandby(wanted bool) {
	s := x.standby
	x.standby = nil
	s.close(wanted)
	x.tried = s.tried
	x.sends += s.sends
	x.possibleRuns += s.runs
	x.spare = cmp.Or(s.spare, x.spare)
}

// search asks one target after the other until one has begun to answer.
func (s *standby) search() {
	ctx, ok := s.begin()
	if !ok {
		return
	}
	defer s.searches.Done()
	s.exchange.logSilent(s.target.ID, s.timeout)
	for again := true; again; {
		var a *begunAttempt
		if a, again = s.ask(ctx); a != nil {
			s.offer(ctx, a)
			return
		}
	}
	s.end(s.timeout)
}

// begin reports whether a search may begin, and returns its context. No other target can
// go on with events that have no id.
func (s *standby) begin() (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumable := !s.streaming || s.lastEventID != ""
	if s.closing || s.paused || s.cancelSearch != nil || !resumable || !s.mayAsk() {
		return nil, false
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelSearch = cancel
	s.searches.Add(1)
	return ctx, true
}

// end ends a search that found no target. Another one may begin after a time.
func (s *standby) end(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelSearch()
	s.cancelSearch, s.sending = nil, false
	if !s.closing && !s.paused {
		s.timer.Reset(after)
	}
}

// mayAsk reports whether another target may be asked.
func (s *standby) mayAsk() bool { return s.runs < s.maxRuns && len(s.tried) < maxTargets }

// offer passes on an attempt that has begun to answer, unless the first target has made
// progress in the meantime. It reports whether the attempt is used, for which the first one is
// cancelled.
func (s *standby) offer(ctx context.Context, a *begunAttempt) bool {
	s.mu.Lock()
	if ctx.Err() == nil {
		s.found = a
	}
	s.mu.Unlock()
	if s.found == nil {
		s.spare = a.grant.Target.ID
		a.drop(balance.Superseded)
		s.copy.sent = false
		s.end(s.timeout)
		return false
	}
	s.yield(s.cause())
	return true
}

// ask sends the request to another target. It returns the attempt if the target has
// begun to answer, and whether a further target may be asked.
func (s *standby) ask(ctx context.Context) (a *begunAttempt, again bool) {
	x := s.exchange
	s.mu.Lock()
	lastEventAt, version := s.lastEventAt, s.version
	s.mu.Unlock()
	grant, err := x.gateway.Balancer.Acquire(ctx, x.balancerWork(s.tried, lastEventAt, version))
	if err != nil {
		x.logNoStandby(ctx, err)
		return nil, false
	}
	if err := s.forbidden(grant.Target); err != nil {
		grant.Done(balance.Unsent)
		x.logNoStandby(ctx, err)
		return nil, false
	}
	if !x.gateway.Retries.AllowRetry(x.service) {
		grant.Done(balance.Unsent)
		x.logNoStandby(ctx, errRetryBudget)
		return nil, false
	}
	return s.sendTo(ctx, grant)
}

// sendTo sends the request to a target that was granted and that it may go to.
func (s *standby) sendTo(ctx context.Context, grant *balance.Grant) (a *begunAttempt, again bool) {
	x := s.exchange
	s.tried = append(s.tried, grant.Target.ID)
	x.logPlaced(grant, len(s.tried))
	x.gateway.Metrics.RequestRetried(x.service)
	s.mu.Lock()
	s.sending = true
	s.mu.Unlock()
	return s.send(ctx, grant)
}

// forbidden returns why the request must not be sent to another target, or nil.
func (s *standby) forbidden(target *catalog.Target) error {
	g := s.exchange.gateway
	switch {
	case !g.Signals.MaySend(target, s.exchange.arrived):
		return errNotWanted
	case g.Culprits.Judge(s.exchange.features()).State != culprit.Clear:
		return errQuarantinedInFlight
	}
	return nil
}

// send sends the request to a target that was granted, and waits until it has begun to
// answer.
func (s *standby) send(ctx context.Context, grant *balance.Grant) (a *begunAttempt, again bool) {
	x := s.exchange
	s.mu.Lock()
	lastEventID, streaming := s.lastEventID, s.streaming
	s.mu.Unlock()
	sendCtx, cancel := context.WithCancelCause(s.ctx)
	defer context.AfterFunc(ctx, func() { cancel(context.Canceled) })()
	defer x.gateway.Culprits.Watch(x.features(), func() { cancel(errQuarantinedInFlight) })()
	stall := time.AfterFunc(s.timeout, func() { cancel(errStalled) })
	defer stall.Stop()
	address := upstream.Address{ID: grant.Target.ID, Host: grant.Target.Address}
	resp, err := x.gateway.Sender.Send(sendCtx, address, x.targetRequest(grant, lastEventID))
	if err != nil {
		cancel(nil)
		return nil, s.recordSendError(ctx, grant, err)
	}
	s.sends++
	a = &begunAttempt{grant: grant, cancel: cancel, resp: resp, info: x.gateway.HeaderCodec.ParseResponse(resp.StatusCode, resp.Header)}
	x.recordInfo(grant.Target, a.info)
	if a.info.NotRun {
		a.drop(balance.Rejected)
		return nil, s.mayAsk()
	}
	s.runs++
	if result, err := x.awaitAnswer(a, streaming, s.copy.sent, lastEventID); err != nil {
		x.logNoStandby(ctx, err)
		if sendCtx.Err() == nil {
			x.recordBroken(s.ctx, grant.Target, 0, err)
		}
		if ctx.Err() != nil {
			result = balance.Superseded
			s.spare = grant.Target.ID
		}
		a.drop(result)
		return nil, s.mayAsk()
	}
	if !stall.Stop() {
		// The attempt is cancelled, or will be, although it has just begun.
		x.logNoStandby(ctx, errStalled)
		a.drop(balance.Stalled)
		return nil, s.mayAsk()
	}
	return a, false
}

// recordSendError records a send without a response, and reports whether a further
// target may be asked.
func (s *standby) recordSendError(ctx context.Context, grant *balance.Grant, err error) (again bool) {
	var sendErr *upstream.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent {
		s.sends++
		s.runs++
	}
	if ctx.Err() != nil {
		grant.Done(balance.Superseded)
		if sent {
			s.spare = grant.Target.ID
		}
		return false
	}
	s.exchange.logSendFailed(grant, sendErr, err)
	if !sent {
		grant.Done(failureOf(err, balance.Unreachable))
		return s.mayAsk()
	}
	grant.Done(failureOf(err, balance.Broken))
	s.exchange.recordBroken(s.ctx, grant.Target, 0, err)
	return s.mayAsk()
}
