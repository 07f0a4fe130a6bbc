// Package telemetry holds the metrics of a node. They are recorded through
// OpenTelemetry and served in the Prometheus text format.
package telemetry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Bucket boundaries of the latency histograms, in seconds. They are dense around
// the latency goals for the first token and between tokens.
var (
	firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.81, 1, 1.5, 2.5, 5, 10, 30}
	interTokenBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.027, 0.035, 0.05, 0.1, 0.25, 1}
)

// Telemetry records the metrics of a node. Its methods are safe for concurrent
// use.
type Telemetry struct {
	*exporter
	counters   counters
	firstToken metric.Float64Histogram
	interToken metric.Float64Histogram
}

type counters struct {
	requests, goodRequests, goodTokens       metric.Int64Counter
	promptTokens, cachedTokens, wastedTokens metric.Int64Counter
	sheds, permits, claims                   metric.Int64Counter
	peerCalls, peerSent, peerReceived        metric.Int64Counter
}

// New returns a Telemetry with its own registry.
func New() (*Telemetry, error) {
	e, err := newExporter()
	if err != nil {
		return nil, err
	}
	t := &Telemetry{exporter: e}
	if err := t.createCounters(); err != nil {
		return nil, err
	}
	if err := t.createHistograms(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Telemetry) createCounters() error {
	c := &t.counters
	definitions := []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&c.requests, "requests", "Requests ended, by tier, service and result."},
		{&c.goodRequests, "goodput.requests", "Requests whose whole answer was delivered, by tier."},
		{&c.goodTokens, "goodput.tokens", "Output tokens of delivered answers, by tier."},
		{&c.promptTokens, "prompt.tokens", "Prompt tokens of dispatched requests, by tier."},
		{&c.cachedTokens, "prompt.cached.tokens", "Prompt tokens found in a target's prefix cache, by tier."},
		{&c.wastedTokens, "prefill.wasted.tokens", "Prefilled prompt tokens of requests whose answer was not delivered, by tier."},
		{&c.sheds, "sheds", "Requests shed, by tier."},
		{&c.permits, "permits", "Permits returned, by result."},
		{&c.claims, "ledger.claims", "Ledger claims answered, by state."},
		{&c.peerCalls, "peer.calls", "Calls between nodes, by method."},
		{&c.peerSent, "peer.sent.bytes", "Payload bytes sent to other nodes, by method."},
		{&c.peerReceived, "peer.received.bytes", "Payload bytes received from other nodes, by method."},
	}
	for _, item := range definitions {
		counter, err := t.meter.Int64Counter("primrosemoor."+item.name, metric.WithDescription(item.description))
		if err != nil {
			return fmt.Errorf("counter %s: %w", item.name, err)
		}
		*item.counter = counter
	}
	return nil
}

func (t *Telemetry) createHistograms() error {
	var err error
	t.firstToken, err = t.meter.Float64Histogram("primrosemoor.first.token",
		metric.WithDescription("Time from a request's arrival to its first token, by tier."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	if err != nil {
		return fmt.Errorf("histogram first.token: %w", err)
	}
	t.interToken, err = t.meter.Float64Histogram("primrosemoor.inter.token",
		metric.WithDescription("Time between tokens, by tier."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(interTokenBounds...))
	if err != nil {
		return fmt.Errorf("histogram inter.token: %w", err)
	}
	return nil
}

// Request describes one request that has ended.
type Request struct {
	Tier    string
	Service string
	// Result is a short name such as "completed" or an error kind.
	Result string
	// Delivered is set if the caller received the whole response.
	Delivered bool
	// Dispatched is set if bytes of the request were sent to a target.
	Dispatched   bool
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	// FirstToken is the time from arrival to the first token, or 0 if there was
	// none.
	FirstToken time.Duration
	// Gaps are the times between successive tokens.
	Gaps []time.Duration
}

// RecordRequest records one request that has ended.
func (t *Telemetry) RecordRequest(r Request) {
	ctx := context.Background()
	tier := t.seriesFor(labels{tier: r.Tier})
	result := t.seriesFor(labels{tier: r.Tier, service: r.Service, result: r.Result})
	t.counters.requests.Add(ctx, 1, result.add...)
	if r.Dispatched {
		t.counters.promptTokens.Add(ctx, int64(r.PromptTokens), tier.add...)
		t.counters.cachedTokens.Add(ctx, int64(r.CachedTokens), tier.add...)
	}
	if r.Delivered {
		t.counters.goodRequests.Add(ctx, 1, tier.add...)
		t.counters.goodTokens.Add(ctx, int64(r.OutputTokens), tier.add...)
	} else if r.Dispatched {
		wasted := r.PromptTokens - min(r.CachedTokens, r.PromptTokens)
		t.counters.wastedTokens.Add(ctx, int64(wasted), tier.add...)
	}
	if r.FirstToken > 0 {
		t.firstToken.Record(ctx, r.FirstToken.Seconds(), tier.record...)
	}
	for _, gap := range r.Gaps {
		t.interToken.Record(ctx, gap.Seconds(), tier.record...)
	}
}

// CountShed counts one shed request of a tier.
func (t *Telemetry) CountShed(tier string) {
	t.counters.sheds.Add(context.Background(), 1, t.seriesFor(labels{tier: tier}).add...)
}

// CountPermit counts one returned permit.
func (t *Telemetry) CountPermit(result schema.PermitResult) {
	t.counters.permits.Add(context.Background(), 1, t.seriesFor(labels{result: result.String()}).add...)
}

// CountClaim counts one answered ledger claim.
func (t *Telemetry) CountClaim(state schema.ClaimState) {
	t.counters.claims.Add(context.Background(), 1, t.seriesFor(labels{state: state.String()}).add...)
}

// CountCall implements peer.Meter.
func (t *Telemetry) CountCall(method schema.Method, sent, received int) {
	ctx := context.Background()
	options := t.seriesFor(labels{method: method.String()}).add
	t.counters.peerCalls.Add(ctx, 1, options...)
	t.counters.peerSent.Add(ctx, int64(sent), options...)
	t.counters.peerReceived.Add(ctx, int64(received), options...)
}
