// Package front is the HTTP interface for callers: chat completions, models,
// plain services, health and metrics. It authenticates teams, assigns tiers,
// limits the size and duration of requests, and passes them to the dispatcher.
// Every error is an application/problem+json body.
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

// Dispatcher sends requests to targets; *dispatch.Dispatcher implements it.
type Dispatcher interface {
	Serve(ctx context.Context, w http.ResponseWriter, r *dispatch.Request) (dispatch.Result, error)
	Resume(ctx context.Context, w http.ResponseWriter, team, ticket string, after uint64) (dispatch.Result, error)
}

// Limits enforces this node's shares of the teams' limits.
type Limits interface {
	// Allow admits one request with its prompt tokens, or returns an error of
	// kind limit-exceeded.
	Allow(team string, tokens uint32) error
	// ChargeOutput ends an admitted request and charges the tokens it generated.
	// It is called once for each admitted request.
	ChargeOutput(team string, tokens uint32)
}

// NoLimits admits every request.
type NoLimits struct{}

// Allow implements Limits.
func (NoLimits) Allow(string, uint32) error { return nil }

// ChargeOutput implements Limits.
func (NoLimits) ChargeOutput(string, uint32) {}

// Options configures a Front. Every field is required.
type Options struct {
	Settings *schema.HttpSettings
	// Snapshot returns the current topology; it must not block.
	Snapshot   func() *topology.Snapshot
	Dispatcher Dispatcher
	Signer     *dispatch.Signer
	// Ready returns nil, or the reason why the node must not receive requests.
	Ready     func() error
	Limits    Limits
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
}

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultReadTimeout    = 30 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultDeadline       = 30 * time.Second
)

// bounds are the HTTP limits and timeouts, with defaults for unset settings.
type bounds struct {
	maxBodyBytes    int64
	maxHeaderBytes  int
	readTimeout     time.Duration
	idleTimeout     time.Duration
	defaultDeadline time.Duration
}

// Front handles the requests of callers. It implements http.Handler.
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
		maxBodyBytes:    int64(s.GetMaxBodyBytes()),
		maxHeaderBytes:  int(s.GetMaxHeaderBytes()),
		readTimeout:     s.GetReadTimeout().AsDuration(),
		idleTimeout:     s.GetIdleTimeout().AsDuration(),
		defaultDeadline: s.GetDefaultDeadline().AsDuration(),
	}
	b.maxBodyBytes = orDefault(b.maxBodyBytes, defaultMaxBodyBytes)
	b.maxHeaderBytes = orDefault(b.maxHeaderBytes, defaultMaxHeaderBytes)
	b.readTimeout = orDefault(b.readTimeout, defaultReadTimeout)
	b.idleTimeout = orDefault(b.idleTimeout, defaultIdleTimeout)
	b.defaultDeadline = orDefault(b.defaultDeadline, defaultDeadline)
	return b
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// headerReadFactor is how many times the maximum header size net/http reads, so
// that a request whose headers exceed the maximum gets a problem body. Beyond
// that, net/http answers with its plain 431.
const headerReadFactor = 4

// NewServer returns a server for the handler with the timeouts and the header
// limit of the settings.
func (f *Front) NewServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: f.bounds.readTimeout,
		IdleTimeout:       f.bounds.idleTimeout,
		MaxHeaderBytes:    headerReadFactor * f.bounds.maxHeaderBytes,
		ErrorLog:          f.options.Logger.Std("", 0),
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if size := headerBytes(r); size > f.bounds.maxHeaderBytes {
		problem.Write(w, headerTooLarge(f.bounds.maxHeaderBytes), "")
		return
	}
	if f.draining.Load() {
		// Ends kept-alive connections before the listener closes, so that no caller
		// sends a request on a connection that is about to be closed.
		w.Header().Set("Connection", "close")
	}
	writer := newDeadlineWriter(w, f.bounds.idleTimeout)
	f.router.ServeHTTP(writer, r)
}

// BeginDrain makes /readyz report that the node is not ready. Requests are still
// served.
func (f *Front) BeginDrain() {
	f.draining.Store(true)
}

// InFlight returns the number of requests in progress.
func (f *Front) InFlight() int {
	return int(f.inFlight.Load())
}

func (f *Front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, "ok\n")
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() {
		problem.Write(w, fault.New(schema.ErrorKind_ERROR_KIND_DRAINING,
			"the node is shutting down", "send requests to another node").WithOutcomeNotRun(), "")
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
	// A write error means that the caller has disconnected.
	_, _ = w.Write([]byte(text))
}

func serveNotFound(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
		"nothing is served under this path and method",
		"use /v1/chat/completions, /v1/models or /services/{service}/").WithOutcomeNotRun(), "")
}
