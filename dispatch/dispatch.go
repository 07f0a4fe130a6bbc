// Package dispatch is the entry's side of a request's path. It obtains a
// permit, sends the request to the permitted target itself, delivers the
// answer, and returns the permit with what was measured. After the first byte
// of a request was sent it is never dispatched again: a broken stream is
// resumed at the same target, or the request ends with an unknown outcome.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Permits grants leave to dispatch.
type Permits interface {
	// Acquire waits for a permit until the request is refused or ctx ends. A
	// refused request was not run.
	Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.Permit, error)
	// Return gives a permit back. It does not wait for the owner.
	Return(r *schema.PermitReturn)
}

// Claims is the ledger of request ids that callers chose.
type Claims interface {
	Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error)
	Finish(ctx context.Context, r *schema.FinishRequest) error
}

// Request is one authenticated request of a caller.
type Request struct {
	ID string
	// CallerKey says that the caller chose the id, so that the ledger decides
	// whether it may run.
	CallerKey bool
	Team      string
	Service   string
	Kind      schema.ServiceKind
	Model     string
	// Tier is the rank of the request's tier.
	Tier uint32
	// Idempotent says that the target's run has no lasting effect.
	Idempotent bool
	// Method, Path and Header are sent to plain targets.
	Method string
	Path   string
	Header http.Header
	// Body is the body for the target; for engines it asks for a stream.
	Body []byte
	// Stream says that the caller wants server-sent events.
	Stream bool
	// IncludeUsage says that the caller wants a chunk that has only usage.
	IncludeUsage bool
	// Digest identifies the request's content under its id.
	Digest          []byte
	PromptTokens    uint32
	MaxOutputTokens uint32
	PrefixBlocks    []uint64
	Fingerprint     uint64
	// Admit, if set, is asked once before the first permit. For a caller's key
	// that is after the claim, so that its refusal truly was not run.
	Admit func() error
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Deadline is the time from arrival to the first token.
	Deadline time.Duration
	// StatedDeadline says that the caller chose the deadline.
	StatedDeadline bool
}

// Source tells where an answer came from.
type Source string

// Sources of answers.
const (
	SourceRun      Source = "run"
	SourceAttached Source = "attached"
	SourceStored   Source = "stored"
	SourceResumed  Source = "resumed"
)

// Result is what happened to a request, for its log line and the meters.
type Result struct {
	Source   Source
	Target   string
	Group    string
	StreamID string
	// Status is the HTTP status sent to the caller; 0 if none was.
	Status int
	// Dispatched says that bytes of the request were sent to a target.
	Dispatched bool
	// Delivered says that the caller was sent the whole answer.
	Delivered bool
	// CallerGone says that the caller hung up first.
	CallerGone bool
	// Truncated says that a started answer ended early.
	Truncated bool
	// Permits is the number of permits used up.
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
	// Gaps are the latest times between tokens.
	Gaps []time.Duration
}

// Meter counts permits and claims.
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
	// MaxStreamDuration bounds one answer.
	MaxStreamDuration time.Duration
	// StallTimeout is how long a stream may be silent before it is read again
	// on another connection.
	StallTimeout time.Duration
	// MaxStoredOutcome bounds the answer kept for a repeated request, in bytes.
	MaxStoredOutcome int
}

// Defaults of Options.
const (
	DefaultMaxStreamDuration = 10 * time.Minute
	DefaultStallTimeout      = 10 * time.Second
)

// Dispatcher carries requests to targets. Its methods may be called by any
// goroutine.
type Dispatcher struct {
	options Options
	claims  claims
	ended   endedReports
	// background counts runs and reports that outlive their caller.
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
	return &Dispatcher{options: options, claims: claims{held: make(map[*claim]struct{})}}
}

// Wait waits until reports to the ledger and cancellations have ended, or ctx
// has. It is called after the last Serve has returned.
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

// Serve runs the request and writes its answer to w. If it returns an error
// and Result.Status is 0, nothing has been written to w. ctx ends when the
// caller hangs up.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, r *Request) (Result, error) {
	if r.CallerKey {
		return d.serveClaimed(ctx, w, r)
	}
	run := d.newRun(ctx, w, r, nil)
	err := run.execute()
	return run.finish(err)
}

func (d *Dispatcher) newRun(ctx context.Context, w http.ResponseWriter, r *Request, c *claim) *run {
	return &run{
		dispatcher: d,
		caller:     ctx,
		answer:     newResponder(w, c != nil, d.options.MaxStoredOutcome),
		request:    r,
		claim:      c,
		result:     Result{Source: SourceRun, PromptTokens: r.PromptTokens},
	}
}
