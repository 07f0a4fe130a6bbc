package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// answerSlack is how much later than the time limit of its route a request may be
// answered.
const answerSlack = 500 * time.Millisecond

// longSilence is longer than the time limit of a route.
const longSilence = 10 * time.Second

func sendPastTheTimeLimit(t *testing.T, route *catalog.Route, script targetScript) (got callerResponse, waited time.Duration, sends int) {
	t.Helper()
	g := newTestGateway(t, route, script)
	began := time.Now()
	got = g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "10000") })
	return got, time.Since(began), len(g.sender.sent())
}

// A request that may be sent once stays at its target, however long that is silent.
func TestRequestThatMayBeSentOnceIsAnsweredAtTheTimeLimitBesideASilentTarget(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
		begun := signedOK("begun")
		if kind == catalog.Streaming {
			begun = streamScript("", false)
		}
		begun.silence, begun.rest = longSilence, streamEvents(1, 1)
		for name, script := range map[string]targetScript{"no headers": {hang: true}, "headers only": begun} {
			t.Run(kind.String()+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				route := newRoute(kind)
				route.MaxAttempts, route.Resume = 1, kind == catalog.Streaming
				got, waited, sends := sendPastTheTimeLimit(t, route, script)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusGatewayTimeout)
				is.True(waited >= route.Timeout && waited < route.Timeout+answerSlack)
				is.Equal(sends, 1)
			})
		}
	}
}

// A stream that has begun can end as incomplete only.
func TestStreamThatMayBeSentOnceIsClosedAtTheTimeLimitBesideASilentTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	route := resumableRoute()
	route.MaxAttempts = 1
	script := streamScript(streamEvents(1, 3), false)
	script.silence, script.rest = longSilence, streamEvents(4, 4)
	got, waited, sends := sendPastTheTimeLimit(t, route, script)
	is.True(got.err != nil)
	is.Equal(got.body, streamEvents(1, 3))
	is.True(waited >= route.Timeout && waited < route.Timeout+answerSlack)
	is.Equal(sends, 1)
}
