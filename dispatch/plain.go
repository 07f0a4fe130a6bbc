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
	// maxBufferedBody is the size in bytes up to which a plain response of known
	// length is read completely before its header is sent, so that a broken
	// connection results in an error response.
	maxBufferedBody = 256 << 10
	copyBufferSize  = 32 << 10
)

// runPlain sends the request to a plain service and delivers its response. The
// work at the target continues when the caller hangs up, because it cannot be
// cancelled there. Only an idempotent request without a key is abandoned.
func (r *run) runPlain() error {
	cancel := r.startTargetContext()
	defer cancel()
	if r.request.Idempotent && !r.detached() {
		defer context.AfterFunc(r.callerCtx, cancel)()
	}
	if r.claim != nil {
		r.claim.reportRunning(r.permit, "")
	}
	var resp *http.Response
	err := r.sendWithRetry(func() error {
		var err error
		r.sentAt = time.Now()
		resp, err = r.dispatcher.options.Engine.CallPlain(r.targetCtx, engine.PlainCall{
			Address:   r.permit.GetAddress(),
			RequestID: r.request.ID,
			Method:    r.request.Method,
			Path:      r.request.Path,
			Header:    r.request.Header,
			Body:      r.request.Body,
			NotAfter:  r.permitExpiry(),
		})
		return err
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.timing.recordToken(time.Now())
	r.result.PermitResult = plainPermitResult(resp.StatusCode)
	if err := r.deliverPlain(resp); err != nil {
		r.result.PermitResult = targetFailureResult(err)
		if r.cancelledByCaller() {
			r.result.PermitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
		}
		return targetFailedError(err, "the target broke off within its answer")
	}
	return nil
}

func plainPermitResult(status int) schema.PermitResult {
	if status >= http.StatusInternalServerError {
		return schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
	}
	return schema.PermitResult_PERMIT_RESULT_COMPLETED
}

func (r *run) deliverPlain(resp *http.Response) error {
	header := engine.EndToEnd(resp.Header)
	header.Set(HeaderIdempotencyKey, r.request.ID)
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedBody {
		return r.streamPlain(resp, header)
	}
	if r.request.Method == http.MethodHead {
		r.response.start(resp.StatusCode, header)
		return nil
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return err
	}
	r.response.start(resp.StatusCode, header)
	r.response.write(body)
	return nil
}

// streamPlain forwards a response of unknown length or above maxBufferedBody as
// it arrives.
func (r *run) streamPlain(resp *http.Response, header http.Header) error {
	r.response.start(resp.StatusCode, header)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			r.response.write(buffer[:n])
			r.response.flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
