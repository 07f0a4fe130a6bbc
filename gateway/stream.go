package gateway

import (
	"bytes"
	"context"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const eventStreamType = "text/event-stream"

// isEventStream reports whether a response is a stream of events, as it is if it
// states no type.
func isEventStream(h http.Header) bool {
	value := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err != nil || mediaType == eventStreamType
}

// relayStream relays events as they arrive, each one whole. It reports whether the
// request has ended; if not, the stream is to be resumed at another target.
func (x *exchange) relayStream(ctx context.Context, grant *balance.Grant, resp *http.Response, info ResponseInfo) bool {
	if isTampered(resp, info) {
		return x.handleBrokenResponse(ctx, grant, nil)
	}
	splitter := eventSplitter{held: &holding{all: x.gateway.held}}
	defer splitter.held.release()
	chunk := make([]byte, streamReadBytes)
	for {
		n, err := resp.Body.Read(chunk)
		ended := isEnd(err)
		ready, eventErr := splitter.add(chunk[:n])
		if eventErr == nil && ended && splitter.insideEvent() {
			eventErr = errEventUnfinished
		}
		progress := len(ready) > 0
		if progress {
			if !x.standby.pause() {
				return x.handleBrokenStream(ctx, grant, resp, x.standby.cause())
			}
			x.recordEvents(grant, time.Now(), ready)
		}
		ready, gapErr := x.position.filter(ready)
		if ended {
			gapErr = errors.Join(gapErr, x.position.end())
		}
		if eventErr = errors.Join(eventErr, gapErr); eventErr != nil {
			err = errors.Join(eventErr, err)
		}
		if len(ready) > 0 {
			if writeErr := x.writeEvents(grant, resp, ready); writeErr != nil {
				grant.Done(balance.Abandoned)
				x.abort("caller_left", resp.StatusCode, writeErr)
			}
		}
		splitter.settle()
		if progress {
			x.standby.resume(x.lastEventID(), x.version, x.lastEventAt)
		}
		switch {
		case err == nil:
		case eventErr == nil && ended:
			x.endStream(grant, resp)
			return true
		default:
			x.logBrokenStream(grant, len(splitter.pending), err)
			return x.handleBrokenStream(ctx, grant, resp, err)
		}
	}
}

// endStream ends a request whose stream is complete.
func (x *exchange) endStream(grant *balance.Grant, resp *http.Response) {
	x.sendStreamHeaders(resp)
	x.recordSurvival()
	grant.Done(balance.Answered)
	x.logEnded("answered", resp.StatusCode)
}

// writeEvents sends events to the caller. It fails if the caller is no longer connected.
func (x *exchange) writeEvents(grant *balance.Grant, resp *http.Response, events []byte) error {
	if !x.headersSent {
		x.recordOrigin(grant.Target)
	}
	x.sendStreamHeaders(resp)
	began := time.Now()
	defer func() { x.recordWrite(began) }()
	if _, err := x.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.writer).Flush()
}

const (
	// slowWriteTime is the shortest time of a write to a caller that reads slowly. Targets
	// cut a response that stays unread for some seconds.
	slowWriteTime = time.Second
	// slowWriteEffect is the time after such a write in which the end of a stream is taken
	// for that cut: what had arrived before it is relayed within that time.
	slowWriteEffect = time.Second
)

// recordWrite records the end of a write to the caller.
func (x *exchange) recordWrite(began time.Time) {
	if now := time.Now(); now.Sub(began) >= slowWriteTime {
		x.slowWriteEndedAt = now
	}
}

// cutWhileUnread reports whether a target has closed its connection because the caller read
// too slowly.
func (x *exchange) cutWhileUnread(err error) bool {
	return upstream.IsPeerClosed(err) && !x.slowWriteEndedAt.IsZero() && time.Since(x.slowWriteEndedAt) <= slowWriteEffect
}

// sendStreamHeaders sends the headers of the first target's response, once.
func (x *exchange) sendStreamHeaders(resp *http.Response) {
	if x.headersSent {
		return
	}
	x.headersSent = true
	x.copyHeaders(resp)
	x.writer.WriteHeader(resp.StatusCode)
}

// handleBrokenStream handles a stream that ended early. It reports whether the
// request has ended.
func (x *exchange) handleBrokenStream(ctx context.Context, grant *balance.Grant, resp *http.Response, err error) bool {
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		return x.endCancelled(ctx, resp.StatusCode)
	}
	if x.cutWhileUnread(err) {
		grant.Done(balance.Abandoned)
	} else {
		grant.Done(x.brokenResult(err))
		x.recordBroken(ctx, grant.Target, x.attemptEvents, err)
	}
	if x.resumable() && (x.takeOver() || x.mayRetry() && !errors.Is(err, errEventTooLarge)) {
		if x.headersSent {
			x.position.resume()
		}
		return false
	}
	if !x.headersSent {
		return x.endWithError(errUnknownEffect("answer_broken"))
	}
	x.abort("stream_broken", resp.StatusCode, err)
	return true
}

// resumable reports whether another target can go on with the response: none of it was
// sent, or an event with an id.
func (x *exchange) resumable() bool { return !x.headersSent || x.position.hasLastID }

// endCancelled ends a request whose deadline has passed or whose caller has
// disconnected.
func (x *exchange) endCancelled(ctx context.Context, status int) bool {
	if x.headersSent {
		x.abort("stream_abandoned", status, context.Cause(ctx))
	}
	x.endUnanswered(ctx, ctx.Err())
	return true
}

// recordEvents records the arrival of events.
func (x *exchange) recordEvents(grant *balance.Grant, now time.Time, events []byte) {
	count := max(1, bytes.Count(events, blankLine)+bytes.Count(events, blankLineCRLF))
	for range count {
		grant.Event(now)
	}
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
		x.recordFirstResponse(now)
	} else {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.eventCount += count
	before := x.attemptEvents
	x.attemptEvents += count
	if before < survivedEvents && x.attemptEvents >= survivedEvents {
		x.recordSurvival()
	}
}

// lastEventID returns the id after which another target resumes the stream, or an
// empty string if no event with an id was sent yet.
func (x *exchange) lastEventID() string {
	if !x.position.hasLastID {
		return ""
	}
	return strconv.FormatUint(x.position.lastID, 10)
}
