package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
)

// HTTP response headers sent to callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderStreamTicket   = "X-Stream-Ticket"
	HeaderReplayed       = "Idempotency-Replayed"
)

const (
	contentEventStream = "text/event-stream"
	contentJSON        = "application/json"
	errorEventPrefix   = "event: error\ndata: "
	doneEvent          = "data: [DONE]\n\n"
	cancelTimeout      = 2 * time.Second
	streamIDWait       = 2 * time.Second
	maxBufferedBytes   = 4 << 10
)

// runChat sends the request to an engine and delivers the stream.
func (r *run) runChat() error {
	cancel := r.startTargetContext()
	defer cancel()
	watcher := r.watchDisconnect(cancel)
	defer watcher.stop()
	var stream *engine.Stream
	err := r.sendWithRetry(func() error {
		var err error
		r.sentAt = time.Now()
		stream, err = r.dispatcher.options.Engine.StartChat(r.targetCtx, engine.ChatCall{
			Address:   r.permit.GetAddress(),
			RequestID: r.request.ID,
			Body:      r.request.Body,
			NotAfter:  r.permitExpiry(),
		})
		return err
	})
	if err != nil {
		return err
	}
	watcher.streamOpened()
	r.result.StreamID = stream.ID
	if r.claim != nil {
		r.claim.reportRunning(r.permit, stream.ID)
	}
	d := r.newDelivery(r.permit.GetAddress(), r.permit.GetTarget(), stream)
	r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_COMPLETED
	if err := d.deliver(); err != nil {
		r.result.PermitResult = d.permitResult
		d.cancel()
		return err
	}
	return nil
}

// startTargetContext sets targetCtx, which limits the duration of the work at the
// target. It is not cancelled when the caller hangs up, so that a claimed
// request runs to completion and a caller that retries gets its result.
func (r *run) startTargetContext() context.CancelFunc {
	ctx := context.WithoutCancel(r.callerCtx)
	var cancel context.CancelFunc
	r.targetCtx, cancel = context.WithTimeout(ctx, r.dispatcher.options.MaxStreamDuration)
	return cancel
}

// detached reports whether the work continues after the caller hangs up.
func (r *run) detached() bool {
	return r.claim != nil
}

func (r *run) newDelivery(address, target string, stream *engine.Stream) *delivery {
	return &delivery{
		run:      r,
		address:  address,
		target:   target,
		stream:   stream,
		streamID: stream.ID,
		buffer:   *bufferPool.Get().(*[]byte),
	}
}

// startResponse sends the header of a streamed response.
func (d *delivery) startResponse() {
	r := d.run
	if !r.request.Stream || r.response.status != 0 {
		return
	}
	header := d.header(contentEventStream)
	header["Cache-Control"] = []string{"no-store"}
	r.response.start(http.StatusOK, header)
	r.response.flush()
}

func (d *delivery) header(contentType string) http.Header {
	r := d.run
	header := http.Header{
		"Content-Type":       {contentType},
		HeaderIdempotencyKey: {r.request.ID},
	}
	ticket := &schema.StreamTicket{
		RequestId: r.request.ID,
		Target:    d.target,
		Address:   d.address,
		StreamId:  d.streamID,
		Team:      r.request.Team,
		EntryNode: r.dispatcher.options.Node,
	}
	if encoded, err := r.dispatcher.options.Signer.SignTicket(ticket); err == nil && d.streamID != "" {
		header[HeaderStreamTicket] = []string{encoded}
	}
	return header
}

// finishResponse completes the response after the end of the stream.
func (d *delivery) finishResponse() error {
	r := d.run
	if r.request.Stream {
		r.response.write([]byte(doneEvent))
		r.response.flush()
		return nil
	}
	body, err := d.assembler.JSON()
	if err != nil {
		return targetFailedError(err, "the target's answer cannot be encoded")
	}
	r.response.start(http.StatusOK, d.header(contentJSON))
	r.response.write(body)
	return nil
}

// sendErrorEvent reports an error to a caller that is already reading a stream.
// The missing end marker shows that the response is incomplete.
func (d *delivery) sendErrorEvent(err error) {
	r := d.run
	if r.response.status == 0 || !r.request.Stream {
		return
	}
	_ = d.flushBuffer()
	r.response.write([]byte(errorEventPrefix))
	r.response.write(problem.New(err, r.request.ID).Body())
	r.response.write([]byte("\n\n"))
	r.response.flush()
}

// cancel cancels the stream at the engine in the background.
func (d *delivery) cancel() {
	if d.streamID == "" {
		return
	}
	dispatcher := d.run.dispatcher
	dispatcher.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An engine that cannot be reached ends streams without a reader itself.
		_ = dispatcher.options.Engine.CancelChat(ctx, d.address, d.streamID)
	})
}

func streamCancelledError() *fault.Error {
	return fault.New(schema.ErrorKind_ERROR_KIND_TARGET_FAILED,
		"the stream was cancelled at the target", "send the request again under another key").WithOutcomeUnknown()
}
