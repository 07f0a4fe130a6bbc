// Package gateway is the HTTP reverse proxy for callers: it finds the route and
// the team of a request, waits for a target, forwards the request and relays the
// response. One node handles a request from its first byte to its last.
package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// ConfigSource provides the node's configuration and how current it is.
type ConfigSource interface {
	// Table returns the configuration in force, or nil if none is loaded.
	Table() *catalog.Table
	// Ready reports whether the configuration and the targets are loaded.
	Ready() bool
	// KeysProven reports whether the configuration is recent enough to accept API
	// keys.
	KeysProven() bool
}

// Balancer selects targets.
type Balancer interface {
	Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error)
}

// Allowance enforces the limits of teams.
type Allowance interface {
	// Take charges an amount to a team. If the team is over its limit, it charges
	// nothing and returns how long to wait before trying again.
	Take(team *catalog.Team, amount float64) (retryAfter time.Duration, ok bool)
	// Return refunds a charge, at all nodes. charged is when it was taken.
	Return(team *catalog.Team, amount float64, charged time.Time)
}

// RetryBudget bounds the retries of a service.
type RetryBudget interface {
	// RecordFirstAttempt counts a first attempt.
	RecordFirstAttempt(service string)
	// AllowRetry takes a retry from the budget, or reports that it is exhausted.
	AllowRetry(service string) bool
}

// Sender sends a request to a target.
type Sender interface {
	Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error)
}

// TargetLimits learns the limits that targets state in their responses.
type TargetLimits interface {
	// RecordLimit records how many requests a second a target takes from all nodes, or
	// that it stated no limit.
	RecordLimit(target string, perSecond float64, stated bool)
	// RecordBrittle records whether a target falls over if it has to turn a few requests
	// away.
	RecordBrittle(target string, brittle bool)
}

// TargetLoads learns the loads that targets report in their responses. Without one they are
// not used.
type TargetLoads interface {
	// RecordLoad records the load that a target has just reported.
	RecordLoad(target string, load TargetLoad)
}

// TargetSignals learns what targets ask of this node in their responses.
type TargetSignals interface {
	// RecordSignal records what a target asked of this node.
	RecordSignal(s balance.Signal)
	// MaySend reports whether this node may send a target a request that arrived at the
	// given time. It may not while a pause that the target asked for lasts, nor, once the
	// target leaves, if the request arrived too late.
	MaySend(t *catalog.Target, arrived time.Time) bool
	// Leaves reports whether a target is known to leave, or to have left.
	Leaves(t *catalog.Target) bool
}

// Metrics records the outcome of requests.
type Metrics interface {
	RequestDispatched(service string, tier int, waited time.Duration)
	RequestEnded(e telemetry.EndedRequest)
	RequestRetried(service string)
}

// Options holds the dependencies of a Gateway.
type Options struct {
	Config      ConfigSource
	HeaderCodec HeaderCodec
	Balancer    Balancer
	Allowance   Allowance
	Retries     RetryBudget
	// Hedges is nil if no request is sent a second time because its target is slow.
	Hedges   Hedges
	Sender   Sender
	Culprits Culprits
	Prober   Prober
	Limits   TargetLimits
	Loads    TargetLoads
	Signals  TargetSignals
	Streams  Streams
	Links    Links
	Metrics  Metrics
	Logger   *log.Logger
	// HeldBytes bounds the bytes of answers that all requests together hold back, and
	// BodyBytes those of their bodies.
	HeldBytes, BodyBytes int
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	Options
	router         *mux.Router
	callerTimeouts callerTimeouts
	held           *heldBytes
	bodies         *bodyBudget
	// closing makes every response close its connection, refusing refuses requests that
	// are complete only now.
	closing, refusing atomic.Bool
	// ended is cancelled when the requests that are left must end; end does that.
	ended context.Context
	end   context.CancelFunc
}

// New returns a gateway.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, router: mux.NewRouter().SkipClean(true).UseEncodedPath()}
	g.held = &heldBytes{limit: cmp.Or(options.HeldBytes, defaultHeldBytes)}
	g.bodies = &bodyBudget{limit: int64(cmp.Or(options.BodyBytes, defaultBodyBytes))}
	g.ended, g.end = context.WithCancel(context.Background())
	g.router.PathPrefix("/").HandlerFunc(g.serve)
	// Requests that no path prefix matches, such as "*", have no route either.
	g.router.NotFoundHandler = http.HandlerFunc(g.serve)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// CloseConnections makes each later response close its connection, so that
// callers reconnect to another node.
func (g *Gateway) CloseConnections() {
	g.closing.Store(true)
}

// RefuseNew makes the gateway refuse requests that are complete only from now on: a request
// may still arrive slowly on a connection that was used in time.
func (g *Gateway) RefuseNew() {
	g.refusing.Store(true)
}

// EndRequests ends the requests that are left: those that were not sent are refused, and
// the others answered with what is known of them. Streams that have begun break off.
func (g *Gateway) EndRequests() { g.end() }

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		gateway: g,
		writer:  w,
		request: r,
		arrived: time.Now(),
		call:    g.HeaderCodec.Read(r.Header),
	}
	defer func() { x.bodyHeld.release() }()
	defer x.returnCharge()
	if errResp := x.admit(); errResp != nil {
		x.sendError(errResp)
		return
	}
	x.limitWrites(time.Now().Add(max(0, time.Until(x.deadline)) + lastWriteTime))
	x.run()
}

// lastWriteTime is how long after a request's time limit, or after the end of its body if that
// is later, the last bytes for its caller may take, an error among them.
const lastWriteTime = 500 * time.Millisecond

// limitWrites makes writes to the caller fail from a time on, so that a caller that does
// not read does not keep a request from ending. The server takes the limit back after the
// request.
func (x *exchange) limitWrites(end time.Time) {
	// A writer that has no deadline, such as a test recorder, does not wait for a caller.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(end)
}

const (
	// startupConfigWait bounds how long a request waits on a newly started node
	// for the configuration, whose load takes several trips to the store.
	startupConfigWait   = 400 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
)

// awaitTable returns the configuration. If the node is not ready yet, it first
// waits for up to startupConfigWait.
func (g *Gateway) awaitTable(ctx context.Context) *catalog.Table {
	for waited := time.Duration(0); ; waited += startupPollInterval {
		table := g.Config.Table()
		if table != nil && g.Config.Ready() || waited >= startupConfigWait || ctx.Err() != nil {
			return table
		}
		time.Sleep(startupPollInterval)
	}
}

// randomFraction returns a uniform number in [0, 1) to pick a service of a route.
func randomFraction() float64 { return rand.Float64() }
