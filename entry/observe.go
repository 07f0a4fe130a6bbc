package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// statusTimeout bounds the time to read the pool status for one gauge.
const statusTimeout = 200 * time.Millisecond

// serveMetrics registers the gauges, and serves the metrics if listen.metrics is
// set.
func (l *lifecycle) serveMetrics() error {
	l.metricsServer = &http.Server{Handler: l.Metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	if err := l.registerGauges(); err != nil {
		return err
	}
	address := l.Settings.GetListen().GetMetrics()
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen.metrics: %w", err)
	}
	l.serve(func() error { return l.metricsServer.Serve(listener) }, listener.Addr())
	return nil
}

// registerGauges registers the gauges that are read at each scrape.
func (l *lifecycle) registerGauges() error {
	for _, g := range []struct {
		name, description string
		values            func() []telemetry.Gauge
	}{
		{"callers.connections", "Connections of callers.", l.callerConnections},
		{"callers.head.bytes", "What the heads of requests take of their budget.", l.headBytes},
		{"callers.body.bytes", "What the bodies of requests take of their budget.", l.bodyBytes},
		{"configuration.proof.age.seconds", "Time since the configuration was known to be the newest.", l.proofAge},
		{"configuration.version", "Version of the configuration in force.", l.configVersion},
		{"peers.silent.share", "Share of the nodes that is not heard of.", l.silentShare},
		{"queue.waiting", "Requests that wait at this node, by service and tier.", l.queued},
		{"rollout.phase", "Phase of the rollout of a service: 0 is ordered, 1 trial, 2 shifting, 3 completed, 4 reverted.", l.rolloutPhases},
		{"rollout.responses", "Responses of the new version at all nodes since the order, by service.", l.rolloutResponses},
		{"rollout.bad.responses", "Failures and slow responses among them.", l.rolloutBad},
		{"store.era", "How often the store has come back from an older copy, as it counts.", l.storeEra},
		{"targets.slots", "Slots of the targets that may be used, by service.", l.slots},
		{"targets.taken", "Requests that all nodes have outstanding at those targets, by service.", l.inFlight},
		{"targets.pace", "Mean factor by which those targets are slower than learned, as they report, by service.", l.pace},
		{"targets.extra", "Requests of other sources at those targets, as these report, by service.", l.extra},
		{"targets.memory.tokens", "Tokens of the requests that all nodes have outstanding at those targets, by service.", l.memoryTokens},
	} {
		if err := l.Metrics.ObserveGauge(g.name, g.description, g.values); err != nil {
			return err
		}
	}
	return nil
}

func (l *lifecycle) callerConnections() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: float64(l.callers.Len())}}
}

func (l *lifecycle) headBytes() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: float64(l.callers.HeadBytesUsed())}}
}

func (l *lifecycle) bodyBytes() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: float64(l.Gateway.BodyBytesUsed())}}
}

func (l *lifecycle) proofAge() []telemetry.Gauge {
	if _, age, ok := l.Datastore.Proof(); ok {
		return []telemetry.Gauge{{Tier: -1, Value: age.Seconds()}}
	}
	return nil
}

func (l *lifecycle) configVersion() []telemetry.Gauge {
	if table := l.Datastore.Table(); table != nil {
		return []telemetry.Gauge{{Tier: -1, Value: float64(table.Config.Version)}}
	}
	return nil
}

func (l *lifecycle) storeEra() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: float64(l.Datastore.Era())}}
}

func (l *lifecycle) silentShare() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: l.Allowance.SilentShare()}}
}

func (l *lifecycle) queued() (gauges []telemetry.Gauge) {
	for _, p := range l.poolStatus() {
		for tier, waiting := range p.Waiting {
			gauges = append(gauges, telemetry.Gauge{Service: p.Service, Tier: tier, Value: float64(waiting)})
		}
	}
	return gauges
}

func (l *lifecycle) slots() (gauges []telemetry.Gauge) {
	for _, p := range l.poolStatus() {
		gauges = append(gauges, telemetry.Gauge{Service: p.Service, Tier: -1, Value: float64(p.Slots)})
	}
	return gauges
}

func (l *lifecycle) inFlight() (gauges []telemetry.Gauge) {
	for _, p := range l.poolStatus() {
		gauges = append(gauges, telemetry.Gauge{Service: p.Service, Tier: -1, Value: float64(p.InUse)})
	}
	return gauges
}

func (l *lifecycle) poolStatus() []balance.PoolStatus {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return l.Balancer.Status(ctx)
}
