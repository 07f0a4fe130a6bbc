package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// streamEvents returns a stream of events with ids from first to last.
func streamEvents(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

func streamScript(body string, truncated bool) targetScript {
	return targetScript{status: 200, body: body, truncated: truncated, header: http.Header{
		headerSeal: {"s"}, "Content-Type": {"text/event-stream"},
	}}
}

func resumableRoute() *catalog.Route {
	r := newRoute(catalog.Streaming)
	r.Resume = true
	return r
}

func TestAStreamIsRelayed(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), streamScript(streamEvents(1, 20), false))
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 20))
	is.Equal(got.header.Get("Content-Type"), "text/event-stream")
}

func TestATruncatedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), streamScript(streamEvents(1, 3)+"id: 4\ndata: ev", true))
	got := g.send(t, t.Context(), nil)
	is.True(got.err != nil)
	is.Equal(got.body, streamEvents(1, 3)) // without the incomplete event
	is.Equal(len(g.sender.sent()), 1)
}

// What passes an answer on may have met the end of another stream than the answer's.
func TestAnErrorThatWrapsTheEndOfAnotherStreamIsNoEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		kind   catalog.Kind
		script targetScript
	}{
		"stream":          {catalog.Streaming, streamScript(streamEvents(1, 3), true)},
		"before an event": {catalog.Streaming, streamScript("", true)},
		"plain":           {catalog.NonIdempotent, signedOK("part")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.script.truncated, c.script.truncation = true, fmt.Errorf("%w: other node: %w", upstream.ErrTruncated, io.EOF)
			got := newTestGateway(t, newRoute(c.kind), c.script).send(t, t.Context(), nil)
			is.True(got.err != nil || got.status == http.StatusBadGateway)
		})
	}
}

func TestABrokenStreamIsResumedAfterItsLastWholeEvent(t *testing.T) {
	is := is.New(t)
	first := streamScript(streamEvents(1, 3)+"id: 4\ndata: ev", true)
	first.header.Set(headerSeal, "first")
	g := newTestGateway(t, resumableRoute(), first, streamScript(streamEvents(4, 9), false))
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 9))
	is.Equal(got.header.Get(headerSeal), "first")
	sends := g.sender.sent()
	is.Equal(sends[0].request.Header.Get("Last-Event-Id"), "")
	is.Equal(sends[1].request.Header.Get("Last-Event-Id"), "3")
}

func TestDuplicateEventsAreDroppedAfterAResume(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, resumableRoute(), streamScript(streamEvents(1, 5), true), streamScript(streamEvents(3, 8), false))
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 8))
}

func TestAStreamWithAGapAfterAResumeIsNotRelayed(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, resumableRoute(), streamScript(streamEvents(1, 5), true), streamScript(streamEvents(7, 9), false))
	got := g.send(t, t.Context(), nil)
	is.True(got.err != nil)
	is.Equal(got.body, streamEvents(1, 5))
}

func TestASilentStreamIsResumed(t *testing.T) {
	is := is.New(t)
	silent := streamScript(streamEvents(1, 5), false)
	silent.hang = true
	g := newTestGateway(t, resumableRoute(), silent, streamScript(streamEvents(6, 9), false))
	began := time.Now()
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 9))
	is.True(time.Since(began) < 2*time.Second)
}

// A stream whose events come slowly, but come, is not cut, whether it may be resumed
// or not.
func TestASlowStreamIsNotCut(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable=", resumable), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			route := newRoute(catalog.Streaming)
			route.Resume, route.Timeout = resumable, 10*time.Second
			slow := streamScript(streamEvents(1, 4), false)
			slow.pause = 800 * time.Millisecond // Below the time after which a stream stalls.
			g := newTestGateway(t, route, slow)
			got := g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "10000") })
			is.NoErr(got.err)
			is.Equal(got.body, streamEvents(1, 4))
			is.Equal(len(g.sender.sent()), 1)
		})
	}
}

// A stream that sends a byte now and then but no whole event goes on at another target
// if it may, and ends at the route's timeout otherwise; it does not look complete.
func TestAStreamThatOnlyDripsEnds(t *testing.T) {
	dripping := func() targetScript {
		s := streamScript(streamEvents(1, 3), false)
		s.drip, s.dripped = 100*time.Millisecond, "id: 4\ndata: "+strings.Repeat("x", 1000)
		return s
	}
	t.Run("resumable", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		route := resumableRoute()
		route.Timeout = 10 * time.Second
		g := newTestGateway(t, route, dripping(), streamScript(streamEvents(4, 6), false))
		began := time.Now()
		got := g.send(t, t.Context(), nil)
		is.NoErr(got.err)
		is.Equal(got.body, streamEvents(1, 6))
		is.True(time.Since(began) < 5*time.Second)
	})
	t.Run("not resumable", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		g := newTestGateway(t, newRoute(catalog.Streaming), dripping())
		began := time.Now()
		got := g.send(t, t.Context(), nil)
		is.True(got.err != nil)
		is.Equal(got.body, streamEvents(1, 3))
		is.True(time.Since(began) < 3*time.Second)
		is.Equal(len(g.sender.sent()), 1)
	})
}

func TestTheCallersLastEventIDIsPassedToTheTarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, resumableRoute(), streamScript(streamEvents(8, 9), false))
	got := g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("Last-Event-Id", "7") })
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(8, 9))
	is.Equal(g.sender.sent()[0].request.Header.Get("Last-Event-Id"), "7")
}

func TestAnEventBeyondTheSizeLimitEndsTheStream(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), streamScript("data: "+strings.Repeat("x", 2<<20), false))
	got := g.send(t, t.Context(), nil)
	is.True(got.err != nil || got.status == 502)
}

// Wherever a stream breaks, the caller receives a prefix of it, each event once
// and in order; a stream that ends without an error is complete.
func TestResumedStreamsHaveNoGapsOrDuplicates(t *testing.T) {
	const last = 12
	whole := streamEvents(1, last)
	rapid.Check(t, func(rt *rapid.T) {
		route := resumableRoute()
		route.MaxAttempts = 3
		var scripts []targetScript
		begin := 1
		for range rapid.IntRange(0, 3).Draw(rt, "breaks") {
			rest := streamEvents(begin, last)
			at := rapid.IntRange(0, len(rest)-1).Draw(rt, "at")
			scripts = append(scripts, streamScript(rest[:at], true))
			begin = max(begin, strings.Count(rest[:at], "\n\n")+begin-rapid.IntRange(0, 1).Draw(rt, "overlap"))
		}
		scripts = append(scripts, streamScript(streamEvents(begin, last), false))
		g := newTestGateway(t, route, scripts...)
		got := g.send(t, t.Context(), nil)
		g.server.Close()
		if got.err == nil && got.status == 200 && got.body != whole {
			rt.Fatalf("the stream ended without an error after %q", got.body)
		}
		if got.err != nil && (!strings.HasPrefix(whole, got.body) || !strings.HasSuffix("\n\n"+got.body, "\n\n")) {
			rt.Fatalf("%q is not a prefix of whole events", got.body)
		}
	})
}

// An answer without length or chunks ends with its connection, so that only an
// unfinished event shows that it broke off.
func TestAStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, unfinished := range []string{"id: 4\ndata: ev", "id: 4\ndata: event 4\n", "id: 4\r\ndata: event 4\r\n\r", "i"} {
		t.Run(unfinished, func(t *testing.T) {
			is := is.New(t)
			cut := streamScript(streamEvents(1, 3)+unfinished, false)
			got := newTestGateway(t, newRoute(catalog.Streaming), cut).send(t, t.Context(), nil)
			is.True(got.err != nil)
			is.Equal(got.body, streamEvents(1, 3))
			got = newTestGateway(t, resumableRoute(), cut, streamScript(streamEvents(4, 6), false)).send(t, t.Context(), nil)
			is.NoErr(got.err)
			is.Equal(got.body, streamEvents(1, 6))
		})
	}
}

func TestAnAnswerOfAnotherTypeOnAStreamingRouteIsRelayedWhole(t *testing.T) {
	is := is.New(t)
	whole := targetScript{status: 200, body: `{"answer":"x"}`, header: http.Header{headerSeal: {"s"}, "Content-Type": {"application/json; charset=utf-8"}}}
	got := newTestGateway(t, newRoute(catalog.Streaming), whole).send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, `{"answer":"x"}`)
}
