package gateway_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
)

// emptiedBalancer refuses requests for a service, whose route changes at that moment.
type emptiedBalancer struct {
	gateway *testGateway
	emptied string
	moved   *catalog.Route
}

func (b *emptiedBalancer) Acquire(_ context.Context, w *balance.Work) (*balance.Grant, error) {
	if w.Service != b.emptied {
		return balance.NewGrant(&catalog.Target{ID: "i-new", Address: "10.0.0.9:80"}, balance.Prediction{}, discardReporter{}), nil
	}
	b.gateway.config.set(catalog.NewTable(&catalog.Config{Version: 2, Routes: []*catalog.Route{b.moved}, Teams: b.gateway.config.Table().Config.Teams}))
	return nil, &balance.Refusal{Reason: balance.ReasonNoTarget}
}

func TestRequestFollowsItsRouteToAnotherService(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), signedOK("from the new service"))
	moved := newRoute(catalog.NonIdempotent)
	moved.Shares = []catalog.WeightedService{{Service: "new", Weight: 1}}
	g.gateway.Balancer = &emptiedBalancer{gateway: g, emptied: "s", moved: moved}
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "from the new service")
	is.Equal(len(g.sender.sent()), 1)
}

func TestRequestWhoseRouteStaysIsRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	g.gateway.Balancer = &emptiedBalancer{gateway: g, emptied: "s", moved: newRoute(catalog.NonIdempotent)}
	is.Equal(g.send(t, t.Context(), nil).status, 503)
	is.Equal(len(g.sender.sent()), 0)
}

// countingRetryBudget counts the requests that allow retries.
type countingRetryBudget struct{ first int }

func (r *countingRetryBudget) RecordFirstAttempt(string) { r.first++ }
func (r *countingRetryBudget) AllowRetry(string) bool    { return true }

// While targets are unreachable, a request that is granted several of them one after the other
// is still one request. Guards against a retry budget that grows with the failures.
func TestRequestAtUnreachableTargetsCountsOnceForTheRetryBudget(t *testing.T) {
	is := is.New(t)
	unreachable := targetScript{unsent: true}
	retries := &countingRetryBudget{}
	g := newTestGatewayWith(t, newRoute(catalog.NonIdempotent), func(o *gateway.Options) { o.Retries = retries },
		unreachable, unreachable, unreachable, signedOK("reached"))
	got := g.send(t, t.Context(), nil)
	is.NoErr(got.err)
	is.Equal(got.body, "reached")
	is.Equal(retries.first, 1)
}
