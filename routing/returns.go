package routing

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

func (p *Permits) remember(permit *schema.Permit, owner string, r *schema.PermitRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[permit.GetNumber()] = granted{
		permit: permit,
		owner:  owner,
		tokens: float64(r.GetPromptTokens() + r.GetMaxOutputTokens()),
		tier:   r.GetTier(),
		id:     r.GetRequestId(),
		since:  time.Now(),
	}
}

func (p *Permits) forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, number)
}

// Return gives a permit back to the group's owner. It does not block; a
// return that cannot be delivered is dropped, and the permit expires.
func (p *Permits) Return(r *schema.PermitReturn) {
	p.forget(r.GetNumber())
	snapshot := p.current.Load()
	if g, ok := snapshot.Group(r.GetGroup()); ok && g.Owner == p.place.Node {
		p.local.Return(r)
		return
	}
	go p.deliver(r)
}

func (p *Permits) deliver(r *schema.PermitReturn) {
	wait := newBackOff()
	for range returnTries {
		if p.tryReturn(r) == nil {
			return
		}
		time.Sleep(wait.NextBackOff())
	}
	p.logger.Warn().Str("event", "permit_return_lost").Str("request", r.GetRequestId()).
		Str("group", r.GetGroup()).Uint64("permit", r.GetNumber()).Msg("")
}

func (p *Permits) tryReturn(r *schema.PermitReturn) error {
	snapshot := p.current.Load()
	g, ok := snapshot.Group(r.GetGroup())
	if !ok {
		return nil // The group is gone, and its permits with it.
	}
	if g.Owner == p.place.Node {
		p.local.Return(r)
		return nil
	}
	member, ok := snapshot.Member(g.Owner)
	if !ok {
		return unknownOwner(g.Owner)
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	return p.caller.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_PERMIT_RETURN, r, &schema.PermitReturnAck{})
}

// Run tells a group's new owner which permits of the old one this entry still
// uses, until ctx ends.
func (p *Permits) Run(ctx context.Context) error {
	for {
		snapshot, changed := p.current.Wait()
		p.announce(ctx, snapshot)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (p *Permits) announce(ctx context.Context, snapshot *topology.Snapshot) {
	for _, h := range p.moved(snapshot) {
		g, _ := snapshot.Group(h.GetGroup())
		if g.Owner == p.place.Node {
			// It fails only after the end of the node's own owner.
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

// moved lists, by group, the permits whose group has another owner now, and
// notes the new owner.
func (p *Permits) moved(snapshot *topology.Snapshot) []*schema.HandoverRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	byGroup := make(map[string]*schema.HandoverRequest)
	var moved []*schema.HandoverRequest
	for number, in := range p.inFlight {
		id := in.permit.GetGroup()
		g, ok := snapshot.Group(id)
		if !ok || g.Owner == "" || g.Owner == in.owner {
			continue
		}
		in.owner = g.Owner
		p.inFlight[number] = in
		h, ok := byGroup[id]
		if !ok {
			h = &schema.HandoverRequest{Group: id}
			byGroup[id] = h
			moved = append(moved, h)
		}
		h.Targets = append(h.Targets, in.state())
	}
	return moved
}

func (g granted) state() *schema.TargetState {
	return &schema.TargetState{
		Name: g.permit.GetTarget(),
		Permits: []*schema.OutstandingPermit{{
			Number:    g.permit.GetNumber(),
			RequestId: g.id,
			Tokens:    g.tokens,
			Tier:      g.tier,
			Age:       durationpb.New(time.Since(g.since)),
		}},
	}
}
