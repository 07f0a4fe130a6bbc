package admission

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// handoverRetention is how long a handover is kept for a group that this node
// does not own yet.
const handoverRetention = 30 * time.Second

// handover is the state of a group, received before the topology made this node
// the group's owner.
type handover struct {
	request  *schema.HandoverRequest
	received time.Time
}

// Handover exports the targets and permits of all owned groups for their next
// owners.
func (o *Owner) Handover(now time.Time) []*schema.HandoverRequest {
	requests := make([]*schema.HandoverRequest, 0, len(o.sortedGroups))
	for _, g := range o.sortedGroups {
		r := &schema.HandoverRequest{Group: g.id}
		for _, t := range g.targets {
			r.Targets = append(r.Targets, g.targetState(now, t))
		}
		requests = append(requests, r)
	}
	return requests
}

// targetState exports the learned rates and limit of a target and its permits.
func (g *group) targetState(now time.Time, t *target) *schema.TargetState {
	s := &schema.TargetState{
		Name:                   t.info.Name,
		PrefillTokensPerSecond: t.rates.PrefillRate(),
		OutputTokenTime:        durationpb.New(t.rates.TokenTime(1)),
		LimitTokens:            t.limit.Tokens(),
	}
	for _, p := range g.permits {
		if p.target == t {
			s.Permits = append(s.Permits, &schema.OutstandingPermit{
				Number: p.number, RequestId: p.requestID, Tokens: p.cost, Tier: p.rank, Age: durationpb.New(now.Sub(p.granted)),
			})
		}
	}
	return s
}

// AcceptHandover imports a group's state from its previous owner, or the
// permits that an entry node still uses. It may be called before the topology
// makes this node the owner, and more than once for the same state.
func (o *Owner) AcceptHandover(now time.Time, r *schema.HandoverRequest) {
	g, ok := o.groups[r.GetGroup()]
	if !ok {
		o.pendingHandovers[r.GetGroup()] = handover{r, now}
		return
	}
	states := make(map[string]*schema.TargetState)
	for _, s := range r.GetTargets() {
		states[s.GetName()] = s
	}
	for _, t := range g.targets {
		if s, ok := states[t.info.Name]; ok {
			g.restore(now, t, s)
		}
	}
}

// restore imports the rates and limit of a target, unless this owner has
// already observed a completion there, and adds the permits that are in use.
func (g *group) restore(now time.Time, t *target, s *schema.TargetState) {
	if t.lastObserved.IsZero() && s.GetPrefillTokensPerSecond() > 0 {
		t.rates = scheduling.RestoreRates(s.GetPrefillTokensPerSecond(), s.GetOutputTokenTime().AsDuration())
		t.limit = scheduling.NewTokenLimit(s.GetLimitTokens())
	}
	for _, outstanding := range s.GetPermits() {
		if _, known := g.permits[outstanding.GetNumber()]; !known {
			g.adopt(now, t, outstanding)
		}
	}
}

// adopt adds a permit that a previous owner granted. Its expiry starts now,
// because its use has just been reported.
func (g *group) adopt(now time.Time, t *target, outstanding *schema.OutstandingPermit) {
	g.permits[outstanding.GetNumber()] = &permit{
		number:    outstanding.GetNumber(),
		requestID: outstanding.GetRequestId(),
		target:    t,
		rank:      outstanding.GetTier(),
		cost:      outstanding.GetTokens(),
		granted:   now.Add(-outstanding.GetAge().AsDuration()),
		expires:   now.Add(minPermitExpiry),
		adopted:   true,
	}
	t.inFlight++
	t.tokens += outstanding.GetTokens()
}

// applyPendingHandovers imports the handovers of groups that this node now owns
// and drops expired ones.
func (o *Owner) applyPendingHandovers(now time.Time) {
	for id, h := range o.pendingHandovers {
		_, owned := o.groups[id]
		if owned {
			o.AcceptHandover(now, h.request)
		}
		if owned || now.Sub(h.received) > handoverRetention {
			delete(o.pendingHandovers, id)
		}
	}
}

// Handover exports the state of all owned groups for their next owners. It
// returns nil after Run has ended.
func (m *Manager) Handover() []*schema.HandoverRequest {
	var requests []*schema.HandoverRequest
	m.call(func(now time.Time) { requests = m.owner.Handover(now) })
	return requests
}

// AcceptHandover imports a group's state from its previous owner.
func (m *Manager) AcceptHandover(ctx context.Context, r *schema.HandoverRequest) (*schema.HandoverReply, error) {
	if !m.call(func(now time.Time) { m.owner.AcceptHandover(now, r) }) {
		return nil, errDraining()
	}
	return &schema.HandoverReply{}, ctx.Err()
}
