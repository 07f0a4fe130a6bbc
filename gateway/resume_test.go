package gateway_test

import (
	"bufio"
	"io"
	"log"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

func withHeader(s targetScript, name, value string) targetScript {
	s.header = s.header.Clone()
	if s.header == nil {
		s.header = http.Header{}
	}
	s.header.Set(name, value)
	return s
}

func withStatus(s targetScript, status int) targetScript {
	s.status = status
	return s
}

func withBody(s targetScript, body string) targetScript {
	s.body = body
	return s
}

const (
	foreignHead  = "HTTP/1.1 503 Service Unavailable\r\nX-Other: 1\r\nContent-Length: 4\r\n\r\nfull"
	foreignText  = "the target is full\n\n"
	foreignEvent = "data: the target is full\n\n"
)

// However the attempts end that follow a stream that has begun and broke off, the
// caller receives its right continuation or a connection that breaks off.
func TestAStreamThatBrokeOffGoesOnOrBreaksOffVisibly(t *testing.T) {
	begun := streamEvents(1, 3)
	failed := func(status int) targetScript {
		return targetScript{status: status, body: foreignText, header: http.Header{headerSeal: {"s"}}}
	}
	rejected := func(status int) targetScript { return withBody(notExecuted(status), foreignText) }
	stream := func(body string) targetScript { return streamScript(body, false) }
	for _, c := range []struct {
		name string
		// first replaces a stream of three events that breaks off.
		first   *targetScript
		further []targetScript
		body    string
		whole   bool
		set     func(*testGateway)
	}{
		{name: "continuation", further: []targetScript{stream(streamEvents(4, 6))}, body: streamEvents(1, 6), whole: true},
		{name: "refusal, then continuation", further: []targetScript{rejected(503), stream(streamEvents(4, 6))}, body: streamEvents(1, 6), whole: true},
		{name: "no connection, then continuation", further: []targetScript{{unsent: true}, stream(streamEvents(4, 6))}, body: streamEvents(1, 6), whole: true},
		{name: "comment, then continuation", further: []targetScript{stream(": ping\n\n" + streamEvents(4, 6))}, body: begun + ": ping\n\n" + streamEvents(4, 6), whole: true},
		{name: "events from the first again", further: []targetScript{stream(streamEvents(1, 6))}, body: streamEvents(1, 6), whole: true},
		{name: "400", further: []targetScript{failed(400)}, body: begun},
		{name: "404", further: []targetScript{failed(404)}, body: begun},
		{name: "413 without a seal", further: []targetScript{{status: 413, body: foreignText}}, body: begun},
		{name: "500", further: []targetScript{failed(500)}, body: begun},
		{name: "500 as an event stream", further: []targetScript{withHeader(failed(500), "Content-Type", "text/event-stream")}, body: begun},
		{name: "502 without a seal", further: []targetScript{{status: 502, body: foreignText}}, body: begun},
		{name: "503 that may have run", further: []targetScript{failed(503)}, body: begun},
		{name: "504", further: []targetScript{failed(504)}, body: begun},
		{name: "503 not run", further: []targetScript{rejected(503), rejected(503), rejected(503)}, body: begun},
		{name: "429 not run", further: []targetScript{rejected(429), rejected(429), rejected(429)}, body: begun},
		{name: "421", further: []targetScript{rejected(421), rejected(421), rejected(421)}, body: begun},
		{name: "400 not run", further: []targetScript{rejected(400), rejected(400), rejected(400)}, body: begun},
		{name: "no connections", further: []targetScript{{unsent: true}, {unsent: true}, {unsent: true}}, body: begun},
		{name: "reset without an answer", further: []targetScript{{resetAfterSend: true}}, body: begun},
		{name: "silence", further: []targetScript{{hang: true}}, body: begun},
		{name: "panic", further: []targetScript{{status: 200, panics: true, header: stream("").header}}, body: begun,
			set: func(g *testGateway) { g.server.Config.ErrorLog = log.New(io.Discard, "", 0) }},
		{name: "retries used up", further: []targetScript{stream(streamEvents(4, 6))}, body: begun,
			set: func(g *testGateway) { g.retries.left = 0 }},
		{name: "redirect", further: []targetScript{withHeader(failed(302), "Location", "/other")}, body: begun},
		{name: "204", further: []targetScript{withStatus(stream(""), 204)}, body: begun},
		{name: "206 without events", further: []targetScript{withStatus(stream(""), 206)}, body: begun},
		{name: "200 without events", further: []targetScript{stream("")}, body: begun},
		{name: "200 with nothing new", further: []targetScript{stream(streamEvents(2, 3))}, body: begun},
		{name: "200 of another type", further: []targetScript{withHeader(failed(200), "Content-Type", "text/plain")}, body: begun},
		{name: "200 without a type", further: []targetScript{failed(200)}, body: begun},
		{name: "200 without a seal", further: []targetScript{{status: 200, body: streamEvents(4, 6),
			header: http.Header{"Content-Type": {"text/event-stream"}}}}, body: begun},
		{name: "200 with an encoding", further: []targetScript{withHeader(stream(streamEvents(4, 6)), "Content-Encoding", "gzip")}, body: begun},
		{name: "event without an id first", further: []targetScript{stream(foreignEvent + streamEvents(4, 6))}, body: begun},
		{name: "event without an id only", further: []targetScript{stream(foreignEvent)}, body: begun},
		{name: "response in place of events", further: []targetScript{stream(foreignHead)}, body: begun},
		{name: "missing event at once", further: []targetScript{stream(streamEvents(5, 6))}, body: begun},
		{name: "missing event later", further: []targetScript{stream(streamEvents(4, 4) + streamEvents(6, 7))}, body: streamEvents(1, 4)},
		{name: "early end", further: []targetScript{streamScript(streamEvents(4, 5), true)}, body: streamEvents(1, 5)},
		{name: "early end in an event", further: []targetScript{streamScript(streamEvents(4, 5)+"id: 6\nda", true)}, body: streamEvents(1, 5)},
		{name: "end in an event", further: []targetScript{stream(streamEvents(4, 5) + "id: 6\nda")}, body: streamEvents(1, 5)},
		{name: "trailers", further: []targetScript{withHeader(streamScript(streamEvents(4, 5), true), "Trailer", headerSeal)}, body: streamEvents(1, 5)},
		{name: "first without ids", first: &targetScript{status: 200, body: "data: a\n\n", truncated: true, header: stream("").header},
			further: []targetScript{stream(streamEvents(1, 3))}, body: "data: a\n\n"},
		{name: "response after an event", further: []targetScript{stream(streamEvents(4, 4) + foreignHead)}, body: streamEvents(1, 4)},
		{name: "response after a line of an event", further: []targetScript{stream(streamEvents(4, 4) + "id: 5\n" + foreignHead)}, body: streamEvents(1, 4)},
		{name: "first with a response after its events", first: &targetScript{status: 200, body: begun + foreignHead, header: stream("").header},
			further: []targetScript{{resetAfterSend: true}}, body: begun},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := streamScript(begun, true)
			if c.first != nil {
				first = *c.first
			}
			route := resumableRoute()
			route.Timeout = time.Second
			g := newTestGateway(t, route, append([]targetScript{withHeader(first, headerSeal, "first")}, c.further...)...)
			if c.set != nil {
				c.set(g)
			}
			raw := g.exchangeRaw(t, false)
			is.Equal(strings.Count(raw, "HTTP/1."), 1) // one head
			is.True(!strings.Contains(raw, "full"))    // the text of no error
			is.Equal(strings.HasSuffix(raw, "\r\n0\r\n\r\n"), c.whole)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
			is.NoErr(err)
			is.Equal(resp.Header.Get(headerSeal), "first")
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), c.body)
			is.Equal(err == nil, c.whole)
		})
	}
}

// A target that takes over from a silent one may turn out to send no continuation.
func TestAStreamThatFellSilentIsNotContinuedByAnError(t *testing.T) {
	stream := func(body string) targetScript { return streamScript(body, false) }
	for name, second := range map[string]targetScript{
		"200 without a type":       {status: 200, body: foreignText, header: http.Header{headerSeal: {"s"}}},
		"200 without events":       stream(""),
		"204":                      withStatus(stream(""), 204),
		"event without an id":      stream(foreignEvent),
		"response":                 stream(foreignHead),
		"missing event":            stream(streamEvents(5, 6)),
		"events without their end": stream("id: 4\ndata: ev"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			silent := streamScript(streamEvents(1, 3), false)
			silent.hang = true
			raw := newTestGateway(t, patientRoute(catalog.Streaming), silent, second).exchangeRaw(t, false)
			is.True(!strings.HasSuffix(raw, "\r\n0\r\n\r\n"))
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), streamEvents(1, 3))
			is.True(err != nil)
		})
	}
}
