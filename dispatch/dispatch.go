// Package dispatch runs requests at targets on behalf of an entry node. It
// obtains a permit, sends the request directly to the permitted target, delivers
// the response, and returns the permit with the measured token counts and
// latencies. Once the first byte of a request has been sent, the request is never
// dispatched again: a broken stream is resumed at the same target, or the request
// ends with an unknown outcome.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Permits grants permission to dispatch requests.
type Permits interface {
	// Acquire waits until a permit is granted, the request is refused or ctx
	// ends. A refused request has not run.
	Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.Permit, error)
	// Return returns a permit without waiting for the owner.
	Return(r *schema.PermitReturn)
}

// Claims is the ledger of request ids chosen by callers.
type Claims interface {
	Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error)
	Finish(ctx context.Context, r *schema.FinishRequest) error
}

// Request is an authenticated request of a caller.
type Request struct {
	ID string
	// HasCallerID reports whether the caller chose the id, so that the ledger
	// decides whether the request may run.
	HasCallerID bool
	Team        string
	Service     string
	Kind        schema.ServiceKind
	Model       string
	// Tier is the rank of the request's tier.
	Tier uint32
	// Idempotent reports whether running the request has no lasting effect.
	Idempotent bool
	// Method, Path and Header are sent to targets of plain services.
	Method string
	Path   string
	Header http.Header
	// Body is the body sent to the target. For engines it requests a stream.
	Body []byte
	// Stream reports whether the caller requested server-sent events.
	Stream bool
	// IncludeUsage reports whether the caller requested the chunk that contains
	// only usage.
	IncludeUsage bool
	// Digest identifies the request's content under its id.
	Digest          []byte
	PromptTokens    uint32
	MaxOutputTokens uint32
	PrefixBlocks    []uint64
	Fingerprint     uint64
	// Admit, if set, is called once before the first permit is requested. With
	// an id chosen by the caller it is called after the claim, so that a
	// request it refuses is certain not to have run.
	Admit func() error
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Deadline is the maximum time from arrival to the first token.
	Deadline time.Duration
	// StatedDeadline reports whether the caller chose the deadline.
	StatedDeadline bool
}

// Source is where a response came from.
type Source string

// Sources of responses.
const (
	SourceRun      Source = "run"
	SourceAttached Source = "attached"
	SourceStored   Source = "stored"
	SourceResumed  Source = "resumed"
)

// Result describes how a request was served, for its log line and metrics.
type Result struct {
	Source   Source
	Target   string
	Group    string
	StreamID string
	// Status is the HTTP status sent to the caller, or 0 if none was sent.
	Status int
	// Dispatched reports whether bytes of the request were sent to a target.
	Dispatched bool
	// Delivered reports whether the complete response was sent to the caller.
	Delivered bool
	// CallerDisconnected reports whether the caller hung up before the response was
	// complete.
	CallerDisconnected bool
	// Truncated reports whether a response ended early after it had started.
	Truncated bool
	// Permits is the number of permits used.
	Permits      int
	Resumes      int
	PermitResult schema.PermitResult
	PermitWait   time.Duration
	// FirstToken is the time from arrival to the first token or header.
	FirstToken   time.Duration
	Total        time.Duration
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	// Gaps are the most recent times between tokens.
	Gaps []time.Duration
}

// Meter counts permits by result and claims by state.
type Meter interface {
	CountPermit(result schema.PermitResult)
	CountClaim(state schema.ClaimState)
}

type nopMeter struct{}

func (nopMeter) CountPermit(schema.PermitResult) {}
func (nopMeter) CountClaim(schema.ClaimState)    {}

// Options configures a Dispatcher.
type Options struct {
	Node    string
	Region  string
	Permits Permits
	Claims  Claims
	Engine  *engine.Client
	Signer  *Signer
	// Meter may be nil.
	Meter Meter
	// MaxStreamDuration limits the duration of one response.
	MaxStreamDuration time.Duration
	// StallTimeout is how long a stream may be silent before it is resumed on
	// another connection.
	StallTimeout time.Duration
	// MaxStoredOutcome is the maximum size in bytes of a response stored for
	// repeated requests.
	MaxStoredOutcome int
}

// Defaults of Options.
const (
	DefaultMaxStreamDuration = 10 * time.Minute
	DefaultStallTimeout      = 10 * time.Second
)

// Dispatcher sends requests to targets. Its methods are safe for concurrent use.
type Dispatcher struct {
	options  Options
	claims   claimSet
	finished finishedReports
	// background tracks goroutines that may outlive their caller: cancellations
	// of streams and reports to the ledger.
	background sync.WaitGroup
}

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	if options.MaxStreamDuration <= 0 {
		options.MaxStreamDuration = DefaultMaxStreamDuration
	}
	if options.Meter == nil {
		options.Meter = nopMeter{}
	}
	if options.StallTimeout <= 0 {
		options.StallTimeout = DefaultStallTimeout
	}
	return &Dispatcher{options: options, claims: claimSet{active: make(map[*claim]struct{})}}
}

// Wait waits until reports to the ledger and cancellations have finished, or
// until ctx ends. Call it after the last Serve has returned.
func (d *Dispatcher) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve runs the request and writes its response to w. If it returns an error
// and Result.Status is 0, nothing has been written to w. ctx ends when the
// caller hangs up.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, r *Request) (Result, error) {
	if r.HasCallerID {
		return d.serveClaimed(ctx, w, r)
	}
	run := d.newRun(ctx, w, r, nil)
	err := run.execute()
	return run.finish(err)
}

func (d *Dispatcher) newRun(ctx context.Context, w http.ResponseWriter, r *Request, c *claim) *run {
	return &run{
		dispatcher: d,
		callerCtx:  ctx,
		response:   newResponseWriter(w, c != nil, d.options.MaxStoredOutcome),
		request:    r,
		claim:      c,
		result:     Result{Source: SourceRun, PromptTokens: r.PromptTokens},
	}
}
