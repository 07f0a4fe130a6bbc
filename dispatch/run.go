package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxPermits bounds how many permits one request may use up without any
	// byte of it being sent.
	maxPermits = 4
	// sendsPerPermit lets a request that found a closed kept-alive connection
	// try a new one.
	sendsPerPermit = 2
	retryLater     = time.Second
)

// errTryAgain wraps an error after which the request, not yet sent, may ask
// for another permit.
type errTryAgain struct{ err error }

func (e errTryAgain) Error() string { return e.err.Error() }
func (e errTryAgain) Unwrap() error { return e.err }

// run is one request on its way through this entry.
type run struct {
	dispatcher *Dispatcher
	// caller ends when the caller hangs up.
	caller  context.Context
	answer  *responder
	request *Request
	claim   *claim
	result  Result

	permit *schema.Permit
	// work bounds the present dispatch; it is cancelled when a caller whose
	// request may be cut short hangs up.
	work context.Context
	// received is when the permit came; sent is when the request left.
	received time.Time
	sent     time.Time
	timing   timing
}

// execute acquires permits until the request has been sent, and delivers the
// answer.
func (r *run) execute() error {
	if err := r.admit(); err != nil {
		return err
	}
	for {
		if err := r.acquire(); err != nil {
			return err
		}
		var err error
		if r.request.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN {
			err = r.runPlain()
		} else {
			err = r.runChat()
		}
		r.returnPermit()
		var again errTryAgain
		if !errors.As(err, &again) {
			return err
		}
		if r.result.Permits >= maxPermits {
			return noTarget(again.err)
		}
	}
}

func (r *run) admit() error {
	if r.request.Admit == nil {
		return nil
	}
	if err := r.request.Admit(); err != nil {
		e := *fault.From(err)
		return e.NotRun()
	}
	return nil
}

func noTarget(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_NO_TARGET, err,
		"no target took the request", "retry; if it lasts, check the targets with primrosectl status").
		NotRun().After(retryLater)
}

// acquire waits for a permit until the request's deadline.
func (r *run) acquire() error {
	ctx, cancel := context.WithDeadline(r.caller, r.request.Arrived.Add(r.request.Deadline))
	defer cancel()
	permit, err := r.dispatcher.options.Permits.Acquire(ctx, r.permitRequest())
	if err != nil {
		return r.refusal(ctx, err)
	}
	r.permit = permit
	r.received = time.Now()
	r.result.Permits++
	r.result.PermitWait = r.received.Sub(r.request.Arrived)
	r.result.Target = permit.GetTarget()
	r.result.Group = permit.GetGroup()
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_UNUSED
	return nil
}

func (r *run) permitRequest() *schema.PermitRequest {
	waited := time.Since(r.request.Arrived)
	return &schema.PermitRequest{
		RequestId:       r.request.ID,
		EntryNode:       r.dispatcher.options.Node,
		Team:            r.request.Team,
		Service:         r.request.Service,
		Model:           r.request.Model,
		Tier:            r.request.Tier,
		PromptTokens:    r.request.PromptTokens,
		MaxOutputTokens: r.request.MaxOutputTokens,
		PrefixBlocks:    r.request.PrefixBlocks,
		Waited:          durationpb.New(waited),
		Deadline:        durationpb.New(r.request.Deadline - waited),
		StatedDeadline:  r.request.StatedDeadline,
		Fingerprint:     r.request.Fingerprint,
		EntryRegion:     r.dispatcher.options.Region,
		BodyBytes:       uint64(len(r.request.Body)),
	}
}

// refusal returns the error of a request that got no permit. Nothing of it
// was sent, so its outcome is known.
func (r *run) refusal(ctx context.Context, err error) error {
	if r.caller.Err() != nil {
		r.result.CallerGone = true
		return callerGone().NotRun()
	}
	if ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		return fault.New(schema.ErrorKind_ERROR_KIND_DEADLINE,
			"no target became free before the deadline", "retry, or allow more time with X-Deadline-Ms").
			NotRun().After(retryLater)
	}
	e := *fault.From(err)
	return e.NotRun()
}

func callerGone() *fault.Error {
	return fault.New(schema.ErrorKind_ERROR_KIND_TIMEOUT, "the caller hung up", "send the request again")
}

// notAfter is the latest time at which the permit allows to send.
func (r *run) notAfter() time.Time {
	if r.permit.GetValidFor() == nil {
		return time.Time{}
	}
	return r.received.Add(r.permit.GetValidFor().AsDuration())
}

// send calls once until it succeeds or the error no longer says that the
// connection failed before anything was sent.
func (r *run) send(once func() error) error {
	var err error
	for range sendsPerPermit {
		err = once()
		var sendErr *engine.SendError
		if !errors.As(err, &sendErr) || sendErr.Sent || errors.Is(err, engine.ErrExpired) || r.work.Err() != nil {
			break
		}
	}
	return r.classify(err)
}

// classify turns a target's failure before its answer into the error to act
// on, and notes how the permit ended.
func (r *run) classify(err error) error {
	if err == nil {
		r.result.Dispatched = true
		return nil
	}
	var sendErr *engine.SendError
	if errors.As(err, &sendErr) {
		return r.classifySend(sendErr)
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		return r.classifyStatus(status)
	}
	r.result.Dispatched = true
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	e := *fault.From(err)
	return e.Unknown()
}

func (r *run) classifySend(err *engine.SendError) error {
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	if err.Sent {
		r.result.Dispatched = true
		if r.cancelled() {
			r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
			return callerGone().Unknown()
		}
		r.result.PermitResult = failureResult(err)
		return targetFailed(err, "the target broke off before it answered")
	}
	if r.cancelled() {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_UNUSED
		return callerGone().NotRun()
	}
	if errors.Is(err, engine.ErrExpired) {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_UNUSED
	}
	return errTryAgain{err}
}

func (r *run) classifyStatus(err *engine.StatusError) error {
	if err.NotStarted {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_REFUSED
		if isBadRequest(err.Status) {
			return rejected(err).NotRun()
		}
		return errTryAgain{err}
	}
	r.result.Dispatched = true
	if isBadRequest(err.Status) {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_COMPLETED
		return rejected(err).Unknown()
	}
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	return targetFailed(err, "the target failed")
}

// isBadRequest reports whether another target would refuse the request too.
func isBadRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// rejected passes the target's explanation on as the cause.
func rejected(err *engine.StatusError) *fault.Error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, errors.New(strings.TrimSpace(err.Message)),
		"the target refused the request as malformed", "correct the request's fields")
}

func targetFailed(err error, message string) *fault.Error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_TARGET_FAILED, err, message,
		"the request may have run: check its effect, or send it again with its Idempotency-Key to learn the outcome").Unknown()
}

// cancelled notes and reports whether the work was cancelled because the
// caller hung up.
func (r *run) cancelled() bool {
	if errors.Is(r.work.Err(), context.Canceled) {
		r.result.CallerGone = true
		return true
	}
	return false
}

func (r *run) returnPermit() {
	if r.permit == nil {
		return
	}
	back := &schema.PermitReturn{
		Number:      r.permit.GetNumber(),
		Group:       r.permit.GetGroup(),
		Target:      r.permit.GetTarget(),
		RequestId:   r.request.ID,
		Result:      r.result.PermitResult,
		Fingerprint: r.request.Fingerprint,
		Team:        r.request.Team,
		Service:     r.request.Service,
	}
	r.permit = nil
	if r.result.Dispatched {
		back.PromptTokens = r.result.PromptTokens
		back.CachedTokens = r.result.CachedTokens
		back.OutputTokens = r.result.OutputTokens
		back.Total = durationpb.New(time.Since(r.sent))
		if r.timing.started() {
			back.FirstToken = durationpb.New(r.timing.first.Sub(r.sent))
			back.TokenGap = durationpb.New(r.timing.percentile(gapPercentile))
		}
	}
	r.dispatcher.options.Permits.Return(back)
	r.dispatcher.options.Meter.CountPermit(back.GetResult())
}

// finish completes the result and settles the claim.
func (r *run) finish(err error) (Result, error) {
	r.result.Total = time.Since(r.request.Arrived)
	r.result.Status = r.answer.status
	r.result.Gaps = r.timing.gaps
	r.result.CallerGone = r.result.CallerGone || r.answer.gone
	if r.timing.started() {
		r.result.FirstToken = r.timing.first.Sub(r.request.Arrived)
	}
	r.result.Delivered = err == nil && !r.result.CallerGone && isUseful(r.answer.status)
	r.result.Truncated = err != nil && r.answer.status != 0
	if r.claim != nil {
		r.claim.settle(r.result.Dispatched, r.outcome(err))
	}
	return r.result, err
}

// isUseful reports whether an answer of this status counts as goodput.
func isUseful(status int) bool {
	return status < http.StatusInternalServerError
}

// outcome is what a repeated request is told. After an error it is the
// problem, so that the outcome stays unknown for every later send.
func (r *run) outcome(err error) *schema.StoredOutcome {
	if err == nil {
		return r.answer.stored()
	}
	details := problem.New(err, r.request.ID)
	return &schema.StoredOutcome{
		Status:      uint32(details.Status),
		ContentType: problem.ContentType,
		Body:        details.Body(),
	}
}
