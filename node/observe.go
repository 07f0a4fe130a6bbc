package node

import (
	"fmt"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// registerMetricCallbacks registers the metrics that are collected at each scrape.
func (p *components) registerMetricCallbacks() error {
	if err := p.Telemetry.ObserveQueues(p.queueDepths); err != nil {
		return fmt.Errorf("observe queues: %w", err)
	}
	store, ok := p.Store.(*objects.HTTP)
	if !ok {
		return nil
	}
	err := p.Telemetry.ObservePlatform(func() telemetry.PlatformUsage {
		return telemetry.PlatformUsage(store.Usage())
	})
	if err != nil {
		return fmt.Errorf("observe the object API: %w", err)
	}
	return nil
}

// queueDepths returns the queue lengths of the owned groups with their service
// and tier.
func (p *components) queueDepths() []telemetry.QueueDepth {
	snapshot := p.Current.Load()
	var depths []telemetry.QueueDepth
	for _, status := range p.Admission.Status() {
		g, ok := snapshot.Group(status.GetId())
		if !ok {
			continue
		}
		for _, tier := range snapshot.Config.GetTiers() {
			if int(tier.GetRank()) >= len(status.GetQueued()) {
				continue
			}
			depths = append(depths, telemetry.QueueDepth{
				Service: g.Service,
				Tier:    tier.GetName(),
				Waiting: int(status.GetQueued()[tier.GetRank()]),
			})
		}
	}
	return depths
}
