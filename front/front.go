// Package front is the HTTP interface for callers: chat completions, models,
// plain services, health and metrics. It authenticates teams, assigns tiers,
// bounds what callers send, and hands requests to the dispatcher. Every error
// is an application/problem+json body.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

// Dispatcher carries requests to targets; *dispatch.Dispatcher implements it.
type Dispatcher interface {
	Serve(ctx context.Context, w http.ResponseWriter, r *dispatch.Request) (dispatch.Result, error)
	Resume(ctx context.Context, w http.ResponseWriter, team, ticket string, after uint64) (dispatch.Result, error)
}

// Limits holds the teams' shares of their limits.
type Limits interface {
	// Allow admits one request with its expected tokens, or returns an error of
	// kind limit-exceeded. Done is called once for each admitted request.
	// Allow admits a request with its prompt tokens.
	Allow(team string, tokens uint32) error
	// Done ends an admitted request and adds the tokens it generated.
	Done(team string, tokens uint32)
}

// NoLimits admits everything.
type NoLimits struct{}

// Allow implements Limits.
func (NoLimits) Allow(string, uint32) error { return nil }

// Done implements Limits.
func (NoLimits) Done(string, uint32) {}

// Options configures a Front. Every field is required.
type Options struct {
	Settings *schema.HttpSettings
	// Snapshot returns the present view; it must not block.
	Snapshot   func() *topology.Snapshot
	Dispatcher Dispatcher
	Signer     *dispatch.Signer
	// Ready returns why the node should get no requests, or nil.
	Ready     func() error
	Limits    Limits
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
}

const (
	defaultMaxBody     = 8 << 20
	defaultMaxHeader   = 32 << 10
	defaultReadTimeout = 30 * time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultDeadline    = 30 * time.Second
)

// bounds are the settings with defaults filled in.
type bounds struct {
	maxBody   int64
	maxHeader int
	read      time.Duration
	idle      time.Duration
	deadline  time.Duration
}

// Front serves callers. It implements http.Handler.
type Front struct {
	options  Options
	bounds   bounds
	router   *mux.Router
	index    atomic.Pointer[index]
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a Front.
func New(options Options) *Front {
	f := &Front{options: options, bounds: newBounds(options.Settings)}
	f.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	f.router.HandleFunc("/healthz", f.serveHealth).Methods(http.MethodGet, http.MethodHead)
	f.router.HandleFunc("/readyz", f.serveReady).Methods(http.MethodGet, http.MethodHead)
	f.router.Handle("/metrics", options.Telemetry.Handler()).Methods(http.MethodGet)
	f.router.HandleFunc("/v1/models", f.serveModels).Methods(http.MethodGet)
	f.router.HandleFunc("/v1/chat/completions", f.serveChat).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/streams/resume", f.serveResume).Methods(http.MethodGet)
	f.router.HandleFunc("/services/{service}/{path:.*}", f.servePlain)
	f.router.NotFoundHandler = http.HandlerFunc(serveNotFound)
	f.router.MethodNotAllowedHandler = http.HandlerFunc(serveNotFound)
	return f
}

func newBounds(s *schema.HttpSettings) bounds {
	b := bounds{
		maxBody:   int64(s.GetMaxBodyBytes()),
		maxHeader: int(s.GetMaxHeaderBytes()),
		read:      s.GetReadTimeout().AsDuration(),
		idle:      s.GetIdleTimeout().AsDuration(),
		deadline:  s.GetDefaultDeadline().AsDuration(),
	}
	b.maxBody = orDefault(b.maxBody, defaultMaxBody)
	b.maxHeader = orDefault(b.maxHeader, defaultMaxHeader)
	b.read = orDefault(b.read, defaultReadTimeout)
	b.idle = orDefault(b.idle, defaultIdleTimeout)
	b.deadline = orDefault(b.deadline, defaultDeadline)
	return b
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// headerSlack lets headers beyond the bound be read, so that they are refused
// with a problem body; headers beyond the slack get net/http's plain 431.
const headerSlack = 4

// NewServer returns a server for the handler with the bounds of the settings.
func (f *Front) NewServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: f.bounds.read,
		IdleTimeout:       f.bounds.idle,
		MaxHeaderBytes:    headerSlack * f.bounds.maxHeader,
		ErrorLog:          f.options.Logger.Std("", 0),
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if size := headerBytes(r); size > f.bounds.maxHeader {
		problem.Write(w, headerTooLarge(f.bounds.maxHeader), "")
		return
	}
	if f.draining.Load() {
		// Lets kept-alive connections end before the listener closes, so that no
		// caller sends a request on a connection that is about to be closed.
		w.Header().Set("Connection", "close")
	}
	timed := newTimedWriter(w, f.bounds.idle)
	f.router.ServeHTTP(timed, r)
}

// BeginDrain makes the node not ready. Requests are served on.
func (f *Front) BeginDrain() {
	f.draining.Store(true)
}

// InFlight returns the number of requests that have not been answered.
func (f *Front) InFlight() int {
	return int(f.inFlight.Load())
}

func (f *Front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, "ok\n")
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() {
		problem.Write(w, fault.New(schema.ErrorKind_ERROR_KIND_DRAINING,
			"the node is shutting down", "send requests to another node").NotRun(), "")
		return
	}
	if err := f.options.Ready(); err != nil {
		problem.Write(w, err, "")
		return
	}
	writeText(w, "ready\n")
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A caller that is gone cannot be told.
	_, _ = w.Write([]byte(text))
}

func serveNotFound(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
		"nothing is served under this path and method",
		"use /v1/chat/completions, /v1/models or /services/{service}/").NotRun(), "")
}
