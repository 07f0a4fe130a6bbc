package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// events returns the stream of events with ids from first to last.
func events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

func stream(body string, cut bool) reaction {
	return reaction{status: 200, body: body, cut: cut, header: http.Header{
		headerSeal: {"s"}, "Content-Type": {"text/event-stream"},
	}}
}

func resumable() *catalog.Route {
	r := newRoute(catalog.Streaming)
	r.Resume = true
	return r
}

func TestAStreamIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, newRoute(catalog.Streaming), stream(events(1, 20), false))
	got := w.ask(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 20))
	is.Equal(got.header.Get("Content-Type"), "text/event-stream")
}

func TestAStreamThatBreaksOffDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, newRoute(catalog.Streaming), stream(events(1, 3)+"id: 4\ndata: ev", true))
	got := w.ask(t, t.Context(), nil)
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 3)) // and ends with a whole event
	is.Equal(len(w.sender.got()), 1)
}

func TestABrokenStreamIsResumedAfterItsLastWholeEvent(t *testing.T) {
	is := is.New(t)
	first := stream(events(1, 3)+"id: 4\ndata: ev", true)
	first.header.Set(headerSeal, "first")
	w := newWorld(t, resumable(), first, stream(events(4, 9), false))
	got := w.ask(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 9))
	is.Equal(got.header.Get(headerSeal), "first")
	sends := w.sender.got()
	is.Equal(sends[0].ask.Header.Get("Last-Event-Id"), "")
	is.Equal(sends[1].ask.Header.Get("Last-Event-Id"), "3")
}

func TestEventsThatWerePassedOnBeforeAreLeftOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, resumable(), stream(events(1, 5), true), stream(events(3, 8), false))
	got := w.ask(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 8))
}

func TestAStreamWithAGapAfterItWasResumedIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, resumable(), stream(events(1, 5), true), stream(events(7, 9), false))
	got := w.ask(t, t.Context(), nil)
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 5))
}

func TestASilentStreamIsResumed(t *testing.T) {
	is := is.New(t)
	silent := stream(events(1, 5), false)
	silent.hang = true
	w := newWorld(t, resumable(), silent, stream(events(6, 9), false))
	began := time.Now()
	got := w.ask(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 9))
	is.True(time.Since(began) < 2*time.Second)
}

func TestACallersOwnPositionIsHandedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, resumable(), stream(events(8, 9), false))
	got := w.ask(t, t.Context(), func(r *http.Request) { r.Header.Set("Last-Event-Id", "7") })
	is.NoErr(got.err)
	is.Equal(got.body, events(8, 9))
	is.Equal(w.sender.got()[0].ask.Header.Get("Last-Event-Id"), "7")
}

func TestAnEventThatNeverEndsIsNotHeldForever(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, newRoute(catalog.Streaming), stream("data: "+strings.Repeat("x", 2<<20), false))
	got := w.ask(t, t.Context(), nil)
	is.True(got.err != nil || got.status == 502)
}

// Wherever a stream breaks, what the caller has got is the beginning of it, each
// event once and in order; a stream that ends well has all of it.
func TestStreamsHaveNoGapAndNoDoubleEvent(t *testing.T) {
	const last = 12
	whole := events(1, last)
	rapid.Check(t, func(rt *rapid.T) {
		route := resumable()
		route.MaxAttempts = 3
		var script []reaction
		begin := 1
		for range rapid.IntRange(0, 3).Draw(rt, "breaks") {
			rest := events(begin, last)
			at := rapid.IntRange(0, len(rest)-1).Draw(rt, "at")
			script = append(script, stream(rest[:at], true))
			begin = max(begin, strings.Count(rest[:at], "\n\n")+begin-rapid.IntRange(0, 1).Draw(rt, "overlap"))
		}
		script = append(script, stream(events(begin, last), false))
		w := newWorld(t, route, script...)
		got := w.ask(t, t.Context(), nil)
		w.server.Close()
		if got.err == nil && got.status == 200 && got.body != whole {
			rt.Fatalf("a whole answer of %q", got.body)
		}
		if got.err != nil && (!strings.HasPrefix(whole, got.body) || !strings.HasSuffix("\n\n"+got.body, "\n\n")) {
			rt.Fatalf("a part %q", got.body)
		}
	})
}
