package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "150") }

func TestARequestReachesATargetAndItsResponseTheCaller(t *testing.T) {
	is := is.New(t)
	response := signedOK("done")
	response.header.Set("X-Other", "kept")
	response.header.Set("Keep-Alive", "timeout=5")
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), response)
	got := g.send(t, t.Context(), func(r *http.Request) {
		r.URL.Opaque = "/walks/a%2Fb//c?x=%20&y"
		r.Header.Set("X-Primrosemoor-Tenant", "forged")
		r.Header.Set("X-Mine", "passed on")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "only here")
	})
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "done")
	is.Equal(got.header.Get(headerSeal), "s")
	is.Equal(got.header.Get("X-Other"), "kept")
	is.Equal(got.header.Get("Keep-Alive"), "")
	sent := g.sender.sent()[0]
	is.Equal(sent.request.URI, "/walks/a%2Fb//c?x=%20&y")
	is.Equal(sent.request.Host, "farm.example")
	is.Equal(string(sent.request.Body), "the body")
	is.Equal(sent.request.Header.Get("X-Primrosemoor-Tenant"), "t1")
	is.Equal(sent.request.Header.Get("Api-Key"), "")
	is.Equal(sent.request.Header.Get("X-Mine"), "passed on")
	is.Equal(sent.request.Header.Get("X-Hop"), "")
	is.Equal(sent.request.Header.Get("X-Primrosemoor-Expect-Instance"), sent.to.ID)
}

func TestABodyInChunksIsSentWithItsLength(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	got := g.send(t, t.Context(), func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("in chunks")), -1
	})
	is.Equal(got.status, 200)
	is.Equal(string(g.sender.sent()[0].request.Body), "in chunks")
	is.Equal(g.sender.sent()[0].request.Header.Get("Transfer-Encoding"), "")
}

func TestRefusedRequestsAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(*testGateway)
		edit   func(*http.Request)
		status int
		retry  bool
	}{
		{"no configuration", func(g *testGateway) { g.config.table = nil }, nil, 503, true},
		{"no route", nil, func(r *http.Request) { r.Host = "other.example" }, 404, false},
		{"prefix of the prefix", nil, func(r *http.Request) { r.URL.Path = "/walks" }, 404, false},
		{"no key", nil, func(r *http.Request) { r.Header.Del("Api-Key") }, 401, false},
		{"unknown key", nil, func(r *http.Request) { r.Header.Set("Api-Key", "k2") }, 401, false},
		{"keys not proven", func(g *testGateway) { g.config.keysProven = false }, nil, 503, true},
		{"over the limit", func(g *testGateway) { g.allowance.retryAfter = time.Second }, nil, 429, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, newRoute(catalog.Idempotent))
			if c.set != nil {
				c.set(g)
			}
			got := g.send(t, t.Context(), c.edit)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Retry-After") != "", c.retry)
			is.Equal(len(g.sender.sent()), 0)
		})
	}
}

func TestAnonymousRoutesNeedNoKeyAndNoFreshConfiguration(t *testing.T) {
	is := is.New(t)
	route := newRoute(catalog.Idempotent)
	route.Anonymous = true
	g := newTestGateway(t, route)
	g.config.keysProven = false
	got := g.send(t, t.Context(), func(r *http.Request) { r.Header.Del("Api-Key") })
	is.Equal(got.status, 200)
	is.Equal(g.sender.sent()[0].request.Header.Get("X-Primrosemoor-Tenant"), "")
}

func TestATokenLimitIsChargedWithTheTokenCountHeader(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Token-Count", "1460,80") })
	is.Equal(g.allowance.amount, 1540.0)
	g.send(t, t.Context(), nil)
	is.Equal(g.allowance.amount, 200.0)
}

// drawScripts draws the behaviour of the targets that a request reaches.
func drawScripts(t *rapid.T) []targetScript {
	all := []targetScript{
		signedOK("whole"),
		{unsent: true},
		{resetAfterSend: true},
		notExecuted(503),
		notExecuted(429),
		notExecuted(421),
		{status: 500, body: "failed", header: http.Header{headerSeal: {"s"}}},
		{status: 503, body: "may have run"},
		{status: 200, body: "unsigned"},
		{status: 200, body: "part", truncated: true, header: http.Header{headerSeal: {"s"}}},
		{status: 200, body: "encoded", header: http.Header{headerSeal: {"s"}, "Content-Encoding": {"gzip"}}},
	}
	return rapid.SliceOfN(rapid.SampledFrom(all), 1, 6).Draw(t, "reactions")
}

// Whatever targets do, a request that must not run twice reaches at most one
// target that may have run it, an error response that says that the request was
// not run is true, and a success is a target's complete response.
func TestResponsesMatchWhatTargetsRan(t *testing.T) {
	kinds := []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		scripts := drawScripts(rt)
		g := newTestGateway(t, newRoute(kind), scripts...)
		g.retries.left = rapid.IntRange(0, 3).Draw(rt, "retries")
		got := g.send(t, context.Background(), nil)
		g.server.Close()
		ran, sends := g.sender.ranCount(), g.sender.sent()
		if kind != catalog.Idempotent && ran > 1 {
			rt.Fatalf("%v request may have run %d times", kind, ran)
		}
		if ran > 2 {
			rt.Fatalf("request may have run %d times on a route with two attempts", ran)
		}
		generated := got.header.Get(headerSeal) == ""
		if got.err == nil && generated && (got.status == 503 || got.status == 429 || got.status == 421 || got.status == 408) && ran > 0 {
			// A target's own 503 without the header that says so does not mean that
			// the request was not run; it is relayed unchanged.
			if last := sends[len(sends)-1].script; last.status != got.status || last.body != got.body {
				rt.Fatalf("status %d although %d targets may have run the request", got.status, ran)
			}
		}
		if got.err == nil && got.status == 200 && got.body != "whole" && got.body != "default" {
			rt.Fatalf("body %q looks like a complete response", got.body)
		}
	})
}

func TestAnIdempotentRequestIsRepeatedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]targetScript{
		"lost": {resetAfterSend: true}, "error": {status: 500, header: http.Header{headerSeal: {"s"}}},
		"cut": {status: 200, body: "x", truncated: true, header: http.Header{headerSeal: {"s"}}}, "refused": notExecuted(503),
		"unreachable": {unsent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, newRoute(catalog.Idempotent), first, signedOK("second"))
			got := g.send(t, t.Context(), nil)
			is.Equal(got.body, "second")
			sends := g.sender.sent()
			is.Equal(len(sends), 2)
			is.True(sends[0].to.ID != sends[1].to.ID)
		})
	}
}

func TestNoRequestIsRepeatedBeyondTheRetryBudget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Idempotent), targetScript{resetAfterSend: true}, signedOK("second"))
	g.retries.left = 0
	got := g.send(t, t.Context(), nil)
	is.Equal(got.status, 502)
	is.Equal(len(g.sender.sent()), 1)
}

func TestARequestThatNoTargetRanGetsARetryAfter(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), notExecuted(503), notExecuted(503), notExecuted(503), notExecuted(503), notExecuted(503))
	got := g.send(t, t.Context(), nil)
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(g.sender.ranCount(), 0)
}

func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	is := is.New(t)
	route := newRoute(catalog.NonIdempotent)
	route.Timeout = 150 * time.Millisecond
	g := newTestGateway(t, route, targetScript{hang: true})
	began := time.Now()
	got := g.send(t, t.Context(), nil)
	is.Equal(got.status, 504)
	is.True(time.Since(began) < route.Timeout+400*time.Millisecond)
}

func TestTheRemainingTimeoutIsPassedToTheTarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "1000") })
	remaining := g.sender.sent()[0].request.Header.Get("X-Primrosemoor-Deadline-Ms")
	is.True(len(remaining) == 3 || remaining == "1000") // 900 to 999, or 1000
	g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "60000") })
	remaining = g.sender.sent()[1].request.Header.Get("X-Primrosemoor-Deadline-Ms")
	is.True(strings.HasPrefix(remaining, "19") || remaining == "2000") // the route's timeout of 2 s applies
}

func TestACallersDisconnectCancelsTheRequestAtTheTarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), targetScript{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	got := g.send(t, ctx, nil)
	is.True(got.err != nil)
	select {
	case <-g.sender.sent()[0].ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request at the target was not cancelled after its caller disconnected")
	}
}

func TestAnIdempotentRequestIsRetriedWhenItsTargetStalls(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Idempotent), targetScript{hang: true}, signedOK("second"))
	got := g.send(t, t.Context(), nil)
	is.Equal(got.body, "second")
}

func TestConnectionsAreClosedWhileTheNodeStops(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Idempotent))
	is.True(!g.send(t, t.Context(), nil).closed)
	g.gateway.CloseConnections()
	got := g.send(t, t.Context(), nil)
	is.Equal(got.status, 200)
	is.True(got.closed)
}

func TestABodyBeyondTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Idempotent))
	g.config.table.Config.Bounds.BodyBytes = 4
	got := g.send(t, t.Context(), nil)
	is.Equal(got.status, 413)
	is.Equal(len(g.sender.sent()), 0)
}

// endlessReader returns bytes without end and counts them.
type endlessReader struct{ read atomic.Int64 }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.read.Add(int64(len(p)))
	return len(p), nil
}

// A body that a caller sends without end is refused after a bounded number of bytes,
// also if the configuration sets no limit.
func TestABodyWithoutEndIsRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Idempotent))
	g.config.table.Config.Bounds.BodyBytes = 0
	body := &endlessReader{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := g.send(t, ctx, func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(body), -1 })
	is.True(got.status == 413 || got.err != nil)
	is.NoErr(ctx.Err())
	is.True(body.read.Load() < 64<<20)
	is.Equal(len(g.sender.sent()), 0)
}

// A stream that never ends an event, and a response that is none in place of a stream,
// end after a bounded number of bytes, and not as complete ones.
func TestAResponseWithoutEndIsCutOff(t *testing.T) {
	is := is.New(t)
	route := newRoute(catalog.Streaming)
	script := signedOK("data: " + strings.Repeat("0123456789", 1_000_000))
	g := newTestGateway(t, route, script)
	got := g.send(t, t.Context(), nil)
	is.True(got.err != nil || got.status == 502)
	is.Equal(len(g.sender.sent()), 1)
}

func TestALargeResponseIsRelayedWhole(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789", 100_000)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), signedOK(body))
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, body)
}

func TestATruncatedLargeResponseDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	script := signedOK(strings.Repeat("0123456789", 100_000))
	script.truncated = true
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), script)
	is.True(g.send(t, t.Context(), nil).err != nil)
}

// An answer of which no more may be held back is passed on as it arrives.
func TestALargeResponseIsRelayedWholeWhileOthersHoldBackMuch(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		is := is.New(t)
		script := signedOK(strings.Repeat("0123456789", 20_000))
		script.status = status
		g := newTestGatewayWith(t, newRoute(catalog.NonIdempotent), func(o *gateway.Options) { o.HeldBytes = 1 }, script)
		got := g.send(t, t.Context(), nil)
		is.NoErr(got.err)
		is.Equal(got.status, status)
		is.Equal(got.body, script.body)
	}
}
