package entry

import (
	"math"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// pacePercent is the number of units of mesh.TargetReport.PacePercent in the usual pace.
const pacePercent = 100

// targetLoads passes the loads that targets report to the balancer and the owner of the
// zone. It implements gateway.TargetLoads.
type targetLoads struct{ *owner.Manager }

// RecordLoad implements gateway.TargetLoads.
func (l targetLoads) RecordLoad(target string, load gateway.TargetLoad) {
	l.Manager.RecordLoad(target, loadreport.Load(load))
}

// encodeTargetReport returns a report as other nodes are told it. A node that does not own its
// zone may not know what the others of a large zone have sent, and would report that as the
// requests of others.
func encodeTargetReport(r loadreport.Report, ownsZone bool) mesh.TargetReport {
	// Beyond its bounds a pace counts as these.
	pace := math.Round(min(r.Pace, loadreport.MaxPace) * pacePercent)
	report := mesh.TargetReport{PacePercent: int(pace), At: r.At}
	if ownsZone {
		report.Extra = r.Extra
	}
	return report
}

func decodeTargetReport(r mesh.TargetReport) loadreport.Report {
	return loadreport.Report{Pace: float64(r.PacePercent) / pacePercent, Extra: r.Extra, At: r.At}
}

func (l *lifecycle) pace() []telemetry.Gauge {
	return l.poolGauges(func(p balance.PoolStatus) float64 { return p.Pace })
}

func (l *lifecycle) extra() []telemetry.Gauge {
	return l.poolGauges(func(p balance.PoolStatus) float64 { return float64(p.Extra) })
}

func (l *lifecycle) memoryTokens() []telemetry.Gauge {
	return l.poolGauges(func(p balance.PoolStatus) float64 { return p.MemoryTokens })
}

// poolGauges returns a figure of each service.
func (l *lifecycle) poolGauges(value func(balance.PoolStatus) float64) (gauges []telemetry.Gauge) {
	for _, p := range l.poolStatus() {
		gauges = append(gauges, telemetry.Gauge{Service: p.Service, Tier: -1, Value: value(p)})
	}
	return gauges
}
