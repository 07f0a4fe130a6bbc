package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// exchange is one request of a caller and what has become of it.
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
	// until is when the caller or the route gives up.
	until time.Time

	// sends counts the targets that got any byte of the request, ran those that
	// may have run it.
	sends, ran int
	tried      []string
	// placed is when the last target was found, first when its first event came.
	placed, first time.Time
	// last is when the last event came, longest the longest pause between two.
	last    time.Time
	longest time.Duration
	events  int
	// started is set once the head of a stream was sent to the caller, position
	// is the last event that was.
	started  bool
	position position
}

// errTimeLimit is the cause of a request's context when its time is over.
var errTimeLimit = errors.New("gateway: the time limit was reached")

// admit checks what can be checked before the body is read.
func (x *exchange) admit() *refusal {
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
		if !g.Beliefs.KeysProven() {
			return errStaleKeys()
		}
		if x.team = table.Team(x.call.Key); x.team == nil {
			return errKey()
		}
	}
	x.service = x.route.Pick(draw())
	x.until = x.arrived.Add(x.route.Timeout)
	if x.call.HasLimit {
		if limit := x.arrived.Add(x.call.Limit); limit.Before(x.until) {
			x.until = limit
		}
	}
	if p := x.read(table.Config.Bounds.BodyBytes); p != nil {
		return p
	}
	return x.book()
}

// hostOf returns the host without its port, in lower case.
func hostOf(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

// read takes in the whole body, so that the request can be sent at once when
// its turn comes, and again where that is allowed.
func (x *exchange) read(limit int64) *refusal {
	body := io.Reader(x.request.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.writer, x.request.Body, limit)
	}
	var err error
	x.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge()
	case err != nil:
		return errBody()
	}
	return nil
}

// book counts the request against its team's limit.
func (x *exchange) book() *refusal {
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
	if after, ok := x.gateway.Allowance.Take(x.team, amount); !ok {
		return errLimit(after)
	}
	return nil
}

// run sends the request to targets until one has answered, or until it may not
// be sent again.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadlineCause(x.request.Context(), x.until, errTimeLimit)
	defer cancel()
	for {
		grant, err := x.gateway.Balancer.Acquire(ctx, x.work())
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		if x.attempt(ctx, grant) {
			return
		}
	}
}

func (x *exchange) work() *balance.Work {
	w := &balance.Work{
		ID:           x.call.ID,
		Service:      x.service,
		Tier:         x.tier(),
		Rank:         x.route.Tier,
		PromptTokens: float64(x.call.PromptTokens),
		HintTokens:   float64(x.call.LengthHint),
		Route:        x.route.Name,
		Arrived:      x.arrived,
		Goal:         x.arrived.Add(x.route.Goal),
		Patience:     x.until,
		End:          x.until,
		Tried:        x.tried,
	}
	if x.route.Patience > 0 && x.arrived.Add(x.route.Patience).Before(x.until) {
		w.Patience = x.arrived.Add(x.route.Patience)
	}
	if x.call.HasLimit {
		w.Goal = w.Goal.Add(-x.gateway.limits.passed(x.route.Name, x.call.Limit))
	}
	return w
}

// tier returns the request's rank: the team's goes before the route's.
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

// giveUp ends a request that gets no target, or no answer in time.
func (x *exchange) giveUp(ctx context.Context, err error) {
	var refused *balance.Refusal
	switch {
	case x.started:
		x.abort("stream_not_resumed", http.StatusOK)
	case x.request.Context().Err() != nil:
		x.log("caller_left", 0)
	case x.ran > 0 && ctx.Err() != nil:
		x.refuse(errTimeout())
	case x.ran > 0:
		x.refuse(errUnknown("no_target_left"))
	case errors.As(err, &refused):
		x.refuse(errNotRun(refused.Reason, refused.RetryAfter))
	default:
		x.refuse(errNotRun("queue_timeout", fullRetry))
	}
}

// finish refuses and reports that the request has ended.
func (x *exchange) finish(p *refusal) bool {
	x.refuse(p)
	return true
}

var errNoRetry = errors.New("gateway: the retry budget is used up")

// attempt sends the request to one target. It reports whether the request has
// ended.
func (x *exchange) attempt(ctx context.Context, grant *balance.Grant) bool {
	x.tried = append(x.tried, grant.Target.ID)
	x.logPlaced(grant)
	if !x.bookSend() {
		grant.Done(balance.Unsent)
		x.giveUp(ctx, errNoRetry)
		return true
	}
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alive := x.watch(cancel)
	address := upstream.Address{ID: grant.Target.ID, Host: grant.Target.Address}
	resp, err := x.gateway.Sender.Send(limited, address, x.outgoing(grant))
	if err != nil {
		return x.failed(ctx, grant, err)
	}
	defer resp.Body.Close()
	x.sends++
	answer := x.gateway.Dialect.Answer(resp.StatusCode, resp.Header)
	switch {
	case answer.NotRun:
		return x.rejected(ctx, grant, resp)
	case x.route.Kind == catalog.Streaming && isSuccess(resp.StatusCode):
		x.ran++
		return x.relayStream(ctx, grant, resp, answer, alive)
	default:
		x.ran++
		return x.relayWhole(ctx, grant, resp, answer)
	}
}

// bookSend counts a send, and reports whether the retry budget allows it.
func (x *exchange) bookSend() bool {
	g := x.gateway
	if x.sends == 0 {
		g.Retries.Sent(x.service)
		return true
	}
	if !g.Retries.Again(x.service) {
		return false
	}
	g.Metrics.SentAgain(x.service)
	return true
}

// watch ends an attempt whose target falls silent, if the request may go to
// another one. It returns the function that shows that the target is alive.
func (x *exchange) watch(cancel context.CancelCauseFunc) (alive func()) {
	if !x.mayRepeatAfter(x.ran + 1) {
		return func() {}
	}
	timer := time.AfterFunc(x.stall(), func() { cancel(errStalled) })
	return func() { timer.Reset(x.stall()) }
}

func isSuccess(status int) bool { return status/100 == 2 }

// outgoing is the request as the target gets it.
func (x *exchange) outgoing(grant *balance.Grant) *upstream.Request {
	h := x.request.Header.Clone()
	dropHopByHop(h)
	ask := Ask{Left: time.Until(x.until), Instance: grant.Target.ID, LastEvent: x.lastEvent()}
	if x.team != nil {
		ask.Team = x.team.Name
	}
	x.gateway.Dialect.Ask(h, ask)
	return &upstream.Request{
		Method: x.request.Method,
		URI:    x.request.RequestURI,
		Host:   x.request.Host,
		Header: h,
		Body:   x.body,
		Belongs: func(h http.Header) bool {
			return x.gateway.Dialect.Answer(http.StatusOK, h).ID == x.call.ID
		},
	}
}

// failed handles a send without an answer.
func (x *exchange) failed(ctx context.Context, grant *balance.Grant, err error) bool {
	var failed *upstream.SendError
	sent := !errors.As(err, &failed) || failed.Sent
	if sent {
		x.sends++
		x.ran++
	}
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		x.giveUp(ctx, err)
		return true
	}
	x.gateway.Logger.Warn().Str("event", "send_failed").Str("request", x.call.ID).Bool("sent", sent).Err(err).Msg("")
	if !sent {
		grant.Done(balance.Unreachable)
		return len(x.tried) >= maxTargets && x.outOfTargets(ctx, "targets_unreachable")
	}
	return x.lost(grant, "no_answer")
}

// lost handles a target that gave no whole answer. It reports whether the request
// has ended; if not, it may go to another target.
func (x *exchange) lost(grant *balance.Grant, cause string) bool {
	grant.Done(balance.Broken)
	if x.mayRepeat() {
		return false
	}
	if x.started {
		x.abort("stream_not_resumed", http.StatusOK)
	}
	return x.finish(errUnknown(cause))
}

// maxTargets bounds the targets that are tried for one request, including those
// that were not reached or did not run it.
const maxTargets = 4

// mayRepeat reports whether the request may go to one more target although it
// may have run.
func (x *exchange) mayRepeat() bool { return x.mayRepeatAfter(x.ran) }

func (x *exchange) mayRepeatAfter(ran int) bool {
	return x.route.Repeatable() && ran < x.route.MaxAttempts && len(x.tried) < maxTargets
}

// rejected handles an answer which says that the request was not run.
func (x *exchange) rejected(ctx context.Context, grant *balance.Grant, resp *http.Response) bool {
	grant.Done(balance.Rejected)
	switch {
	case resp.StatusCode == http.StatusBadRequest && !x.started:
		return x.finish(errBody())
	case len(x.tried) < maxTargets:
		return false
	default:
		return x.outOfTargets(ctx, "targets_full")
	}
}

// outOfTargets ends a request for which no more targets are tried.
func (x *exchange) outOfTargets(ctx context.Context, cause string) bool {
	if x.started || x.ran > 0 {
		x.giveUp(ctx, errNoRetry)
		return true
	}
	return x.finish(errNotRun(cause, fullRetry))
}
