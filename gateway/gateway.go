// Package gateway serves callers: it finds the route and the team of a
// request, waits for a target, sends the request there, and passes the answer
// on. One node alone holds a request, from its first byte to its last.
package gateway

import (
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

// Beliefs is what the node knows of the deployment.
type Beliefs interface {
	// Table returns the configuration in force, or nil if none is known.
	Table() *catalog.Table
	// Ready reports whether the configuration and the targets are known.
	Ready() bool
	// KeysProven reports whether the configuration is fresh enough to accept
	// keys.
	KeysProven() bool
}

// Balancer finds targets.
type Balancer interface {
	Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error)
}

// Allowance keeps teams within their limits.
type Allowance interface {
	// Take books an amount for a team, or returns when it may be tried again.
	Take(team *catalog.Team, amount float64) (retryAfter time.Duration, ok bool)
}

// RetryBudget bounds the requests sent to a further target.
type RetryBudget interface {
	// Sent counts a first send.
	Sent(service string)
	// Again books a further send, or reports that the budget is used up.
	Again(service string) bool
}

// Sender sends one request to one target.
type Sender interface {
	Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error)
}

// Metrics records what becomes of requests.
type Metrics interface {
	RequestPlaced(service string, tier int, waited time.Duration)
	RequestEnded(e telemetry.Ended)
	SentAgain(service string)
}

// Options holds the parts that a Gateway works with.
type Options struct {
	Beliefs   Beliefs
	Dialect   Dialect
	Balancer  Balancer
	Allowance Allowance
	Retries   RetryBudget
	Sender    Sender
	Metrics   Metrics
	Logger    *log.Logger
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	Options
	router *mux.Router
	limits limits
	// closing makes every answer end its connection.
	closing atomic.Bool
}

// New returns a gateway.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, router: mux.NewRouter().SkipClean(true).UseEncodedPath()}
	g.router.PathPrefix("/").HandlerFunc(g.serve)
	// Anything that no path prefix matches, such as "*", has no route either.
	g.router.NotFoundHandler = http.HandlerFunc(g.serve)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// CloseConnections makes each later answer end its connection, so that callers
// open their next one at another node.
func (g *Gateway) CloseConnections() {
	g.closing.Store(true)
}

// serve handles one request from its head to its end.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		gateway: g,
		writer:  w,
		request: r,
		arrived: time.Now(),
		call:    g.Dialect.Read(r.Header),
	}
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if problem := x.admit(); problem != nil {
		x.refuse(problem)
		return
	}
	x.run()
}

const (
	// startWait is how long a request waits at a node that has just started for
	// the configuration, which takes some ways to the store.
	startWait  = 400 * time.Millisecond
	startCheck = 10 * time.Millisecond
)

// awaitTable returns the configuration, and waits for it shortly if the node
// knows none yet.
func (g *Gateway) awaitTable(ctx context.Context) *catalog.Table {
	for waited := time.Duration(0); ; waited += startCheck {
		table := g.Beliefs.Table()
		if table != nil && g.Beliefs.Ready() || waited >= startWait || ctx.Err() != nil {
			return table
		}
		time.Sleep(startCheck)
	}
}

// draw returns a uniform number for the choice of a route's service.
func draw() float64 { return rand.Float64() }
