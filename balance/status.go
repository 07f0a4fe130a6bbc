package balance

import (
	"context"
	"time"
)

// PoolStatus is the current state of one service.
type PoolStatus struct {
	Service string
	// Slots counts the slots of the available targets, InUse the requests of all
	// nodes in flight there.
	Slots, InUse int
	// Pace is the mean factor by which the available targets are slower than learned, as
	// they report, and Extra counts the requests of other sources there. MemoryTokens are
	// the tokens of the requests of all nodes there.
	Pace         float64
	Extra        int
	MemoryTokens float64
	Targets      []TargetStatus
	// Waiting counts this node's waiting requests by tier.
	Waiting map[int]int
}

// TargetStatus is the current state of one target.
type TargetStatus struct {
	ID       string
	Version  string
	Draining bool
	// Load is the load from all nodes.
	Load Load
}

// Status returns the current state of all services, or nil if ctx or the
// manager ends first.
func (m *Manager) Status(ctx context.Context) []PoolStatus {
	reply := make(chan []PoolStatus, 1)
	m.submit(statusRequested{reply})
	select {
	case s := <-reply:
		return s
	case <-m.done:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// statusRequested asks for the current state.
type statusRequested struct{ reply chan []PoolStatus }

func (e statusRequested) apply(m *Manager, now time.Time) {
	var list []PoolStatus
	for _, p := range m.pools {
		s := PoolStatus{Service: p.name, Waiting: make(map[int]int)}
		available := 0
		for _, t := range p.targets {
			s.Targets = append(s.Targets, TargetStatus{ID: t.ID, Version: t.Version, Draining: t.leaves(), Load: t.load()})
			if !t.leaves() && !t.health.inBackoff(now) {
				s.Slots += t.Slots
				s.InUse += t.load().Requests
				s.Extra += t.reports.Extra(now, t.Slots)
				s.MemoryTokens += t.load().MemoryTokens
				available++
				s.Pace += (t.reports.Factor(now, 0) - s.Pace) / float64(available)
			}
		}
		for _, w := range p.waiting {
			s.Waiting[w.work.Tier]++
		}
		list = append(list, s)
	}
	e.reply <- list
}
