package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	// wholeBytes of an answer are held back until it is known to be complete;
	// the rest of a larger one is passed on as it comes.
	wholeBytes = 256 << 10
	// eventBytes bounds one event of a stream.
	eventBytes = 1 << 20
	readChunk  = 8 << 10
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
	if resp.StatusCode >= http.StatusInternalServerError && x.mayRepeat() {
		grant.Done(balance.Answered)
		return false
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
	grant.Done(balance.Broken)
	if x.mayRepeat() {
		return false
	}
	return x.end1(errUnknown("answer_broken"))
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

// relayStream passes on events as they arrive, each one whole.
func (x *exchange) relayStream(ctx context.Context, grant *balance.Grant, resp *http.Response, a Answer) bool {
	if spoiled(resp, a) {
		return x.brokenOff(ctx, grant)
	}
	control := http.NewResponseController(x.writer)
	events := eventSplitter{}
	chunk := make([]byte, readChunk)
	started := false
	for {
		n, err := resp.Body.Read(chunk)
		ready := events.add(chunk[:n])
		if errors.Is(err, io.EOF) {
			ready = append(ready, events.rest()...)
		}
		if len(ready) > 0 {
			if !started {
				started = true
				x.copyHead(resp)
				x.writer.WriteHeader(resp.StatusCode)
			}
			x.note(grant, time.Now(), countEvents(ready))
			if _, werr := x.writer.Write(ready); werr != nil || control.Flush() != nil {
				grant.Done(balance.Abandoned)
				x.abort("caller_left", resp.StatusCode)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if !started {
				x.copyHead(resp)
				x.writer.WriteHeader(resp.StatusCode)
			}
			grant.Done(balance.Answered)
			x.log("answered", resp.StatusCode)
			return true
		case err != nil && !started:
			return x.brokenOff(ctx, grant)
		case err != nil:
			x.streamBroke(ctx, grant, resp, err)
		}
	}
}

// countEvents counts the whole events in a piece of a stream.
func countEvents(p []byte) int {
	return max(1, bytes.Count(p, []byte("\n\n"))+bytes.Count(p, []byte("\r\n\r\n")))
}

// note records the arrival of events.
func (x *exchange) note(grant *balance.Grant, now time.Time, events int) {
	for range events {
		grant.Event(now)
	}
	if x.first.IsZero() {
		x.first = now
	} else {
		x.longest = max(x.longest, now.Sub(x.last))
	}
	x.last = now
	x.events += events
}

func (x *exchange) streamBroke(ctx context.Context, grant *balance.Grant, resp *http.Response, err error) {
	cause := "stream_broken"
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		cause = "stream_abandoned"
	} else {
		grant.Done(balance.Broken)
	}
	if errors.Is(err, upstream.ErrCut) {
		x.gateway.Logger.Warn().Str("event", cause).Str("request", x.call.ID).Err(err).Msg("")
	}
	x.abort(cause, resp.StatusCode)
}

// eventSplitter cuts a stream at the ends of its events.
type eventSplitter struct {
	pending []byte
}

// add takes in bytes and returns the whole events that they complete. What it
// returns is valid until the next call.
func (s *eventSplitter) add(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if crlf := bytes.LastIndex(s.pending, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		end = crlf + 2
	}
	if end < 0 {
		return nil
	}
	ready := s.pending[:end+2]
	s.pending = append([]byte(nil), s.pending[end+2:]...)
	return ready
}

// rest returns what is left at the end of the stream.
func (s *eventSplitter) rest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}
