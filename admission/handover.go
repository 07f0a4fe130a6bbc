package admission

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// handoverAge is how long a handover is kept for a group that this node does
// not own yet.
const handoverAge = 30 * time.Second

// handover is a group's state received before the topology made this node its
// owner.
type handover struct {
	request  *schema.HandoverRequest
	received time.Time
}

// Handover describes the targets and permits of all owned groups for their
// next owners.
func (o *Owner) Handover(now time.Time) []*schema.HandoverRequest {
	requests := make([]*schema.HandoverRequest, 0, len(o.ordered))
	for _, g := range o.ordered {
		r := &schema.HandoverRequest{Group: g.id}
		for _, t := range g.targets {
			r.Targets = append(r.Targets, g.targetState(now, t))
		}
		requests = append(requests, r)
	}
	return requests
}

func (g *group) targetState(now time.Time, t *target) *schema.TargetState {
	s := &schema.TargetState{
		Name:                   t.info.Name,
		PrefillTokensPerSecond: t.rates.Prefill(),
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

// AcceptHandover takes over what the earlier owner of a group knew, or the
// permits that an entry still uses. It may come before the topology that makes
// this node the owner, and more than once.
func (o *Owner) AcceptHandover(now time.Time, r *schema.HandoverRequest) {
	g, ok := o.groups[r.GetGroup()]
	if !ok {
		o.handovers[r.GetGroup()] = handover{r, now}
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

// restore sets a target that was not learned from yet to an earlier owner's
// state, and adds the permits that are in use.
func (g *group) restore(now time.Time, t *target, s *schema.TargetState) {
	if t.observed.IsZero() && s.GetPrefillTokensPerSecond() > 0 {
		t.rates = scheduling.RestoreRates(s.GetPrefillTokensPerSecond(), s.GetOutputTokenTime().AsDuration())
		t.limit = scheduling.NewLimit(s.GetLimitTokens())
	}
	for _, used := range s.GetPermits() {
		if _, known := g.permits[used.GetNumber()]; !known {
			g.adopt(now, t, used)
		}
	}
}

// adopt counts a permit that an earlier owner granted. It expires as if it had
// been granted now, because its entry has just been heard of.
func (g *group) adopt(now time.Time, t *target, used *schema.OutstandingPermit) {
	g.permits[used.GetNumber()] = &permit{
		number:    used.GetNumber(),
		requestID: used.GetRequestId(),
		target:    t,
		rank:      used.GetTier(),
		cost:      used.GetTokens(),
		granted:   now.Add(-used.GetAge().AsDuration()),
		expires:   now.Add(minExpiry),
		adopted:   true,
	}
	t.inFlight++
	t.tokens += used.GetTokens()
}

// takeHandovers applies what was received for groups that are owned now.
func (o *Owner) takeHandovers(now time.Time) {
	for id, h := range o.handovers {
		_, owned := o.groups[id]
		if owned {
			o.AcceptHandover(now, h.request)
		}
		if owned || now.Sub(h.received) > handoverAge {
			delete(o.handovers, id)
		}
	}
}

// Handover describes all owned groups for their next owners; it is nil after
// the end of Run.
func (m *Manager) Handover() []*schema.HandoverRequest {
	var requests []*schema.HandoverRequest
	m.call(func(now time.Time) { requests = m.owner.Handover(now) })
	return requests
}

// AcceptHandover takes over what the earlier owner of a group knew.
func (m *Manager) AcceptHandover(ctx context.Context, r *schema.HandoverRequest) (*schema.HandoverReply, error) {
	if !m.call(func(now time.Time) { m.owner.AcceptHandover(now, r) }) {
		return nil, errDraining()
	}
	return &schema.HandoverReply{}, ctx.Err()
}
