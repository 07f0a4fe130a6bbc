package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// soundSilence is how long a sound target is silent here; it is longer than the time
// after which a request looks for another target.
const soundSilence = 1500 * time.Millisecond

// fallsSilent makes a stream of events silent after its first ones, after which it goes
// on.
func fallsSilent(first, last int) targetScript {
	s := streamScript(streamEvents(1, first), false)
	s.silence, s.rest = soundSilence, streamEvents(first+1, last)
	return s
}

func (g *testGateway) sendPatiently(t *testing.T) callerResponse {
	t.Helper()
	return g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "10000") })
}

func patientRoute(kind catalog.Kind) *catalog.Route {
	r := newRoute(kind)
	r.Resume, r.Timeout = true, 10*time.Second
	return r
}

func TestStreamOfATargetThatFallsSilentIsNotLostWhereNoOtherTakesOver(t *testing.T) {
	sealed := http.Header{headerSeal: {"s"}}
	refusing := []targetScript{notExecuted(503), notExecuted(503), notExecuted(503)}
	for name, second := range map[string][]targetScript{
		"refused by all others": refusing,
		"second fails":          {{status: 500, header: sealed, body: "the text of an error"}},
		"second is reset":       {{resetAfterSend: true}},
		"second is unreachable": {{unsent: true}, {unsent: true}, {unsent: true}},
		"second is no stream":   {{status: 200, body: "{}", header: http.Header{headerSeal: {"s"}, "Content-Type": {"application/json"}}}},
		"second has no seal":    {{status: 200, body: streamEvents(4, 6), header: http.Header{"Content-Type": {"text/event-stream"}}}},
		"second hangs":          {{hang: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newTestGateway(t, patientRoute(catalog.Streaming), append([]targetScript{fallsSilent(3, 6)}, second...)...)
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(got.body, streamEvents(1, 6))
		})
	}
}

func TestStreamOfATargetThatFallsSilentIsNotLostBeyondTheRetryBudget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6))
	g.retries.left = 0
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	is.Equal(len(g.sender.sent()), 1)
}

func TestAnswerOfATargetThatFallsSilentIsNotLostWhereTheSecondBreaks(t *testing.T) {
	is := is.New(t)
	first := signedOK("first")
	first.delay = soundSilence
	g := newTestGateway(t, patientRoute(catalog.Idempotent), first, targetScript{resetAfterSend: true})
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "first")
}

func TestSilentTargetIsCancelledOnceAnotherHasBegunToAnswer(t *testing.T) {
	is := is.New(t)
	second := streamScript(streamEvents(4, 6), false)
	second.delay = 200 * time.Millisecond
	silent := streamScript(streamEvents(1, 3), false)
	silent.hang = true
	g := newTestGateway(t, patientRoute(catalog.Streaming), silent, second)
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	sends := g.sender.sent()
	is.Equal(len(sends), 2)
	is.True(sends[0].request.Header.Get("Last-Event-Id") == "" && sends[1].request.Header.Get("Last-Event-Id") == "3")
	is.True(endedWithin(sends[0], time.Second))
}

func TestSecondTargetIsCancelledWhenTheSilentOneGoesOn(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6), targetScript{hang: true})
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	sends := g.sender.sent()
	is.Equal(len(sends), 2)
	is.True(endedWithin(sends[1], time.Second))
}

// endedWithin reports whether a request at a target is cancelled within a time.
func endedWithin(s sentRequest, limit time.Duration) bool {
	select {
	case <-s.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func TestStreamIsNotLostWhileItsCallerReadsNothing(t *testing.T) {
	is := is.New(t)
	const events = 200_000 // More than the buffers of the sockets hold.
	g := newTestGateway(t, patientRoute(catalog.Streaming), streamScript(streamEvents(1, events), false))
	g.retries.left = 0
	req, err := http.NewRequest(http.MethodPost, g.server.URL+"/walks/1", nil)
	is.NoErr(err)
	req.Host = "farm.example"
	req.Header.Set("Api-Key", apiKey)
	resp, err := g.server.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	time.Sleep(soundSilence)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), len(streamEvents(1, events)))
}

// Another target cannot go on with events that have no ids, so that none is asked for once
// one of them was passed on.
func TestSilentStreamWithoutIDsIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	silent := streamScript("data: a\n\n", false)
	silent.silence, silent.rest = soundSilence, "data: b\n\n"
	g := newTestGateway(t, patientRoute(catalog.Streaming), silent, streamScript(streamEvents(1, 3), false))
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, "data: a\n\ndata: b\n\n")
	is.Equal(len(g.sender.sent()), 1)
}

// The first target could not be reached until the time limit, and a second one had got the
// request meanwhile: 503 promised that it had not run.
func TestRequestThatOnlyTheSecondTargetGotIsNotSaidNotToHaveRun(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			route := patientRoute(kind)
			route.Timeout = 2 * time.Second
			g := newTestGateway(t, route, targetScript{unsent: true, hang: true}, targetScript{hang: true})
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(len(g.sender.sent()), 2)
			is.Equal(got.status, http.StatusGatewayTimeout)
		})
	}
}
