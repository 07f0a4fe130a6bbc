package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// attach reads, from its start, the stream of a request that was already started
// with the same key.
func (d *Dispatcher) attach(ctx context.Context, w http.ResponseWriter, r *Request, reply *schema.ClaimReply) (Result, error) {
	if !hasStream(reply) {
		return d.fail(r, fault.New(schema.ErrorKind_ERROR_KIND_IN_PROGRESS,
			"a request with this key is running", "send it again later with the same key").
			WithOutcomeUnknown().WithRetryAfter(inProgressRetryDelay))
	}
	run := d.newRun(ctx, w, r, nil)
	run.result.Source = SourceAttached
	err := run.follow(reply.GetTarget(), reply.GetAddress(), reply.GetStreamId(), 0)
	return run.finish(err)
}

func hasStream(reply *schema.ClaimReply) bool {
	return reply.GetStreamId() != "" && reply.GetAddress() != ""
}

// Resume continues the stream identified by a ticket, after the event with index
// after. It serves callers whose entry node died.
func (d *Dispatcher) Resume(ctx context.Context, w http.ResponseWriter, team, ticketText string, after uint64) (Result, error) {
	arrived := time.Now()
	ticket, err := d.options.Signer.VerifyTicket(ticketText, team)
	if err != nil {
		return Result{Source: SourceResumed, Total: time.Since(arrived)}, err
	}
	r := &Request{ID: ticket.GetRequestId(), Team: team, Stream: true, IncludeUsage: true, Arrived: arrived}
	run := d.newRun(ctx, w, r, nil)
	run.result.Source = SourceResumed
	err = run.follow(ticket.GetTarget(), ticket.GetAddress(), ticket.GetStreamId(), after)
	return run.finish(err)
}

// follow delivers a stream that was started by another request. It holds no
// permit and does not cancel the stream at the engine when the caller hangs up:
// the request that started it may still be reading it, and an engine ends
// streams without a reader itself.
func (r *run) follow(target, address, streamID string, after uint64) error {
	cancel := r.startTargetContext()
	defer cancel()
	defer context.AfterFunc(r.callerCtx, cancel)()
	r.result.Target = target
	r.result.StreamID = streamID
	stream, err := r.dispatcher.options.Engine.ResumeChat(r.targetCtx, address, streamID, after)
	if err != nil {
		return targetFailedError(err, "the target does not resume the stream")
	}
	d := r.newDelivery(address, target, stream)
	d.lastEventID = after
	return d.deliver()
}
