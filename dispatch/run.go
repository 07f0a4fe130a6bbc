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
	// maxPermits limits how many permits one request may use while no byte of it
	// has been sent.
	maxPermits = 4
	// maxSendsPerPermit allows a retry on a new connection after the request
	// found a kept-alive connection closed.
	maxSendsPerPermit = 2
	retryDelay        = time.Second
)

// retryableError wraps an error after which the request, of which nothing was
// sent, may acquire another permit.
type retryableError struct{ err error }

func (e retryableError) Error() string { return e.err.Error() }
func (e retryableError) Unwrap() error { return e.err }

// run is the state of one request on this entry node.
type run struct {
	dispatcher *Dispatcher
	// callerCtx ends when the caller hangs up.
	callerCtx context.Context
	response  *responseWriter
	request   *Request
	claim     *claim
	result    Result

	permit *schema.Permit
	// targetCtx limits the current dispatch. If the request may be cut short,
	// it is also cancelled when the caller hangs up.
	targetCtx context.Context
	// permitReceivedAt is when the permit was received; sentAt is when the
	// request was sent.
	permitReceivedAt time.Time
	sentAt           time.Time
	timing           tokenTiming
}

// execute acquires permits until the request has been sent, and delivers the
// response.
func (r *run) execute() error {
	if err := r.admit(); err != nil {
		return err
	}
	for {
		if err := r.acquirePermit(); err != nil {
			return err
		}
		var err error
		if r.request.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN {
			err = r.runPlain()
		} else {
			err = r.runChat()
		}
		r.returnPermit()
		var retryable retryableError
		if !errors.As(err, &retryable) {
			return err
		}
		if r.result.Permits >= maxPermits {
			return noTargetError(retryable.err)
		}
	}
}

func (r *run) admit() error {
	if r.request.Admit == nil {
		return nil
	}
	if err := r.request.Admit(); err != nil {
		e := *fault.From(err)
		return e.WithOutcomeNotRun()
	}
	return nil
}

func noTargetError(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_NO_TARGET, err,
		"no target took the request", "retry; if it lasts, check the targets with primrosectl status").
		WithOutcomeNotRun().WithRetryAfter(retryDelay)
}

// acquirePermit waits for a permit until the request's deadline.
func (r *run) acquirePermit() error {
	ctx, cancel := context.WithDeadline(r.callerCtx, r.request.Arrived.Add(r.request.Deadline))
	defer cancel()
	permit, err := r.dispatcher.options.Permits.Acquire(ctx, r.permitRequest())
	if err != nil {
		return r.permitError(ctx, err)
	}
	r.permit = permit
	r.permitReceivedAt = time.Now()
	r.result.Permits++
	r.result.PermitWait = r.permitReceivedAt.Sub(r.request.Arrived)
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

// permitError returns the error of a request that got no permit. Nothing of it
// was sent, so its outcome is known.
func (r *run) permitError(ctx context.Context, err error) error {
	if r.callerCtx.Err() != nil {
		r.result.CallerDisconnected = true
		return callerGoneError().WithOutcomeNotRun()
	}
	if ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		return fault.New(schema.ErrorKind_ERROR_KIND_DEADLINE,
			"no target became free before the deadline", "retry, or allow more time with X-Deadline-Ms").
			WithOutcomeNotRun().WithRetryAfter(retryDelay)
	}
	e := *fault.From(err)
	return e.WithOutcomeNotRun()
}

func callerGoneError() *fault.Error {
	return fault.New(schema.ErrorKind_ERROR_KIND_TIMEOUT, "the caller hung up", "send the request again")
}

// permitExpiry returns the time at which the permit expires, or the zero time if
// the permit has no time limit.
func (r *run) permitExpiry() time.Time {
	if r.permit.GetValidFor() == nil {
		return time.Time{}
	}
	return r.permitReceivedAt.Add(r.permit.GetValidFor().AsDuration())
}

// sendWithRetry calls attempt up to maxSendsPerPermit times, as long as the
// connection fails before anything was sent.
func (r *run) sendWithRetry(attempt func() error) error {
	var err error
	for range maxSendsPerPermit {
		err = attempt()
		var sendErr *engine.SendError
		if !errors.As(err, &sendErr) || sendErr.Sent || errors.Is(err, engine.ErrExpired) || r.targetCtx.Err() != nil {
			break
		}
	}
	return r.classifyError(err)
}

// classifyError converts a target's failure before its response into the error
// to act on, and records the result of the permit.
func (r *run) classifyError(err error) error {
	if err == nil {
		r.result.Dispatched = true
		return nil
	}
	var sendErr *engine.SendError
	if errors.As(err, &sendErr) {
		return r.classifySendError(sendErr)
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		return r.classifyStatusError(status)
	}
	r.result.Dispatched = true
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	e := *fault.From(err)
	return e.WithOutcomeUnknown()
}

func (r *run) classifySendError(err *engine.SendError) error {
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	if err.Sent {
		r.result.Dispatched = true
		if r.cancelledByCaller() {
			r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
			return callerGoneError().WithOutcomeUnknown()
		}
		r.result.PermitResult = targetFailureResult(err)
		return targetFailedError(err, "the target broke off before it answered")
	}
	if r.cancelledByCaller() {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_UNUSED
		return callerGoneError().WithOutcomeNotRun()
	}
	if errors.Is(err, engine.ErrExpired) {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_UNUSED
	}
	return retryableError{err}
}

func (r *run) classifyStatusError(err *engine.StatusError) error {
	if err.NotStarted {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_REFUSED
		if isBadRequest(err.Status) {
			return badRequestError(err).WithOutcomeNotRun()
		}
		return retryableError{err}
	}
	r.result.Dispatched = true
	if isBadRequest(err.Status) {
		r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_COMPLETED
		return badRequestError(err).WithOutcomeUnknown()
	}
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	return targetFailedError(err, "the target failed")
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

// badRequestError returns an error whose cause is the target's message.
func badRequestError(err *engine.StatusError) *fault.Error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, errors.New(strings.TrimSpace(err.Message)),
		"the target refused the request as malformed", "correct the request's fields")
}

func targetFailedError(err error, message string) *fault.Error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_TARGET_FAILED, err, message,
		"the request may have run: check its effect, or send it again with its Idempotency-Key to learn the outcome").WithOutcomeUnknown()
}

// cancelledByCaller reports, and records in the result, whether the work was
// cancelled because the caller hung up.
func (r *run) cancelledByCaller() bool {
	if errors.Is(r.targetCtx.Err(), context.Canceled) {
		r.result.CallerDisconnected = true
		return true
	}
	return false
}

func (r *run) returnPermit() {
	if r.permit == nil {
		return
	}
	permitReturn := &schema.PermitReturn{
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
		permitReturn.PromptTokens = r.result.PromptTokens
		permitReturn.CachedTokens = r.result.CachedTokens
		permitReturn.OutputTokens = r.result.OutputTokens
		permitReturn.Total = durationpb.New(time.Since(r.sentAt))
		if r.timing.started() {
			permitReturn.FirstToken = durationpb.New(r.timing.first.Sub(r.sentAt))
			permitReturn.TokenGap = durationpb.New(r.timing.percentile(gapPercentile))
		}
	}
	r.dispatcher.options.Permits.Return(permitReturn)
	r.dispatcher.options.Meter.CountPermit(permitReturn.GetResult())
}

// finish completes the result and reports the end of the claim.
func (r *run) finish(err error) (Result, error) {
	r.result.Total = time.Since(r.request.Arrived)
	r.result.Status = r.response.status
	r.result.Gaps = r.timing.gaps
	r.result.CallerDisconnected = r.result.CallerDisconnected || r.response.callerGone
	if r.timing.started() {
		r.result.FirstToken = r.timing.first.Sub(r.request.Arrived)
	}
	r.result.Delivered = err == nil && !r.result.CallerDisconnected && countsAsGoodput(r.response.status)
	r.result.Truncated = err != nil && r.response.status != 0
	if r.claim != nil {
		r.claim.reportEnd(r.result.Dispatched, r.outcome(err))
	}
	return r.result, err
}

// countsAsGoodput reports whether a response with this status counts as goodput.
func countsAsGoodput(status int) bool {
	return status < http.StatusInternalServerError
}

// outcome returns the response that repeated requests get. After an error it is
// the problem body, so that the outcome stays unknown for every later send.
func (r *run) outcome(err error) *schema.StoredOutcome {
	if err == nil {
		return r.response.storedOutcome()
	}
	details := problem.New(err, r.request.ID)
	return &schema.StoredOutcome{
		Status:      uint32(details.Status),
		ContentType: problem.ContentType,
		Body:        details.Body(),
	}
}
