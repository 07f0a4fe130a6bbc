package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxWholeBody is the size up to which a plain answer of known length is
	// read whole before its header is sent, so that a break gives an error.
	maxWholeBody  = 256 << 10
	copyBufferLen = 32 << 10
)

// runPlain sends the request to a plain service and delivers its answer. The
// work at the target goes on when the caller hangs up, because it cannot be
// cancelled there; only an idempotent request without a key is given up.
func (r *run) runPlain() error {
	cancel := r.startWork()
	defer cancel()
	if r.request.Idempotent && !r.detached() {
		defer context.AfterFunc(r.caller, cancel)()
	}
	if r.claim != nil {
		r.claim.dispatched(r.permit, "")
	}
	var resp *http.Response
	err := r.send(func() error {
		var err error
		r.sent = time.Now()
		resp, err = r.dispatcher.options.Engine.CallPlain(r.work, engine.PlainCall{
			Address:   r.permit.GetAddress(),
			RequestID: r.request.ID,
			Method:    r.request.Method,
			Path:      r.request.Path,
			Header:    r.request.Header,
			Body:      r.request.Body,
			NotAfter:  r.notAfter(),
		})
		return err
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.timing.token(time.Now())
	r.result.PermitResult = plainResult(resp.StatusCode)
	if err := r.deliverPlain(resp); err != nil {
		r.result.PermitResult = failureResult(err)
		if r.cancelled() {
			r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
		}
		return targetFailed(err, "the target broke off within its answer")
	}
	return nil
}

func plainResult(status int) schema.PermitResult {
	if status >= http.StatusInternalServerError {
		return schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	}
	return schema.PermitResult_PERMIT_RESULT_COMPLETED
}

func (r *run) deliverPlain(resp *http.Response) error {
	header := engine.EndToEnd(resp.Header)
	header.Set(HeaderIdempotencyKey, r.request.ID)
	if resp.ContentLength < 0 || resp.ContentLength > maxWholeBody {
		return r.copyPlain(resp, header)
	}
	if r.request.Method == http.MethodHead {
		r.answer.start(resp.StatusCode, header)
		return nil
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return err
	}
	r.answer.start(resp.StatusCode, header)
	r.answer.write(body)
	return nil
}

// copyPlain passes a long answer on as it comes.
func (r *run) copyPlain(resp *http.Response, header http.Header) error {
	r.answer.start(resp.StatusCode, header)
	buffer := make([]byte, copyBufferLen)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			r.answer.write(buffer[:n])
			r.answer.flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
