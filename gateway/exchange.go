package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/culprit"
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
	// bodyHeld is what the body takes of the budget of all bodies.
	bodyHeld bodyHolding
	// bodyRead is set once the body has come whole, bodyEnded if no more of it may be read.
	bodyRead, bodyEnded bool
	// deadline is when the timeout of the caller or the route ends.
	deadline time.Time

	// sends counts the targets that received any byte of the request, possibleRuns
	// those that may have run it.
	sends, possibleRuns int
	tried               []string
	// countedFirst is set once the request counts among those that allow retries.
	countedFirst bool
	// charge is what the request has taken of its team's limit; sending is set from the
	// start of a send until it is known whether the target may have run the request.
	charge  charge
	sending bool
	// spare is a target that was asked while another one was silent or slow, and cancelled when
	// that went on, or one that broke a second copy. It counts among possibleRuns, so that it may be asked again when no
	// further target may; empty if there is none.
	spare string
	// standby looks for another target while that of the current attempt is silent;
	// successor is the attempt that has taken over from it.
	standby   *standby
	successor *begunAttempt
	// firstSend is the first send of a request that may be hedged.
	firstSend firstSend
	// firstEventAt is when the first event arrived.
	firstEventAt time.Time
	// lastEventAt is when the last event arrived, longestPause the longest time
	// between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	eventCount   int
	// slowWriteEndedAt is when the last write that the caller was slow to read ended.
	slowWriteEndedAt time.Time
	// headersSent is set once the headers of a stream were sent to the caller;
	// position is that of the last event sent.
	headersSent bool
	position    streamPosition
	// resumed is set if the caller takes up a stream that began earlier. version is that of
	// the target which began the stream; empty if it has not begun.
	resumed bool
	version string
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

// errStopping is the cause of a request's context when this node stops.
var errStopping = errors.New("gateway: the node stops")

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
	if g.refusing.Load() {
		return errNotRun(balance.ReasonStopping, stoppingRetryAfter)
	}
	if errResp := x.quarantined(); errResp != nil {
		return errResp
	}
	if errResp := x.takeAllowance(); errResp != nil {
		return errResp
	}
	return x.findOrigin()
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
// target is assigned, and again if a retry is allowed. It waits for room beside the bodies of
// other requests, and refuses the request if there is none in time.
func (x *exchange) readBody(limit int64) *errorResponse {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.bodyHeld = bodyHolding{all: x.gateway.bodies, tier: x.tier(), wait: bodyWait(time.Until(x.deadline))}
	if x.request.ContentLength > limit {
		return errTooLarge()
	}
	source := http.MaxBytesReader(x.writer, x.request.Body, limit)
	var err error
	x.body, err = x.readBodyInTime(source)
	x.bodyRead, x.bodyEnded = err == nil, err != nil
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge()
	case errors.Is(err, errBodiesFull):
		return errNotRun("bodies_full", x.gateway.bodies.retryAfter(max(x.request.ContentLength, freeBodyBytes)))
	case errors.Is(err, errBodyStalled):
		return errNotRun("body_stalled", x.gateway.bodies.retryAfter(max(x.request.ContentLength, freeBodyBytes)))
	case isLate(err):
		return errLateBody()
	case err != nil:
		return errUnreadableBody()
	}
	return nil
}

// run sends the request to targets until one has responded or no retry is
// allowed.
func (x *exchange) run() {
	ctx, cancel := context.WithCancelCause(x.request.Context())
	defer cancel(nil)
	defer context.AfterFunc(x.gateway.ended, func() { cancel(errStopping) })()
	ctx, stopDeadline := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer stopDeadline()
	for ended := false; !ended; {
		if a := x.successor; a != nil {
			x.successor = nil
			ended = x.follow(ctx, a)
			continue
		}
		grant, err := x.gateway.Balancer.Acquire(ctx, x.nextWork())
		switch {
		case err == nil:
			ended = x.attempt(ctx, grant)
		case !x.followRoute(err):
			x.endUnanswered(ctx, err)
			ended = true
		}
	}
}

// nextWork describes the next attempt to the balancer. If no further target may be asked, it
// goes to the spare one.
func (x *exchange) nextWork() *balance.Work {
	if x.spare == "" || x.mayRetryAfterRuns(x.possibleRuns) {
		return x.balancerWork(x.tried, x.lastEventAt, x.version)
	}
	w := x.balancerWork(nil, x.lastEventAt, x.version)
	w.Only = x.spare
	return w
}

// balancerWork describes the request, which was sent to some targets before, to the
// balancer. lastEventAt is when the last event of its stream arrived, if any has, and
// version that of the targets that it may go on at, empty for all.
func (x *exchange) balancerWork(tried []string, lastEventAt time.Time, version string) *balance.Work {
	w := &balance.Work{
		ID:                    x.call.ID,
		Service:               x.service,
		Tier:                  x.tier(),
		Rank:                  x.route.Tier,
		Team:                  x.teamName(),
		PromptTokens:          float64(x.call.PromptTokens),
		EstimatedOutputTokens: float64(x.call.LengthHint),
		Route:                 x.route.Name,
		Arrived:               x.arrived,
		Goal:                  x.arrived.Add(x.route.Goal),
		Patience:              x.deadline,
		End:                   x.deadline,
		Tried:                 tried,
		Version:               version,
	}
	if x.call.HasTimeout {
		w.Goal = w.Goal.Add(-x.gateway.callerTimeouts.elapsed(x.route.Name, x.call.Timeout))
	}
	if x.route.Patience == 0 {
		return w
	}
	waitsFrom := x.arrived
	if !lastEventAt.IsZero() {
		waitsFrom = lastEventAt
	}
	w.Patience = earlier(waitsFrom.Add(x.route.Patience), x.deadline)
	if x.resumed || !lastEventAt.IsZero() {
		// A stream that breaks off earns nothing, so that it is on time for as long as its
		// caller waits for the next event.
		w.Goal = w.Patience
	}
	return w
}

// followRoute chooses a service of the route in force for a request that was refused and
// whose service the route has left, and reports whether it did. A stream that has begun
// stays with its service.
func (x *exchange) followRoute(refused error) bool {
	var refusal *balance.Refusal
	if x.headersSent || x.resumed || !errors.As(refused, &refusal) {
		return false
	}
	route := x.gateway.Config.Table().Route(hostOf(x.request.Host), x.request.URL.EscapedPath())
	if route == nil || route.Uses(x.service) {
		return false
	}
	old := x.service
	x.service = route.PickService(randomFraction())
	x.logMoved(old)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
		x.abort("stream_not_resumed", http.StatusOK, err)
	case x.request.Context().Err() != nil:
		// The caller may still read; a return without a response would be an empty 200.
		x.abort("caller_left", 0, context.Cause(x.request.Context()))
	case x.possibleRuns > 0 && errors.Is(context.Cause(ctx), errStopping):
		x.sendError(errUnknownEffect(balance.ReasonStopping))
	case x.possibleRuns > 0 && ctx.Err() != nil:
		x.sendError(errTimeout())
	case x.possibleRuns > 0:
		x.sendError(errUnknownEffect("no_target_left"))
	case errors.As(err, &refusal):
		x.sendError(errNotRun(refusal.Reason, refusal.RetryAfter))
	case errors.Is(context.Cause(ctx), errStopping):
		x.sendError(errNotRun(balance.ReasonStopping, stoppingRetryAfter))
	default:
		x.sendError(errNotRun("queue_timeout", noTargetRetryAfter))
	}
}

// endWithError sends an error response and reports that the request has ended.
func (x *exchange) endWithError(errResp *errorResponse) bool {
	x.sendError(errResp)
	return true
}
