package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

const (
	// maxBufferedBytes of a response are buffered until it is known to be complete;
	// the remainder of a longer one is relayed as it arrives.
	maxBufferedBytes = 256 << 10
	// streamReadBytes is the size of one read from a stream.
	streamReadBytes = 8 << 10
)

// isEnd reports whether a read has met the end of an answer. An error that wraps io.EOF is a
// failed read.
func isEnd(err error) bool { return err == io.EOF }

// isTampered reports whether a response cannot be the target's own: a success
// without a signature, or an encoded body.
func isTampered(resp *http.Response, info ResponseInfo) bool {
	return isSuccess(resp.StatusCode) && !info.Signed || resp.Header.Get("Content-Encoding") != ""
}

// relayWhole relays a response that is not a stream of events. It first buffers up
// to maxBufferedBytes, or what may be held back, so that the request can be retried if
// they are truncated.
// It reports whether the request has ended.
func (x *exchange) relayWhole(ctx context.Context, grant *balance.Grant, resp *http.Response, info ResponseInfo) bool {
	held := &holding{all: x.gateway.held}
	defer held.release()
	buffered, err := held.readHeld(resp.Body, maxBufferedBytes)
	complete := isEnd(err)
	if isTampered(resp, info) || err != nil && !complete {
		return x.handleBrokenResponse(ctx, grant, err)
	}
	if !complete && !x.standby.pause() {
		return x.handleBrokenResponse(ctx, grant, x.standby.cause())
	}
	x.recordSurvival()
	if isSuccess(resp.StatusCode) {
		x.recordFirstResponse(time.Now())
	}
	if x.headersSent || resp.StatusCode >= http.StatusInternalServerError && (x.takeOver() || x.mayRetry()) {
		grant.Done(balance.Failed)
		return x.headersSent && x.endCancelled(ctx, resp.StatusCode)
	}
	x.endStandby()
	if x.possibleRuns > 1 && promisesNotRun(resp.StatusCode) {
		// The target speaks for itself; another one may have run the request.
		grant.Done(resultOf(resp.StatusCode))
		return x.endWithError(errUnknownEffect("refused_after_run"))
	}
	x.copyHeaders(resp)
	if complete && x.request.Method != http.MethodHead {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	} else if resp.ContentLength >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.writer.WriteHeader(resp.StatusCode)
	_, err = x.writer.Write(buffered)
	held.release()
	if err == nil && !complete {
		_, err = io.Copy(x.writer, resp.Body)
	}
	if err != nil {
		grant.Done(balance.Abandoned)
		x.abort("answer_cut", resp.StatusCode, err)
	}
	grant.Done(resultOf(resp.StatusCode))
	x.logEnded("answered", resp.StatusCode)
	return true
}

// promisesNotRun reports whether a status tells the caller that the request was not run and
// never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// resultOf returns what a complete response says of its target. A timeout at the
// target is no failure of it, since the request's time limit may have been short.
func resultOf(status int) balance.Result {
	switch {
	case status == http.StatusGatewayTimeout:
		return balance.Abandoned
	case status >= http.StatusInternalServerError:
		return balance.Failed
	default:
		return balance.Answered
	}
}

// handleBrokenResponse handles a response that failed before any of it was
// relayed. It reports whether the request has ended.
func (x *exchange) handleBrokenResponse(ctx context.Context, grant *balance.Grant, err error) bool {
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		x.endUnanswered(ctx, ctx.Err())
		return true
	}
	return x.handleBrokenAttempt(ctx, grant, "answer_broken", err)
}

// abort closes the caller's connection so that a truncated response does not look
// complete. The error is why the response was truncated.
func (x *exchange) abort(cause string, status int, err error) {
	x.logAborted(cause, status, err)
	panic(http.ErrAbortHandler)
}

// copyHeaders copies the end-to-end headers of a target's response.
func (x *exchange) copyHeaders(resp *http.Response) {
	h := x.writer.Header()
	maps.Copy(h, resp.Header)
	dropHopByHop(h)
	x.announceClose()
}

// announceClose tells the caller that its connection is closed after the response, if this
// node stops.
func (x *exchange) announceClose() {
	if x.gateway.closing.Load() {
		x.writer.Header().Set("Connection", "close")
	}
}
