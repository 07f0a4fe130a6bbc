package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// refusingBalancer refuses every request, or none until its context ends.
type refusingBalancer struct{ waits bool }

func (b refusingBalancer) Acquire(ctx context.Context, _ *balance.Work) (*balance.Grant, error) {
	if b.waits {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, &balance.Refusal{Reason: "no_prospect", RetryAfter: time.Second}
}

// endedMetrics passes on what the metrics are told of ended requests.
type endedMetrics struct {
	nopMetrics
	ended chan telemetry.EndedRequest
}

func (m endedMetrics) RequestEnded(e telemetry.EndedRequest) { m.ended <- e }

// A charge is refunded once if no target has run the request and none may have, and at no
// other end. Guards against 429 for callers whose first send was refused, and against
// refunds for requests that run after all.
func TestChargeIsRefundedOnlyIfNoTargetMayHaveRunTheRequest(t *testing.T) {
	t.Parallel()
	refused := targetScript{unsent: true}
	reset := targetScript{resetAfterSend: true}
	failed := targetScript{status: 503}
	deadline := func(r *http.Request) { r.Header.Set("X-Primrosemoor-Deadline-Ms", "100") }
	for _, c := range []struct {
		name     string
		kind     catalog.Kind
		scripts  []targetScript
		balancer gateway.Balancer
		edit     func(*http.Request)
		leaves   bool
		returned bool
	}{
		{name: "refused", balancer: refusingBalancer{}, returned: true},
		{name: "time-out in the queue", balancer: refusingBalancer{waits: true}, edit: deadline, returned: true},
		{name: "caller left while waiting", balancer: refusingBalancer{waits: true}, leaves: true, returned: true},
		{name: "targets unreachable", scripts: []targetScript{refused, refused, refused, refused}, returned: true},
		{name: "targets full", scripts: []targetScript{notExecuted(429), notExecuted(503), notExecuted(421), notExecuted(429)}, returned: true},
		{name: "bad request, not run", scripts: []targetScript{notExecuted(400)}, returned: true},
		{name: "answered", scripts: []targetScript{signedOK("yes")}},
		{name: "not run, then answered", scripts: []targetScript{notExecuted(429), signedOK("yes")}},
		{name: "not run, then reset", scripts: []targetScript{notExecuted(429), reset}},
		{name: "reset, then not run", kind: catalog.Idempotent, scripts: []targetScript{reset, notExecuted(429), notExecuted(429), notExecuted(429)}},
		{name: "failed without a statement", scripts: []targetScript{failed}},
		{name: "silent until the time limit", scripts: []targetScript{{hang: true}}, edit: deadline},
		{name: "caller left after the send", scripts: []targetScript{{hang: true}}, leaves: true},
		{name: "answer cut", scripts: []targetScript{{status: 200, body: "cu", truncated: true, header: signedOK("").header}}},
		{name: "panic while the answer is read", scripts: []targetScript{{status: 200, body: "x", panics: true, header: signedOK("").header}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			route := newRoute(catalog.NonIdempotent)
			if c.kind != route.Kind {
				route.Kind = c.kind
			}
			metrics := endedMetrics{ended: make(chan telemetry.EndedRequest, 1)}
			g := newTestGatewayWith(t, route, func(o *gateway.Options) {
				o.Metrics = metrics
				if c.balancer != nil {
					o.Balancer = c.balancer
				}
			}, c.scripts...)
			ctx, cancel := context.WithCancel(t.Context())
			if c.leaves {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			defer cancel()
			sent := time.Now()
			got := g.send(t, ctx, c.edit)
			if got.err == nil {
				// The refund is there before the response, so that the next send finds it.
				is.Equal(len(g.allowance.refunds()) == 1, c.returned)
			}
			if c.name != "panic while the answer is read" {
				want := 0.0
				if c.returned {
					want = 200
				}
				is.Equal((<-metrics.ended).Returned, want)
			}
			g.server.Close() // waits for the request
			refunds := g.allowance.refunds()
			is.Equal(len(refunds) == 1, c.returned)
			is.True(len(refunds) <= 1)
			if c.returned {
				is.Equal(refunds[0].amount, 200.0)
				is.True(!refunds[0].charged.Before(sent) && !refunds[0].charged.After(time.Now()))
			}
		})
	}
}

// A second target that was asked while the first one is silent counts, also if it then
// refuses and the first one has not run the request.
func TestChargeStaysWhereASecondTargetMayHaveRunTheRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	late := notExecuted(503)
	late.delay = 1500 * time.Millisecond
	g := newTestGateway(t, patientRoute(catalog.Idempotent), late, targetScript{hang: true}, notExecuted(503), notExecuted(503))
	got := g.sendPatiently(t)
	is.True(got.err != nil || got.status >= 500)
	is.Equal(len(g.allowance.refunds()), 0)
}

// What is charged before a request is found to be quarantined, or not to be resumable, is
// refunded.
func TestChargeOfARequestThatIsRefusedAfterItIsRefunded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, resumableRoute())
	g.serve(testVersion, "other")
	g.streams.Record(resume.Identify("first"), resume.Origin{Service: "left", Version: testVersion})
	is.Equal(g.send(t, t.Context(), takesUp("first")).status, 503)
	is.Equal(len(g.allowance.refunds()), 1)
}

// A request over the limit has no charge that could be refunded.
func TestRequestOverTheLimitIsNotRefunded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	g.allowance.retryAfter = time.Second
	is.Equal(g.send(t, t.Context(), nil).status, 429)
	is.Equal(len(g.allowance.refunds()), 0)
}
