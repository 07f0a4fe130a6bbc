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

// statusTimeout bounds the reading of one gauge.
const statusTimeout = 200 * time.Millisecond

// serveMetrics serves the measures if the settings name an address for them.
func (l *lifecycle) serveMetrics() error {
	l.metrics = &http.Server{Handler: l.Metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	if err := l.observe(); err != nil {
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
	l.serve(l.metrics, listener)
	return nil
}

// observe registers the gauges.
func (l *lifecycle) observe() error {
	for _, g := range []struct {
		name, usage string
		values      func() []telemetry.Gauge
	}{
		{"configuration.proof.age.seconds", "Time since the configuration was known to be the newest.", l.proofAge},
		{"configuration.version", "Version of the configuration in force.", l.version},
		{"peers.silent.share", "Share of the nodes that is not heard of.", l.silentShare},
		{"queue.waiting", "Requests that wait at this node, by service and tier.", l.waiting},
		{"targets.slots", "Slots of the targets that may be used, by service.", l.slots},
		{"targets.taken", "Requests that all nodes have outstanding at those targets, by service.", l.taken},
	} {
		if err := l.Metrics.ObserveGauge(g.name, g.usage, g.values); err != nil {
			return err
		}
	}
	return nil
}

func (l *lifecycle) proofAge() []telemetry.Gauge {
	if _, age, ok := l.Datastore.Proof(); ok {
		return []telemetry.Gauge{{Tier: -1, Value: age.Seconds()}}
	}
	return nil
}

func (l *lifecycle) version() []telemetry.Gauge {
	if table := l.Datastore.Table(); table != nil {
		return []telemetry.Gauge{{Tier: -1, Value: float64(table.Config.Version)}}
	}
	return nil
}

func (l *lifecycle) silentShare() []telemetry.Gauge {
	return []telemetry.Gauge{{Tier: -1, Value: l.Allowance.SilentShare()}}
}

func (l *lifecycle) waiting() (list []telemetry.Gauge) {
	for _, p := range l.status() {
		for tier, waiting := range p.Waiting {
			list = append(list, telemetry.Gauge{Service: p.Service, Tier: tier, Value: float64(waiting)})
		}
	}
	return list
}

func (l *lifecycle) slots() (list []telemetry.Gauge) {
	for _, p := range l.status() {
		list = append(list, telemetry.Gauge{Service: p.Service, Tier: -1, Value: float64(p.Slots)})
	}
	return list
}

func (l *lifecycle) taken() (list []telemetry.Gauge) {
	for _, p := range l.status() {
		list = append(list, telemetry.Gauge{Service: p.Service, Tier: -1, Value: float64(p.Taken)})
	}
	return list
}

func (l *lifecycle) status() []balance.PoolStatus {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return l.Balancer.Status(ctx)
}
