package telemetry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// latencyBounds are the bucket boundaries of the latency histograms of an entry
// node, in seconds. They are dense around the latency goals of plain calls and of
// the first events of streams.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2.5, 5, 10, 30}

// EntryMetrics records the metrics of an entry node. Its methods are safe for
// concurrent use.
type EntryMetrics struct {
	*exporter
	requests, dispatches, retries   metric.Int64Counter
	storeCalls, dials, droppedLines metric.Int64Counter
	callersClosed, returned, copies metric.Int64Counter
	firstResponse, queueTime        metric.Float64Histogram
}

// NewEntryMetrics returns an EntryMetrics with its own registry.
func NewEntryMetrics() (*EntryMetrics, error) {
	e, err := newExporter()
	if err != nil {
		return nil, err
	}
	t := &EntryMetrics{exporter: e}
	for _, c := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&t.requests, "entry.requests", "Requests ended, by kind of route, service, tier, status and cause."},
		{&t.dispatches, "entry.placed", "Requests given to a target, by service and tier."},
		{&t.retries, "entry.sent.again", "Requests sent to a further target, by service."},
		{&t.storeCalls, "store.calls", "Calls to the platform's store, by call and status; 0 is no answer."},
		{&t.dials, "upstream.connections", "New connections to targets."},
		{&t.droppedLines, "log.dropped.lines", "Log lines that were not written, by event."},
		{&t.returned, "limits.returned", "What was charged to teams and refunded as no target ran the request, by service and tier, in the limits' units."},
		{&t.copies, "entry.copies", "Second copies of slow requests, by service and what became of them; each is counted as sent, too."},
		{&t.callersClosed, "callers.closed", "Connections of callers that this node closed, by reason."},
	} {
		if *c.counter, err = e.meter.Int64Counter(namePrefix+c.name, metric.WithDescription(c.description)); err != nil {
			return nil, fmt.Errorf("counter %s: %w", c.name, err)
		}
	}
	for _, h := range []struct {
		histogram         *metric.Float64Histogram
		name, description string
	}{
		{&t.firstResponse, "entry.first", "Time from a request's arrival to its answer, or a stream's first event, by kind, service and tier."},
		{&t.queueTime, "entry.waited", "Time from a request's arrival until it got a target, by service and tier."},
	} {
		*h.histogram, err = e.meter.Float64Histogram(namePrefix+h.name, metric.WithDescription(h.description),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			return nil, fmt.Errorf("histogram %s: %w", h.name, err)
		}
	}
	return t, nil
}

// EndedRequest describes one request that has ended.
type EndedRequest struct {
	Kind, Service, Cause string
	Tier, Status         int
	// FirstResponse is the time from the arrival to the response or to the first
	// event of a stream, or 0 if there was none.
	FirstResponse time.Duration
	// Returned is what was refunded to the request's team, as no target ran it.
	Returned float64
}

// RequestEnded records one request that has ended.
func (t *EntryMetrics) RequestEnded(r EndedRequest) {
	tier := strconv.Itoa(r.Tier)
	result := t.seriesFor(labels{kind: r.Kind, service: r.Service, tier: tier, state: strconv.Itoa(r.Status), cause: r.Cause})
	t.requests.Add(context.Background(), 1, result.add...)
	if r.Returned > 0 {
		t.returned.Add(context.Background(), int64(r.Returned), t.seriesFor(labels{service: r.Service, tier: tier}).add...)
	}
	if r.FirstResponse > 0 {
		t.firstResponse.Record(context.Background(), r.FirstResponse.Seconds(), t.seriesFor(labels{kind: r.Kind, service: r.Service, tier: tier}).record...)
	}
}

// RequestDispatched records one request that was assigned to a target, and the
// time since its arrival.
func (t *EntryMetrics) RequestDispatched(service string, tier int, waited time.Duration) {
	s := t.seriesFor(labels{service: service, tier: strconv.Itoa(tier)})
	t.dispatches.Add(context.Background(), 1, s.add...)
	t.queueTime.Record(context.Background(), waited.Seconds(), s.record...)
}

// RequestRetried counts one request that was retried at another target.
func (t *EntryMetrics) RequestRetried(service string) {
	t.retries.Add(context.Background(), 1, t.seriesFor(labels{service: service}).add...)
}

// CopyCounted counts one second copy of a slow request that was sent or has ended.
func (t *EntryMetrics) CopyCounted(service, outcome string) {
	t.copies.Add(context.Background(), 1, t.seriesFor(labels{service: service, state: outcome}).add...)
}

// StoreCall counts one call to the platform's store; a status of 0 means that there
// was no response.
func (t *EntryMetrics) StoreCall(call string, status int) {
	t.storeCalls.Add(context.Background(), 1, t.seriesFor(labels{call: call, state: strconv.Itoa(status)}).add...)
}

// Dialed counts one new connection to a target.
func (t *EntryMetrics) Dialed() {
	t.dials.Add(context.Background(), 1)
}

// CallerClosed counts one connection of a caller that this node closed.
func (t *EntryMetrics) CallerClosed(reason string) {
	t.callersClosed.Add(context.Background(), 1, t.seriesFor(labels{cause: reason}).add...)
}

// LinesDropped counts log lines that were not written.
func (t *EntryMetrics) LinesDropped(event string, lines int) {
	t.droppedLines.Add(context.Background(), int64(lines), t.seriesFor(labels{event: event}).add...)
}

// Gauge is the current value of one series of a gauge, with the labels of the series.
type Gauge struct {
	Service string
	// Tier is omitted from the labels if it is negative.
	Tier  int
	Value float64
}

// ObserveGauge registers a gauge. values is called at each scrape and must not
// block.
func (t *EntryMetrics) ObserveGauge(name, description string, values func() []Gauge) error {
	_, err := t.meter.Float64ObservableGauge(namePrefix+name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, g := range values() {
				l := labels{service: g.Service}
				if g.Tier >= 0 {
					l.tier = strconv.Itoa(g.Tier)
				}
				o.Observe(g.Value, t.seriesFor(l).observe...)
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("gauge %s: %w", name, err)
	}
	return nil
}
