package owner

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/schema"
)

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// outbox collects what is to be sent, so that what comes together goes in one
// message.
type outbox struct {
	// ready has a value while there is something to send.
	ready chan struct{}

	mu        sync.Mutex
	asks      []pending
	withdrawn []uint64
	reports   []*schema.OwnerReport
}

// pending is an ask that was not sent yet.
type pending struct {
	number uint64
	work   *balance.Work
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (o *outbox) add(change func()) {
	o.mu.Lock()
	change()
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

func (o *outbox) ask(number uint64, w *balance.Work) {
	o.add(func() { o.asks = append(o.asks, pending{number, w}) })
}

func (o *outbox) withdraw(number uint64) {
	o.add(func() { o.withdrawn = append(o.withdrawn, number) })
}

func (o *outbox) report(r *schema.OwnerReport) {
	o.add(func() { o.reports = append(o.reports, r) })
}

// call returns all that is to be sent.
func (o *outbox) call() *schema.OwnerCall {
	o.mu.Lock()
	asks := o.asks
	c := &schema.OwnerCall{Withdrawn: o.withdrawn, Reports: o.reports}
	o.asks, o.withdrawn, o.reports = nil, nil, nil
	o.mu.Unlock()
	now := time.Now()
	for _, p := range asks {
		c.Asks = append(c.Asks, askOf(p.number, p.work, now))
	}
	return c
}

func askOf(number uint64, w *balance.Work, now time.Time) *schema.OwnerAsk {
	return &schema.OwnerAsk{
		Number: number, Request: w.ID, Service: w.Service, Tier: uint32(w.Tier), Rank: uint32(w.Rank), Route: w.Route,
		PromptTokens: w.PromptTokens, HintTokens: w.HintTokens,
		ArrivedMicros: w.Arrived.Sub(now).Microseconds(), GoalMicros: w.Goal.Sub(now).Microseconds(),
		PatienceMicros: w.Patience.Sub(now).Microseconds(), EndMicros: w.End.Sub(now).Microseconds(),
		Tried: w.Tried,
	}
}

func workOf(a *schema.OwnerAsk, now time.Time) *balance.Work {
	return &balance.Work{
		ID: a.GetRequest(), Service: a.GetService(), Tier: int(a.GetTier()), Rank: int(a.GetRank()), Route: a.GetRoute(),
		PromptTokens: a.GetPromptTokens(), HintTokens: a.GetHintTokens(),
		Arrived: now.Add(micros(a.GetArrivedMicros())), Goal: now.Add(micros(a.GetGoalMicros())),
		Patience: now.Add(micros(a.GetPatienceMicros())), End: now.Add(micros(a.GetEndMicros())),
		Tried: a.GetTried(),
	}
}

func reportOf(s balance.Sample) *schema.OwnerReport {
	return &schema.OwnerReport{
		Pauses: uint32(s.Pauses), ShortestMicros: s.Shortest.Microseconds(), TotalMicros: s.Total.Microseconds(),
	}
}

func sampleOf(r *schema.OwnerReport) balance.Sample {
	return balance.Sample{
		Pauses: int(r.GetPauses()), Shortest: micros(r.GetShortestMicros()), Total: micros(r.GetTotalMicros()),
	}
}

func grantOf(number uint64, g *balance.Grant) *schema.OwnerGrant {
	return &schema.OwnerGrant{
		Number: number, Target: g.Target.ID, Service: g.Target.Service, Address: g.Target.Address, Zone: g.Target.Zone,
		Started: g.Target.Started, ExpectedMicros: g.Seen.Expected.Microseconds(),
		Requests: uint32(g.Seen.Load.Requests), PromptTokens: g.Seen.Load.PromptTokens, StepMicros: g.Seen.Step.Microseconds(),
	}
}

func seenOf(g *schema.OwnerGrant) balance.Seen {
	return balance.Seen{
		Expected: micros(g.GetExpectedMicros()), Step: micros(g.GetStepMicros()),
		Load: balance.Load{Requests: int(g.GetRequests()), PromptTokens: g.GetPromptTokens()},
	}
}

// targetOf returns the target as the owner knows it.
func targetOf(g *schema.OwnerGrant) *catalog.Target {
	return &catalog.Target{
		ID: g.GetTarget(), Service: g.GetService(), Address: g.GetAddress(), Zone: g.GetZone(), Started: g.GetStarted(),
	}
}
