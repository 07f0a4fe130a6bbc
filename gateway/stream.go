package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

const (
	// stallGoals and minStall give the silence after which a request that may be
	// repeated is taken to another target: some goals, and no less than a long
	// prompt of others may take.
	stallGoals = 3
	minStall   = time.Second
)

var errStalled = errors.New("gateway: the target has fallen silent")

// stall returns how long a target may be silent before the request goes to
// another one.
func (x *exchange) stall() time.Duration {
	return max(minStall, stallGoals*max(x.route.Goal, x.route.GapGoal))
}

// relayStream passes on events as they arrive, each one whole. It reports
// whether the request has ended; if not, the stream is to be continued at
// another target.
func (x *exchange) relayStream(ctx context.Context, grant *balance.Grant, resp *http.Response, a Answer, alive func()) bool {
	if spoiled(resp, a) {
		return x.brokenOff(ctx, grant)
	}
	events := eventSplitter{}
	chunk := make([]byte, readChunk)
	for {
		n, err := resp.Body.Read(chunk)
		ready, bad := events.add(chunk[:n])
		if bad == nil && errors.Is(err, io.EOF) {
			ready = append(ready, events.rest()...)
		}
		if len(ready) > 0 {
			alive()
			x.note(grant, time.Now(), ready)
		}
		if bad == nil {
			ready, bad = x.position.filter(ready)
		}
		if bad != nil {
			err = errors.Join(bad, err)
		}
		if len(ready) > 0 && !x.pass(resp, ready) {
			grant.Done(balance.Abandoned)
			x.abort("caller_left", resp.StatusCode)
		}
		switch {
		case err == nil:
		case bad == nil && errors.Is(err, io.EOF):
			x.startStream(resp)
			grant.Done(balance.Answered)
			x.log("answered", resp.StatusCode)
			return true
		default:
			return x.streamBroke(ctx, grant, resp, err)
		}
	}
}

// pass writes events to the caller. It reports whether the caller is there.
func (x *exchange) pass(resp *http.Response, events []byte) bool {
	x.startStream(resp)
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// startStream sends the head of the first target's answer.
func (x *exchange) startStream(resp *http.Response) {
	if x.started {
		return
	}
	x.started = true
	x.copyHead(resp)
	x.writer.WriteHeader(resp.StatusCode)
}

// streamBroke handles a stream that ended early. It reports whether the request
// has ended.
func (x *exchange) streamBroke(ctx context.Context, grant *balance.Grant, resp *http.Response, err error) bool {
	x.gateway.Logger.Warn().Str("event", "stream_broken").Str("request", x.call.ID).Str("target", grant.Target.ID).
		Uint64("last_event", x.position.last).Err(err).Msg("")
	if ctx.Err() != nil {
		grant.Done(balance.Abandoned)
		return x.end(ctx, resp.StatusCode)
	}
	grant.Done(balance.Broken)
	if x.mayRepeat() && !errors.Is(err, errEventTooLarge) {
		x.position.resumed = true
		return false
	}
	if !x.started {
		return x.finish(errUnknown("answer_broken"))
	}
	x.abort("stream_broken", resp.StatusCode)
	return true
}

// end ends a request whose time is over or whose caller has left.
func (x *exchange) end(ctx context.Context, status int) bool {
	if x.started {
		x.abort("stream_abandoned", status)
	}
	x.giveUp(ctx, ctx.Err())
	return true
}

// note records the arrival of events.
func (x *exchange) note(grant *balance.Grant, now time.Time, events []byte) {
	count := max(1, bytes.Count(events, blankLine)+bytes.Count(events, blankLineCRLF))
	for range count {
		grant.Event(now)
	}
	if x.first.IsZero() {
		x.first = now
	} else {
		x.longest = max(x.longest, now.Sub(x.last))
	}
	x.last = now
	x.events += count
}

// lastEvent returns the id after which another target has to go on, empty if
// nothing was passed on yet.
func (x *exchange) lastEvent() string {
	if !x.position.known {
		return ""
	}
	return strconv.FormatUint(x.position.last, 10)
}
