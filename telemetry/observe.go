package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// QueueDepth is the number of requests queued in one tier of a service.
type QueueDepth struct {
	Service string
	Tier    string
	Waiting int
}

// ObserveQueues registers a gauge of the queue depths. depths is called at each
// scrape and must not block.
func (t *Telemetry) ObserveQueues(depths func() []QueueDepth) error {
	_, err := t.meter.Int64ObservableGauge("primrosemoor.queue.requests",
		metric.WithDescription("Requests that wait for a permit, by service and tier."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, d := range depths() {
				o.Observe(int64(d.Waiting), t.seriesFor(labels{tier: d.Tier, service: d.Service}).observe...)
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("gauge queue.requests: %w", err)
	}
	return nil
}

// PlatformUsage is the node's use of the object API since the node's start. A
// pending watch counts as one call; bytes are payload.
type PlatformUsage struct {
	Calls         uint64
	BytesSent     uint64
	BytesReceived uint64
}

// ObservePlatform registers counters of the use of the object API. usage is called
// at each scrape and must not block.
func (t *Telemetry) ObservePlatform(usage func() PlatformUsage) error {
	for _, item := range []struct {
		name, description string
		value             func(PlatformUsage) uint64
	}{
		{"platform.calls", "Calls to the object API.", func(u PlatformUsage) uint64 { return u.Calls }},
		{"platform.sent.bytes", "Payload bytes sent to the object API.", func(u PlatformUsage) uint64 { return u.BytesSent }},
		{"platform.received.bytes", "Payload bytes received from the object API.", func(u PlatformUsage) uint64 { return u.BytesReceived }},
	} {
		_, err := t.meter.Int64ObservableCounter("primrosemoor."+item.name, metric.WithDescription(item.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(int64(item.value(usage())))
				return nil
			}))
		if err != nil {
			return fmt.Errorf("counter %s: %w", item.name, err)
		}
	}
	return nil
}
