package owner

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/schema"
)

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// outbox batches outgoing messages: everything added before the next send goes
// out as one OwnerCall.
type outbox struct {
	// ready holds a value while the outbox is not empty.
	ready chan struct{}

	mu        sync.Mutex
	acquires  []queuedAcquire
	withdrawn []uint64
	reports   []*schema.OwnerReport
	signals   []*schema.OwnerSignal
	// linksLost lists services whose targets this node no longer reaches.
	linksLost []string
}

// queuedAcquire is a request for a target that has not been sent yet.
type queuedAcquire struct {
	number uint64
	work   *balance.Work
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (o *outbox) update(change func()) {
	o.mu.Lock()
	change()
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

func (o *outbox) addAcquire(number uint64, w *balance.Work) {
	o.update(func() { o.acquires = append(o.acquires, queuedAcquire{number, w}) })
}

func (o *outbox) addWithdrawal(number uint64) {
	o.update(func() { o.withdrawn = append(o.withdrawn, number) })
}

func (o *outbox) addReport(r *schema.OwnerReport) {
	o.update(func() { o.reports = append(o.reports, r) })
}

func (o *outbox) addSignals(signals ...balance.Signal) {
	if len(signals) == 0 {
		return
	}
	o.update(func() {
		for _, s := range signals {
			o.signals = append(o.signals, encodeSignal(s))
		}
	})
}

func (o *outbox) addLinksLost(service string) {
	o.update(func() { o.linksLost = append(o.linksLost, service) })
}

// take empties the outbox and returns its contents as one message. Times are
// encoded relative to the time of the call.
func (o *outbox) take() *schema.OwnerCall {
	o.mu.Lock()
	acquires := o.acquires
	c := &schema.OwnerCall{Withdrawn: o.withdrawn, Reports: o.reports, Signals: o.signals, LinksLost: len(o.linksLost) > 0, LinksLostServices: o.linksLost}
	o.acquires, o.withdrawn, o.reports, o.signals, o.linksLost = nil, nil, nil, nil, nil
	o.mu.Unlock()
	now := time.Now()
	for _, a := range acquires {
		c.Asks = append(c.Asks, encodeAcquire(a.number, a.work, now))
	}
	return c
}

func encodeAcquire(number uint64, w *balance.Work, now time.Time) *schema.OwnerAsk {
	return &schema.OwnerAsk{
		Number: number, Request: w.ID, Service: w.Service, Tier: uint32(w.Tier), Rank: uint32(w.Rank), Route: w.Route,
		PromptTokens: w.PromptTokens, HintTokens: w.EstimatedOutputTokens,
		ArrivedMicros: w.Arrived.Sub(now).Microseconds(), GoalMicros: w.Goal.Sub(now).Microseconds(),
		PatienceMicros: w.Patience.Sub(now).Microseconds(), EndMicros: w.End.Sub(now).Microseconds(),
		Tried: w.Tried, Version: w.Version, Team: w.Team, BarredVersions: w.Barred,
		NoWait: w.NoWait, MaxInUsePercent: uint32(100 * w.MaxInUse),
	}
}

// decodeWork returns the request that a node asks a target for.
func decodeWork(a *schema.OwnerAsk, node string, now time.Time) *balance.Work {
	return &balance.Work{
		Node: node,
		ID:   a.GetRequest(), Service: a.GetService(), Tier: int(a.GetTier()), Rank: int(a.GetRank()), Route: a.GetRoute(),
		PromptTokens: a.GetPromptTokens(), EstimatedOutputTokens: a.GetHintTokens(),
		Arrived: now.Add(micros(a.GetArrivedMicros())), Goal: now.Add(micros(a.GetGoalMicros())),
		Patience: now.Add(micros(a.GetPatienceMicros())), End: now.Add(micros(a.GetEndMicros())),
		Tried: a.GetTried(), Version: a.GetVersion(), Team: a.GetTeam(), Barred: a.GetBarredVersions(),
		NoWait: a.GetNoWait(), MaxInUse: float64(a.GetMaxInUsePercent()) / 100,
	}
}

func encodeSignal(s balance.Signal) *schema.OwnerSignal {
	return &schema.OwnerSignal{Target: s.Target, Started: s.Started, Leaving: s.Leaving, PauseMicros: s.Pause.Microseconds()}
}

func decodeSignal(s *schema.OwnerSignal) balance.Signal {
	return balance.Signal{Target: s.GetTarget(), Started: s.GetStarted(), Leaving: s.GetLeaving(), Pause: micros(s.GetPauseMicros())}
}

func encodeSample(s balance.Sample) *schema.OwnerReport {
	return &schema.OwnerReport{
		Pauses: uint32(s.Gaps), ShortestMicros: s.ShortestSpan.Microseconds(), TotalMicros: s.Total.Microseconds(),
	}
}

func decodeSample(r *schema.OwnerReport) balance.Sample {
	return balance.Sample{
		Gaps: int(r.GetPauses()), ShortestSpan: micros(r.GetShortestMicros()), Total: micros(r.GetTotalMicros()),
	}
}

func encodeGrant(number uint64, g *balance.Grant) *schema.OwnerGrant {
	return &schema.OwnerGrant{
		Number: number, Target: g.Target.ID, Service: g.Target.Service, Address: g.Target.Address, Zone: g.Target.Zone,
		Started: g.Target.Started, Version: g.Target.Version, ExpectedMicros: g.Prediction.Expected.Microseconds(),
		Requests: uint32(g.Prediction.Load.Requests), PromptTokens: g.Prediction.Load.PromptTokens, StepMicros: g.Prediction.Step.Microseconds(),
		PacePercent: uint32(g.Prediction.Pace * percent), ExtraRequests: uint32(g.Prediction.Extra),
	}
}

func decodePrediction(g *schema.OwnerGrant) balance.Prediction {
	return balance.Prediction{
		Expected: micros(g.GetExpectedMicros()), Step: micros(g.GetStepMicros()),
		Load: balance.Load{Requests: int(g.GetRequests()), PromptTokens: g.GetPromptTokens()},
		Pace: float64(g.GetPacePercent()) / percent, Extra: int(g.GetExtraRequests()),
	}
}

// decodeTarget returns the target as the owner described it in the grant.
func decodeTarget(g *schema.OwnerGrant) *catalog.Target {
	return &catalog.Target{
		ID: g.GetTarget(), Service: g.GetService(), Address: g.GetAddress(), Zone: g.GetZone(), Started: g.GetStarted(),
		Version: g.GetVersion(),
	}
}
