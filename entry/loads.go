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

func encodeTargetReport(r loadreport.Report) mesh.TargetReport {
	// Beyond its bounds a pace counts as these.
	pace := math.Round(min(r.Pace, loadreport.MaxPace) * pacePercent)
	return mesh.TargetReport{PacePercent: int(pace), Extra: r.Extra, At: r.At}
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
