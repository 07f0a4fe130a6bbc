package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/primrosemoor/primrosemoor/balance"
)

const (
	// wholeBytes of an answer are held back until it is known to be complete;
	// the rest of a larger one is passed on as it comes.
	wholeBytes = 256 << 10
	// readChunk is read of a stream at once.
	readChunk = 8 << 10
)

// spoiled reports whether an answer cannot be the target's own.
func spoiled(resp *http.Response, a Answer) bool {
	return isSuccess(resp.StatusCode) && !a.Signed || resp.Header.Get("Content-Encoding") != ""
}

// relayWhole passes on an answer with a length, or one that ends with its
// connection. It reports whether the request has ended.
func (x *exchange) relayWhole(ctx context.Context, grant *balance.Grant, resp *http.Response, a Answer) bool {
	var head bytes.Buffer
	_, err := io.CopyN(&head, resp.Body, wholeBytes)
	whole := errors.Is(err, io.EOF)
	if spoiled(resp, a) || err != nil && !whole {
		return x.brokenOff(ctx, grant)
	}
	if x.started || resp.StatusCode >= http.StatusInternalServerError && x.mayRepeat() {
		grant.Done(balance.Failed)
		return x.started && x.end(ctx, resp.StatusCode)
	}
	x.copyHead(resp)
	if whole {
		x.writer.Header().Set("Content-Length", strconv.Itoa(head.Len()))
	} else if resp.ContentLength >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.writer.WriteHeader(resp.StatusCode)
	_, err = x.writer.Write(head.Bytes())
	if err == nil && !whole {
		_, err = io.Copy(x.writer, resp.Body)
	}
	if err != nil {
		grant.Done(balance.Abandoned)
		x.abort("answer_cut", resp.StatusCode)
	}
	grant.Done(balance.Answered)
	x.log("answered", resp.StatusCode)
	return true
}

// brokenOff handles an answer that broke off before any of it was passed on.
func (x *exchange) brokenOff(ctx context.Context, grant *balance.Grant) bool {
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		x.giveUp(ctx, ctx.Err())
		return true
	}
	return x.lost(grant, "answer_broken")
}

// abort ends the caller's connection so that a part of an answer does not look
// like the whole.
func (x *exchange) abort(cause string, status int) {
	x.log(cause, status)
	panic(http.ErrAbortHandler)
}

func (x *exchange) copyHead(resp *http.Response) {
	h := x.writer.Header()
	closing := h.Get("Connection")
	maps.Copy(h, resp.Header)
	dropHopByHop(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
}
