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

// Headers of answers to callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderStreamTicket   = "X-Stream-Ticket"
	HeaderReplayed       = "Idempotency-Replayed"
)

const (
	eventStream     = "text/event-stream"
	contentJSON     = "application/json"
	errorEvent      = "event: error\ndata: "
	doneEvent       = "data: [DONE]\n\n"
	cancelTimeout   = 2 * time.Second
	headerWait      = 2 * time.Second
	maxEventBuffers = 4 << 10
)

// runChat sends the request to an engine and delivers the stream.
func (r *run) runChat() error {
	cancel := r.startWork()
	defer cancel()
	hangup := r.watchCaller(cancel)
	defer hangup.stop()
	var stream *engine.Stream
	err := r.send(func() error {
		var err error
		r.sent = time.Now()
		stream, err = r.dispatcher.options.Engine.StartChat(r.work, engine.ChatCall{
			Address:   r.permit.GetAddress(),
			RequestID: r.request.ID,
			Body:      r.request.Body,
			NotAfter:  r.notAfter(),
		})
		return err
	})
	if err != nil {
		return err
	}
	hangup.opened()
	r.result.StreamID = stream.ID
	if r.claim != nil {
		r.claim.dispatched(r.permit, stream.ID)
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

// startWork bounds the work at the target. It outlives the caller, so that a
// claimed request runs to its end for the caller that comes back.
func (r *run) startWork() context.CancelFunc {
	ctx := context.WithoutCancel(r.caller)
	var cancel context.CancelFunc
	r.work, cancel = context.WithTimeout(ctx, r.dispatcher.options.MaxStreamDuration)
	return cancel
}

// detached reports whether the work goes on after the caller hung up.
func (r *run) detached() bool {
	return r.claim != nil
}

func (r *run) newDelivery(address, target string, stream *engine.Stream) *delivery {
	return &delivery{
		run:     r,
		address: address,
		target:  target,
		stream:  stream,
		id:      stream.ID,
		buffer:  *bufferPool.Get().(*[]byte),
	}
}

// startAnswer sends the header of a streamed answer.
func (d *delivery) startAnswer() {
	r := d.run
	if !r.request.Stream || r.answer.status != 0 {
		return
	}
	header := d.header(eventStream)
	header["Cache-Control"] = []string{"no-store"}
	r.answer.start(http.StatusOK, header)
	r.answer.flush()
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
		StreamId:  d.id,
		Team:      r.request.Team,
		EntryNode: r.dispatcher.options.Node,
	}
	if text, err := r.dispatcher.options.Signer.SignTicket(ticket); err == nil && d.id != "" {
		header[HeaderStreamTicket] = []string{text}
	}
	return header
}

// endAnswer completes the answer after the stream's end.
func (d *delivery) endAnswer() error {
	r := d.run
	if r.request.Stream {
		r.answer.write([]byte(doneEvent))
		r.answer.flush()
		return nil
	}
	body, err := d.assembler.JSON()
	if err != nil {
		return targetFailed(err, "the target's answer cannot be encoded")
	}
	r.answer.start(http.StatusOK, d.header(contentJSON))
	r.answer.write(body)
	return nil
}

// failAnswer tells a caller that already reads a stream how it ended. The
// missing end marker shows that the answer is not whole.
func (d *delivery) failAnswer(err error) {
	r := d.run
	if r.answer.status == 0 || !r.request.Stream {
		return
	}
	_ = d.flushBuffer()
	r.answer.write([]byte(errorEvent))
	r.answer.write(problem.New(err, r.request.ID).Body())
	r.answer.write([]byte("\n\n"))
	r.answer.flush()
}

// cancel ends the stream at the engine in the background.
func (d *delivery) cancel() {
	if d.id == "" {
		return
	}
	dispatcher := d.run.dispatcher
	dispatcher.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An engine that cannot be told ends streams without a reader itself.
		_ = dispatcher.options.Engine.CancelChat(ctx, d.address, d.id)
	})
}

func streamEndedEarly() *fault.Error {
	return fault.New(schema.ErrorKind_ERROR_KIND_TARGET_FAILED,
		"the stream was cancelled at the target", "send the request again under another key").Unknown()
}
