package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

var errRetryBudget = errors.New("gateway: retry budget exhausted")

// attempt sends the request to one target. It reports whether the request has
// ended.
func (x *exchange) attempt(ctx context.Context, grant *balance.Grant) bool {
	if !x.gateway.Signals.MaySend(grant.Target, x.arrived) {
		// The target has asked for it since it was granted.
		grant.Done(balance.Unsent)
		return false
	}
	x.tried = append(x.tried, grant.Target.ID)
	x.logPlaced(grant, len(x.tried))
	if errResp := x.quarantined(); errResp != nil {
		grant.Done(balance.Unsent)
		return x.endQuarantined(errResp)
	}
	if !x.countSend() {
		grant.Done(balance.Unsent)
		x.endUnanswered(ctx, errRetryBudget)
		return true
	}
	if x.spare == grant.Target.ID {
		x.spare = ""
	}
	x.expectOrigin(grant.Target)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.watchQuarantine(cancel)
	defer x.stopWatch()
	x.beginFirstSend(grant.Prediction)
	defer x.endFirstSend()
	x.startStandby(ctx, grant.Target, cancel, x.possibleRuns+1)
	defer x.endStandby()
	address := upstream.Address{ID: grant.Target.ID, Host: grant.Target.Address}
	x.sending = true
	resp, err := x.gateway.Sender.Send(attemptCtx, address, x.targetRequest(grant, x.lastEventID()))
	if err != nil {
		return x.handleSendError(ctx, grant, err)
	}
	defer resp.Body.Close()
	x.sends++
	info := x.gateway.HeaderCodec.ParseResponse(resp.StatusCode, resp.Header)
	x.recordInfo(grant.Target, info)
	x.targetInfo = info
	if info.NotRun {
		x.sending = false
		return x.handleNotRun(ctx, grant, resp)
	}
	x.possibleRuns++
	x.sending = false
	return x.relay(ctx, grant, resp, info)
}

// follow relays the answer of a target that has taken over from a silent one. It
// reports whether the request has ended.
func (x *exchange) follow(ctx context.Context, a *begunAttempt) bool {
	defer a.close()
	x.targetInfo = a.info
	x.watchQuarantine(a.cancel)
	defer x.stopWatch()
	x.startStandby(ctx, a.grant.Target, a.cancel, x.possibleRuns)
	defer x.endStandby()
	return x.relay(ctx, a.grant, a.resp, a.info)
}

// relay relays a response. It reports whether the request has ended.
func (x *exchange) relay(ctx context.Context, grant *balance.Grant, resp *http.Response, info ResponseInfo) bool {
	if x.isStream(resp) {
		return x.relayStream(ctx, grant, resp, info)
	}
	return x.relayWhole(ctx, grant, resp, info)
}

// recordInfo records what a target stated and asked for in its response.
func (x *exchange) recordInfo(target *catalog.Target, info ResponseInfo) {
	x.gateway.Limits.RecordLimit(target.ID, info.Limit, info.HasLimit)
	x.gateway.Limits.RecordBrittle(target.ID, info.Brittle)
	if info.HasLoad && x.gateway.Loads != nil {
		x.gateway.Loads.RecordLoad(target.ID, info.Load)
	}
	if info.Leaving || info.Pause > 0 {
		x.gateway.Signals.RecordSignal(balance.Signal{
			Target: target.ID, Started: target.Started, Leaving: info.Leaving, Pause: info.Pause,
		})
	}
}

// countSend counts an attempt and reports whether the retry budget allows it.
func (x *exchange) countSend() bool {
	g := x.gateway
	if x.sends == 0 {
		if !x.countedFirst {
			x.countedFirst = true
			g.Retries.RecordFirstAttempt(x.service)
		}
		return true
	}
	if !g.Retries.AllowRetry(x.service) {
		return false
	}
	g.Metrics.RequestRetried(x.service)
	return true
}

// isStream reports whether a response is to be relayed event by event.
func (x *exchange) isStream(resp *http.Response) bool {
	return x.route.Kind == catalog.Streaming && isSuccess(resp.StatusCode) && isEventStream(resp.Header)
}

func isSuccess(status int) bool { return status/100 == 2 }

// targetRequest builds the request for a target, which resumes a stream after an event
// unless its id is empty.
func (x *exchange) targetRequest(grant *balance.Grant, lastEventID string) *upstream.Request {
	h := x.request.Header.Clone()
	dropHopByHop(h)
	fields := TargetHeaders{Remaining: time.Until(x.deadline), Instance: grant.Target.ID, LastEventID: lastEventID}
	if x.team != nil {
		fields.Team = x.team.Name
	}
	x.gateway.HeaderCodec.SetTargetHeaders(h, fields)
	return &upstream.Request{
		Method: x.request.Method,
		URI:    x.request.RequestURI,
		Host:   x.request.Host,
		Header: h,
		Body:   x.body,
		// On a connection in use before, a late response without an id would match.
		NewConn: x.call.ID == "",
		ID:      x.call.ID,
		Arrived: x.arrived,
		Started: grant.Target.Started,
		Matches: func(h http.Header) bool {
			return x.gateway.HeaderCodec.ParseResponse(http.StatusOK, h).ID == x.call.ID
		},
	}
}

// handleSendError handles an attempt that got no response. It reports whether
// the request has ended.
func (x *exchange) handleSendError(ctx context.Context, grant *balance.Grant, err error) bool {
	var sendErr *upstream.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent {
		x.sends++
		x.possibleRuns++
	}
	x.sending = false
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		// Another target may have got the request meanwhile.
		x.endStandby()
		x.endUnanswered(ctx, err)
		return true
	}
	x.logSendFailed(grant, sendErr, err)
	if !sent {
		grant.Done(failureOf(err, balance.Unreachable))
		return !x.takeOver() && !x.mayTryNext() && x.endOutOfTargets(ctx, "targets_unreachable")
	}
	return x.handleBrokenAttempt(ctx, grant, "no_answer", err)
}

// handleBrokenAttempt handles a target that returned no complete response. It
// reports whether the request has ended; if not, it may be sent to another target.
func (x *exchange) handleBrokenAttempt(ctx context.Context, grant *balance.Grant, cause string, err error) bool {
	grant.Done(x.brokenResult(err))
	x.recordBroken(ctx, grant.Target, x.attemptEvents, err)
	if x.takeOver() || x.mayRetry() {
		return false
	}
	if x.headersSent {
		x.abort("stream_not_resumed", http.StatusOK, err)
	}
	return x.endWithError(errUnknownEffect(cause))
}

// maxTargets bounds the targets that are tried for one request, including those
// that were unreachable or did not run it.
const maxTargets = 4

// mayRetry reports whether the request may be sent to another target although it
// may have run.
func (x *exchange) mayRetry() bool {
	_, blocked := x.blocked()
	return !blocked && (x.spare != "" || x.mayRetryAfterRuns(x.possibleRuns))
}

// mayTryNext reports whether the request, which the last target has certainly not run,
// may be sent to another one.
func (x *exchange) mayTryNext() bool {
	return len(x.tried) < maxTargets && (x.possibleRuns == 0 || x.mayRetry())
}

// mayRetryAfterRuns reports whether the request may be sent to another target
// after it may have run the given number of times.
func (x *exchange) mayRetryAfterRuns(runs int) bool {
	return x.route.Repeatable() && runs < x.route.MaxAttempts && len(x.tried) < maxTargets
}

// handleNotRun handles a response which says that the request was not run. It
// reports whether the request has ended. It leaves the body unread, so that the
// connection, on which a copy of the response may follow, is not reused.
func (x *exchange) handleNotRun(ctx context.Context, grant *balance.Grant, resp *http.Response) bool {
	grant.Done(balance.Rejected)
	if resp.StatusCode == http.StatusBadRequest && !x.headersSent {
		x.endStandby()
		if x.possibleRuns == 0 {
			return x.endWithError(errUnreadableBody())
		}
	}
	switch {
	case x.takeOver(), x.mayTryNext():
		return false
	default:
		return x.endOutOfTargets(ctx, "targets_full")
	}
}

// endOutOfTargets ends a request for which no more targets are tried.
func (x *exchange) endOutOfTargets(ctx context.Context, cause string) bool {
	if x.headersSent || x.possibleRuns > 0 {
		x.endUnanswered(ctx, errRetryBudget)
		return true
	}
	return x.endWithError(errNotRun(cause, noTargetRetryAfter))
}
