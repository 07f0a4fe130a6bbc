package entry

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// maxSilentShare is the greatest share of silent nodes with which a node follows the orders and
// decides. One that hears fewer is cut off: it would decide from a part of the outcomes.
const maxSilentShare = 0.5

// newRollouts returns nil if the settings do not bound the exposure to bad versions: rollouts
// are then not followed.
func newRollouts(s *schema.GatewaySettings, f *forwarder, id peer.Identity, logger *log.Logger) *rollout.Manager {
	bounds := s.GetBounds()
	if bounds.GetExposureShare() <= 0 || bounds.GetRollback().AsDuration() <= 0 {
		return nil
	}
	f.rollouts = rollout.New(rollout.Options{
		Zone: id.AvailabilityZone, Process: mesh.ProcessName(id), Bound: bounds.GetExposureShare(), Logger: logger, Now: clock.Now,
		OnChanged: func() { f.mesh.RolloutsChanged() },
	})
	return f.rollouts
}

func newDecider(f *forwarder, rollouts *rollout.Manager, store *platform.Store, logger *log.Logger) *rollout.Decider {
	if rollouts == nil {
		return nil
	}
	return &rollout.Decider{
		Manager: rollouts, Source: store.Rollouts(), Write: store.WriteRollout, Logger: logger,
		Reads: func() bool { return f.mesh.ReadsForAll() && f.allowance.SilentShare() <= maxSilentShare },
		Running: func(service, version string) int {
			ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
			defer cancel()
			return runningAtOthers(f.balancer.Status(ctx), service, version)
		},
	}
}

// runningAtOthers counts the requests at targets of a service that do not have the version;
// it is positive if that is not known.
func runningAtOthers(pools []balance.PoolStatus, service, version string) int {
	if pools == nil {
		return 1
	}
	running := 0
	for _, p := range pools {
		for _, t := range p.Targets {
			if p.Service == service && t.Version != version {
				running += t.Load.Requests
			}
		}
	}
	return running
}

// rolloutRelay returns a nil interface without rollouts.
func rolloutRelay(rollouts *rollout.Manager) mesh.RolloutRelay {
	if rollouts == nil {
		return nil
	}
	return rollouts
}

// withRollouts keeps requests to the versions that rollouts allow.
func withRollouts(rollouts *rollout.Manager, next *owner.Manager) gateway.Balancer {
	if rollouts == nil {
		return next
	}
	return &rollout.Balancer{Manager: rollouts, Next: next}
}

// runRollouts follows the rollouts until ctx ends.
func (l *lifecycle) runRollouts(ctx context.Context) {
	if l.Rollouts == nil {
		return
	}
	var running sync.WaitGroup
	running.Go(func() { l.Rollouts.Run(ctx) })
	l.Decider.Run(ctx)
	running.Wait()
}

// rolloutGauges returns a gauge of each rollout.
func (l *lifecycle) rolloutGauges(value func(rollout.State) float64) (gauges []telemetry.Gauge) {
	if l.Rollouts == nil {
		return nil
	}
	for _, s := range l.Rollouts.States() {
		gauges = append(gauges, telemetry.Gauge{Service: s.Service, Tier: -1, Value: value(s)})
	}
	return gauges
}

func (l *lifecycle) rolloutPhases() []telemetry.Gauge {
	return l.rolloutGauges(func(s rollout.State) float64 { return float64(s.Phase) })
}

func (l *lifecycle) rolloutResponses() []telemetry.Gauge {
	return l.rolloutGauges(func(s rollout.State) float64 { return float64(s.After.Responses) })
}

func (l *lifecycle) rolloutBad() []telemetry.Gauge {
	return l.rolloutGauges(func(s rollout.State) float64 { return float64(s.After.Failures + s.After.Slow) })
}
