package telemetry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// latencyBounds are the bounds of the entry's latency histograms in seconds:
// dense around the goals of plain calls and of first events.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2.5, 5, 10, 30}

// Entry records the measures of an entry node. Its methods may be called by any
// goroutine.
type Entry struct {
	*exporter
	requests, placed, sentAgain     metric.Int64Counter
	storeCalls, dials, droppedLines metric.Int64Counter
	first, waited                   metric.Float64Histogram
}

// NewEntry returns an Entry with its own registry.
func NewEntry() (*Entry, error) {
	e, err := newExporter()
	if err != nil {
		return nil, err
	}
	t := &Entry{exporter: e}
	for _, c := range []struct {
		counter     *metric.Int64Counter
		name, usage string
	}{
		{&t.requests, "entry.requests", "Requests ended, by kind of route, service, tier, status and cause."},
		{&t.placed, "entry.placed", "Requests given to a target, by service and tier."},
		{&t.sentAgain, "entry.sent.again", "Requests sent to a further target, by service."},
		{&t.storeCalls, "store.calls", "Calls to the platform's store, by call and status; 0 is no answer."},
		{&t.dials, "upstream.connections", "New connections to targets."},
		{&t.droppedLines, "log.dropped.lines", "Log lines that were not written, by event."},
	} {
		if *c.counter, err = e.meter.Int64Counter(prefix+c.name, metric.WithDescription(c.usage)); err != nil {
			return nil, fmt.Errorf("counter %s: %w", c.name, err)
		}
	}
	for _, h := range []struct {
		histogram   *metric.Float64Histogram
		name, usage string
	}{
		{&t.first, "entry.first", "Time from a request's arrival to its answer, or a stream's first event, by kind, service and tier."},
		{&t.waited, "entry.waited", "Time from a request's arrival until it got a target, by service and tier."},
	} {
		*h.histogram, err = e.meter.Float64Histogram(prefix+h.name, metric.WithDescription(h.usage),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			return nil, fmt.Errorf("histogram %s: %w", h.name, err)
		}
	}
	return t, nil
}

// Ended is one request that has ended.
type Ended struct {
	Kind, Service, Cause string
	Tier, Status         int
	// First is the time to the answer or the first event; 0 if there was none.
	First time.Duration
}

// RequestEnded adds one ended request.
func (t *Entry) RequestEnded(r Ended) {
	tier := strconv.Itoa(r.Tier)
	ended := t.with(labels{kind: r.Kind, service: r.Service, tier: tier, state: strconv.Itoa(r.Status), cause: r.Cause})
	t.requests.Add(context.Background(), 1, ended.add...)
	if r.First > 0 {
		t.first.Record(context.Background(), r.First.Seconds(), t.with(labels{kind: r.Kind, service: r.Service, tier: tier}).record...)
	}
}

// RequestPlaced adds one request that got a target after a wait.
func (t *Entry) RequestPlaced(service string, tier int, waited time.Duration) {
	s := t.with(labels{service: service, tier: strconv.Itoa(tier)})
	t.placed.Add(context.Background(), 1, s.add...)
	t.waited.Record(context.Background(), waited.Seconds(), s.record...)
}

// SentAgain adds one request that went to a further target.
func (t *Entry) SentAgain(service string) {
	t.sentAgain.Add(context.Background(), 1, t.with(labels{service: service}).add...)
}

// StoreCall adds one call to the platform's store; a status of 0 is no answer.
func (t *Entry) StoreCall(call string, status int) {
	t.storeCalls.Add(context.Background(), 1, t.with(labels{call: call, state: strconv.Itoa(status)}).add...)
}

// Dialed adds one new connection to a target.
func (t *Entry) Dialed() {
	t.dials.Add(context.Background(), 1)
}

// LinesDropped adds log lines that were not written.
func (t *Entry) LinesDropped(event string, lines int) {
	t.droppedLines.Add(context.Background(), int64(lines), t.with(labels{event: event}).add...)
}

// Gauge is one present value with the labels it is kept under.
type Gauge struct {
	Service string
	// Tier is left out if it is negative.
	Tier  int
	Value float64
}

// ObserveGauge reports present values at each scrape; values must not block.
func (t *Entry) ObserveGauge(name, usage string, values func() []Gauge) error {
	_, err := t.meter.Float64ObservableGauge(prefix+name, metric.WithDescription(usage),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, g := range values() {
				l := labels{service: g.Service}
				if g.Tier >= 0 {
					l.tier = strconv.Itoa(g.Tier)
				}
				o.Observe(g.Value, t.with(l).observe...)
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("gauge %s: %w", name, err)
	}
	return nil
}
