package admission

import (
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Adopt counts permits that a group's previous owner granted and that an entry
// still uses, so that the targets are not overcommitted after a takeover.
// Permits that are known already are left as they are.
func (o *Owner) Adopt(now time.Time, h *schema.HandoverRequest) {
	g, ok := o.groups[h.GetGroup()]
	if !ok {
		return
	}
	for _, state := range h.GetTargets() {
		t, ok := o.targets[state.GetName()]
		if !ok {
			continue
		}
		for _, p := range state.GetPermits() {
			g.adopt(now, t, p)
		}
	}
}

func (g *group) adopt(now time.Time, t *target, in *schema.OutstandingPermit) {
	if _, known := g.permits[in.GetNumber()]; known {
		return
	}
	p := &permit{
		number:    in.GetNumber(),
		requestID: in.GetRequestId(),
		target:    t,
		rank:      in.GetTier(),
		cost:      in.GetTokens(),
		granted:   now.Add(-in.GetAge().AsDuration()),
		expires:   now.Add(minExpiry),
		adopted:   true,
	}
	g.permits[p.number] = p
	t.inFlight++
	t.tokens += p.cost
}

// Adopt takes over permits that an entry still uses.
func (m *Manager) Adopt(h *schema.HandoverRequest) {
	m.send(func(now time.Time) { m.owner.Adopt(now, h) })
}
