package node

import (
	"fmt"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// observe connects the meters that are read at each scrape.
func (p *parts) observe() error {
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

// queueDepths sums the queues of the owned groups by service and tier.
func (p *parts) queueDepths() []telemetry.QueueDepth {
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
