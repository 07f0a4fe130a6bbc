package routing

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// track adds a granted permit to those in use at this node.
func (p *Permits) track(permit *schema.Permit, owner string, r *schema.PermitRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[permit.GetNumber()] = outstandingPermit{
		permit:    permit,
		owner:     owner,
		tokens:    float64(r.GetPromptTokens() + r.GetMaxOutputTokens()),
		tier:      r.GetTier(),
		requestID: r.GetRequestId(),
		since:     time.Now(),
	}
}

// untrack removes a permit from those in use at this node.
func (p *Permits) untrack(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, number)
}

// Return returns a permit to the group's owner. It does not block: a remote owner is
// called in the background. A return that cannot be delivered is dropped, and the
// permit expires.
func (p *Permits) Return(r *schema.PermitReturn) {
	p.untrack(r.GetNumber())
	snapshot := p.current.Load()
	if g, ok := snapshot.Group(r.GetGroup()); ok && g.Owner == p.location.Node {
		p.local.Return(r)
		return
	}
	go p.deliverReturn(r)
}

// deliverReturn sends the return to the group's current owner, with up to
// maxReturnAttempts attempts.
func (p *Permits) deliverReturn(r *schema.PermitReturn) {
	backOff := newBackOff()
	for range maxReturnAttempts {
		if p.tryReturn(r) == nil {
			return
		}
		time.Sleep(backOff.NextBackOff())
	}
	p.logger.Warn().Str("event", "permit_return_lost").Str("request", r.GetRequestId()).
		Str("group", r.GetGroup()).Uint64("permit", r.GetNumber()).Msg("")
}

// tryReturn makes one attempt to send the return to the group's current owner.
func (p *Permits) tryReturn(r *schema.PermitReturn) error {
	snapshot := p.current.Load()
	g, ok := snapshot.Group(r.GetGroup())
	if !ok {
		return nil // The group no longer exists, and neither do its permits.
	}
	if g.Owner == p.location.Node {
		p.local.Return(r)
		return nil
	}
	member, ok := snapshot.Member(g.Owner)
	if !ok {
		return unknownOwnerError(g.Owner)
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	return p.caller.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_PERMIT_RETURN, r, &schema.PermitReturnAck{})
}

// Run reports permits in use at this entry node to the new owner of their group
// whenever the owner changes, until ctx ends.
func (p *Permits) Run(ctx context.Context) error {
	for {
		snapshot, changed := p.current.LoadAndWatch()
		p.announcePermits(ctx, snapshot)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// announcePermits sends the permits of groups whose owner has changed to the new
// owners.
func (p *Permits) announcePermits(ctx context.Context, snapshot *topology.Snapshot) {
	for _, h := range p.reassigned(snapshot) {
		g, _ := snapshot.Group(h.GetGroup())
		if g.Owner == p.location.Node {
			// This fails only after the owner of this node has stopped.
			_, _ = p.local.AcceptHandover(ctx, h)
			continue
		}
		member, ok := snapshot.Member(g.Owner)
		if !ok {
			continue
		}
		go p.sendHandover(ctx, member.GetPeerAddress(), h)
	}
}

func (p *Permits) sendHandover(ctx context.Context, address string, h *schema.HandoverRequest) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	err := p.caller.Call(ctx, address, schema.Method_METHOD_HANDOVER, h, &schema.HandoverReply{})
	if err != nil {
		p.logger.Warn().Str("event", "permit_announce_failed").Str("group", h.GetGroup()).Err(err).Msg("")
	}
}

// reassigned returns the permits whose group has a new owner, one handover per
// group, and records the new owner of each permit.
func (p *Permits) reassigned(snapshot *topology.Snapshot) []*schema.HandoverRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	byGroup := make(map[string]*schema.HandoverRequest)
	var handovers []*schema.HandoverRequest
	for number, outstanding := range p.inFlight {
		id := outstanding.permit.GetGroup()
		g, ok := snapshot.Group(id)
		if !ok || g.Owner == "" || g.Owner == outstanding.owner {
			continue
		}
		outstanding.owner = g.Owner
		p.inFlight[number] = outstanding
		h, ok := byGroup[id]
		if !ok {
			h = &schema.HandoverRequest{Group: id}
			byGroup[id] = h
			handovers = append(handovers, h)
		}
		h.Targets = append(h.Targets, outstanding.targetState())
	}
	return handovers
}

// targetState returns the permit as the state of its target in a handover.
func (p outstandingPermit) targetState() *schema.TargetState {
	return &schema.TargetState{
		Name: p.permit.GetTarget(),
		Permits: []*schema.OutstandingPermit{{
			Number:    p.permit.GetNumber(),
			RequestId: p.requestID,
			Tokens:    p.tokens,
			Tier:      p.tier,
			Age:       durationpb.New(time.Since(p.since)),
		}},
	}
}
