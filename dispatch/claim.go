package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const inProgressRetryDelay = time.Second

// serveClaimed claims the request id in the ledger, and then runs the request,
// attaches to its stream, or replays its outcome.
func (d *Dispatcher) serveClaimed(ctx context.Context, w http.ResponseWriter, r *Request) (Result, error) {
	attempt := uuid.NewString()
	reply, err := d.options.Claims.Claim(ctx, &schema.ClaimRequest{
		RequestId:  r.ID,
		Team:       r.Team,
		Digest:     r.Digest,
		Idempotent: r.Idempotent,
		EntryNode:  d.options.Node,
		Attempt:    attempt,
	})
	if err != nil {
		d.abandonClaim(r, attempt, err)
		return d.fail(r, claimError(err))
	}
	d.options.Meter.CountClaim(reply.GetState())
	switch reply.GetState() {
	case schema.ClaimState_CLAIM_STATE_NEW:
		run := d.newRun(ctx, w, r, d.newClaim(r, attempt))
		err := run.execute()
		return run.finish(err)
	case schema.ClaimState_CLAIM_STATE_RUNNING:
		return d.attach(ctx, w, r, reply)
	case schema.ClaimState_CLAIM_STATE_DONE:
		return d.replay(w, r, reply.GetOutcome())
	default:
		return d.recoverStream(ctx, w, r, reply)
	}
}

// abandonClaim releases a claim that may have been made although the call
// returned an error. Otherwise the key would stay claimed by a request that
// never ran.
func (d *Dispatcher) abandonClaim(r *Request, attempt string, err error) {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_BAD_REQUEST, schema.ErrorKind_ERROR_KIND_KEY_REUSED,
		schema.ErrorKind_ERROR_KIND_KEY_EXPIRED:
		return
	}
	d.newClaim(r, attempt).enqueueEnd(false, nil)
}

// recoverStream reads the stream of a request whose entry node is gone, if the
// ledger has recorded the stream: the engine may still be running the request
// or may have kept its response.
func (d *Dispatcher) recoverStream(ctx context.Context, w http.ResponseWriter, r *Request, reply *schema.ClaimReply) (Result, error) {
	if hasStream(reply) {
		return d.attach(ctx, w, r, reply)
	}
	return d.fail(r, fault.New(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT,
		"the entry that ran this key is gone, the request may have run",
		"check the request's effect; use a new key only if it did not run").WithOutcomeUnknown())
}

// claimError sets the outcome of a request whose claim call failed. This send
// was not dispatched, but an earlier send with the same key may have run and
// the ledger could not tell, so the outcome is unknown unless the error applies
// to every send of the request.
func claimError(err error) error {
	e := *fault.From(err)
	switch e.Kind {
	case schema.ErrorKind_ERROR_KIND_BAD_REQUEST, schema.ErrorKind_ERROR_KIND_KEY_REUSED:
		return e.WithOutcomeNotRun()
	default:
		return e.WithOutcomeUnknown()
	}
}

func (d *Dispatcher) fail(r *Request, err error) (Result, error) {
	return Result{Source: SourceStored, Total: time.Since(r.Arrived), PromptTokens: r.PromptTokens}, err
}

// replay sends a stored outcome.
func (d *Dispatcher) replay(w http.ResponseWriter, r *Request, outcome *schema.StoredOutcome) (Result, error) {
	if outcome.GetStatus() == 0 {
		return d.fail(r, fault.New(schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED,
			"the request ran to its end, and its answer is not kept",
			"look at the request's effect; use a new key for a new request").WithOutcomeUnknown())
	}
	response := newResponseWriter(w, false, 0)
	response.start(int(outcome.GetStatus()), http.Header{
		"Content-Type":       {outcome.GetContentType()},
		HeaderIdempotencyKey: {r.ID},
		HeaderReplayed:       {"true"},
	})
	response.write(outcome.GetBody())
	result := Result{
		Source:             SourceStored,
		Status:             response.status,
		Delivered:          !response.callerGone && countsAsGoodput(response.status),
		CallerDisconnected: response.callerGone,
		Total:              time.Since(r.Arrived),
	}
	return result, nil
}
