package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// exchange is the state of one request of a caller.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	call    Call

	route   *catalog.Route
	team    *catalog.Team
	service string
	body    []byte
	// deadline is when the timeout of the caller or the route ends.
	deadline time.Time

	// sends counts the targets that received any byte of the request, possibleRuns
	// those that may have run it.
	sends, possibleRuns int
	tried               []string
	// placedAt is when the last target was assigned, firstEventAt when the first
	// event arrived.
	placedAt, firstEventAt time.Time
	// lastEventAt is when the last event arrived, longestPause the longest time
	// between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	eventCount   int
	// headersSent is set once the headers of a stream were sent to the caller;
	// position is that of the last event sent.
	headersSent bool
	position    streamPosition
	// targetInfo is what the last target said in the headers of its response.
	targetInfo ResponseInfo
	// attemptEvents counts the events of the current attempt.
	attemptEvents int
	// featuresCache holds the result of features.
	featuresCache []culprit.Feature
	// stopWatch ends the watch for a quarantine; quarantinedInFlight is set if that has
	// cancelled an attempt.
	stopWatch           func()
	quarantinedInFlight atomic.Bool
}

// errDeadline is the cause of a request's context when its deadline has passed.
var errDeadline = errors.New("gateway: deadline exceeded")

// admit runs the checks that come before a target is selected, and reads the body.
func (x *exchange) admit() *errorResponse {
	g := x.gateway
	table := g.awaitTable(x.request.Context())
	if table == nil {
		return errNoConfig()
	}
	x.route = table.Route(hostOf(x.request.Host), x.request.URL.EscapedPath())
	if x.route == nil {
		return errNoRoute()
	}
	if !x.route.Anonymous && table.HasTeams() {
		if !g.Config.KeysProven() {
			return errStaleKeys()
		}
		if x.team = table.Team(x.call.Key); x.team == nil {
			return errUnknownKey()
		}
	}
	x.service = x.route.PickService(randomFraction())
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.call.HasTimeout {
		if callerDeadline := x.arrived.Add(x.call.Timeout); callerDeadline.Before(x.deadline) {
			x.deadline = callerDeadline
		}
	}
	if errResp := x.readBody(table.Config.Bounds.BodyBytes); errResp != nil {
		return errResp
	}
	if errResp := x.quarantined(); errResp != nil {
		return errResp
	}
	return x.takeAllowance()
}

// hostOf returns the host without its port, in lower case.
func hostOf(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

// defaultMaxBodyBytes bounds the body of a request if the configuration does not.
const defaultMaxBodyBytes = 16 << 20

// readBody buffers the whole body, so that the request can be sent as soon as a
// target is assigned, and again if a retry is allowed.
func (x *exchange) readBody(limit int64) *errorResponse {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge()
	case err != nil:
		return errUnreadableBody()
	}
	return nil
}

// takeAllowance charges the request to its team's limit.
func (x *exchange) takeAllowance() *errorResponse {
	if x.team == nil || x.team.Rate <= 0 {
		return nil
	}
	amount := 1.0
	if x.team.ByTokens {
		amount = x.team.DefaultTokens
		if x.call.HasTokens {
			amount = float64(x.call.PromptTokens + x.call.OutputTokens)
		}
	}
	if retryAfter, ok := x.gateway.Allowance.Take(x.team, amount); !ok {
		return errLimitExceeded(retryAfter)
	}
	return nil
}

// run sends the request to targets until one has responded or no retry is
// allowed.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadlineCause(x.request.Context(), x.deadline, errDeadline)
	defer cancel()
	for {
		grant, err := x.gateway.Balancer.Acquire(ctx, x.balancerWork())
		if err != nil {
			x.endUnanswered(ctx, err)
			return
		}
		if x.attempt(ctx, grant) {
			return
		}
	}
}

// balancerWork describes the request to the balancer.
func (x *exchange) balancerWork() *balance.Work {
	w := &balance.Work{
		ID:                    x.call.ID,
		Service:               x.service,
		Tier:                  x.tier(),
		Rank:                  x.route.Tier,
		PromptTokens:          float64(x.call.PromptTokens),
		EstimatedOutputTokens: float64(x.call.LengthHint),
		Route:                 x.route.Name,
		Arrived:               x.arrived,
		Goal:                  x.arrived.Add(x.route.Goal),
		Patience:              x.deadline,
		End:                   x.deadline,
		Tried:                 x.tried,
	}
	if x.route.Patience > 0 && x.arrived.Add(x.route.Patience).Before(x.deadline) {
		w.Patience = x.arrived.Add(x.route.Patience)
	}
	if x.call.HasTimeout {
		w.Goal = w.Goal.Add(-x.gateway.callerTimeouts.elapsed(x.route.Name, x.call.Timeout))
	}
	return w
}

// tier returns the request's tier: that of the team takes precedence over the
// route's.
func (x *exchange) tier() int {
	switch {
	case x.team != nil && x.team.HasTier:
		return x.team.Tier
	case x.route != nil:
		return x.route.Tier
	default:
		return 0
	}
}

// endUnanswered ends a request that got no target, or no complete response in
// time.
func (x *exchange) endUnanswered(ctx context.Context, err error) {
	var refusal *balance.Refusal
	switch {
	case x.headersSent:
		x.abort("stream_not_resumed", http.StatusOK)
	case x.request.Context().Err() != nil:
		x.logEnded("caller_left", 0)
	case x.possibleRuns > 0 && ctx.Err() != nil:
		x.sendError(errTimeout())
	case x.possibleRuns > 0:
		x.sendError(errUnknownEffect("no_target_left"))
	case errors.As(err, &refusal):
		x.sendError(errNotRun(refusal.Reason, refusal.RetryAfter))
	default:
		x.sendError(errNotRun("queue_timeout", noTargetRetryAfter))
	}
}

// endWithError sends an error response and reports that the request has ended.
func (x *exchange) endWithError(errResp *errorResponse) bool {
	x.sendError(errResp)
	return true
}

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
	x.logPlaced(grant)
	if errResp := x.quarantined(); errResp != nil {
		grant.Done(balance.Unsent)
		return x.endQuarantined(errResp)
	}
	if !x.countSend() {
		grant.Done(balance.Unsent)
		x.endUnanswered(ctx, errRetryBudget)
		return true
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.watchQuarantine(cancel)
	defer x.stopWatch()
	resetStall := x.watchStall(cancel)
	address := upstream.Address{ID: grant.Target.ID, Host: grant.Target.Address}
	resp, err := x.gateway.Sender.Send(attemptCtx, address, x.targetRequest(grant))
	if err != nil {
		return x.handleSendError(ctx, grant, err)
	}
	defer resp.Body.Close()
	x.sends++
	info := x.gateway.HeaderCodec.ParseResponse(resp.StatusCode, resp.Header)
	x.recordTargetInfo(grant.Target, info)
	switch {
	case info.NotRun:
		return x.handleNotRun(ctx, grant, resp)
	case x.isStream(resp):
		x.possibleRuns++
		return x.relayStream(ctx, grant, resp, info, resetStall)
	default:
		x.possibleRuns++
		return x.relayWhole(ctx, grant, resp, info)
	}
}

// recordTargetInfo records what a target stated and asked for in its response.
func (x *exchange) recordTargetInfo(target *catalog.Target, info ResponseInfo) {
	x.targetInfo = info
	x.gateway.Limits.RecordLimit(target.ID, info.Limit, info.HasLimit)
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
		g.Retries.RecordFirstAttempt(x.service)
		return true
	}
	if !g.Retries.AllowRetry(x.service) {
		return false
	}
	g.Metrics.RequestRetried(x.service)
	return true
}

// watchStall cancels an attempt whose target stalls, if the request may be
// retried. The returned function restarts the stall timer.
func (x *exchange) watchStall(cancel context.CancelCauseFunc) (resetStall func()) {
	if !x.mayRetryAfterRuns(x.possibleRuns + 1) {
		return func() {}
	}
	timer := time.AfterFunc(x.stallTimeout(), func() { cancel(errStalled) })
	return func() { timer.Reset(x.stallTimeout()) }
}

// isStream reports whether a response is to be relayed event by event.
func (x *exchange) isStream(resp *http.Response) bool {
	return x.route.Kind == catalog.Streaming && isSuccess(resp.StatusCode) && isEventStream(resp.Header)
}

func isSuccess(status int) bool { return status/100 == 2 }

// targetRequest builds the request for a target.
func (x *exchange) targetRequest(grant *balance.Grant) *upstream.Request {
	h := x.request.Header.Clone()
	dropHopByHop(h)
	fields := TargetHeaders{Remaining: time.Until(x.deadline), Instance: grant.Target.ID, LastEventID: x.lastEventID()}
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
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		x.endUnanswered(ctx, err)
		return true
	}
	x.logSendFailed(grant, sendErr, err)
	if !sent {
		grant.Done(balance.Unreachable)
		return len(x.tried) >= maxTargets && x.endOutOfTargets(ctx, "targets_unreachable")
	}
	return x.handleBrokenAttempt(ctx, grant, "no_answer", err)
}

// handleBrokenAttempt handles a target that returned no complete response. It
// reports whether the request has ended; if not, it may be sent to another target.
func (x *exchange) handleBrokenAttempt(ctx context.Context, grant *balance.Grant, cause string, err error) bool {
	grant.Done(x.brokenResult())
	x.recordBroken(ctx, grant.Target, err)
	if x.mayRetry() {
		return false
	}
	if x.headersSent {
		x.abort("stream_not_resumed", http.StatusOK)
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
	return !blocked && x.mayRetryAfterRuns(x.possibleRuns)
}

// mayRetryAfterRuns reports whether the request may be sent to another target
// after it may have run the given number of times.
func (x *exchange) mayRetryAfterRuns(runs int) bool {
	return x.route.Repeatable() && runs < x.route.MaxAttempts && len(x.tried) < maxTargets
}

// handleNotRun handles a response which says that the request was not run. It
// reports whether the request has ended.
func (x *exchange) handleNotRun(ctx context.Context, grant *balance.Grant, resp *http.Response) bool {
	grant.Done(balance.Rejected)
	switch {
	case resp.StatusCode == http.StatusBadRequest && !x.headersSent:
		return x.endWithError(errUnreadableBody())
	case len(x.tried) < maxTargets:
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
