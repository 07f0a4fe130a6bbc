package limits

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// loop is the state of one call of Run and is used by its goroutine only.
type loop struct {
	l          *Limiter
	ctx        context.Context
	allocator  *allocator
	calls      sync.WaitGroup
	lastReport time.Time
}

// Run reports this node's demand, allocates shares to other nodes and applies
// the grants it receives until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	r := &loop{l: l, ctx: ctx, allocator: newAllocator()}
	defer r.calls.Wait()
	timer := time.NewTimer(l.view.Load().interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-l.snapshots:
			r.applySnapshot(s)
		case a := <-l.shareRequests:
			a.reply <- r.allocateShares(a.request)
		case g := <-l.grantReplies:
			r.applyGrants(g)
		case <-l.earlyReports:
			if time.Since(r.lastReport) >= l.view.Load().interval()/earlyReportDivisor {
				r.report()
			}
		case <-timer.C:
			r.report()
			timer.Reset(l.view.Load().interval())
		}
	}
}

// applySnapshot puts a snapshot in force. If the members changed, teams may have
// new allocators, so this node's allocator starts anew.
func (r *loop) applySnapshot(s *topology.Snapshot) {
	now := time.Now()
	old := r.l.view.Load()
	v := r.l.newView(now, s, old)
	if !v.sameMembers(old) {
		r.allocator.reset(now.Add(max(v.grantDuration(), old.grantDuration())))
	}
	r.l.view.Store(v)
}

// allocateShares allocates shares of the teams that a node reports demand for.
func (r *loop) allocateShares(request *schema.LimitShareRequest) *schema.LimitShareReply {
	now := time.Now()
	v := r.l.view.Load()
	reply := &schema.LimitShareReply{ValidFor: durationpb.New(v.grantDuration())}
	for _, d := range request.GetDemands() {
		b := v.buckets[d.GetTeam()]
		if b == nil {
			continue
		}
		demand := amounts{d.GetRequestsPerSecond(), d.GetTokensPerSecond(), float64(d.GetInFlight())}
		// The requesting node counts from when it sent the request, so that the
		// grant expires there before it expires here.
		expires := now.Add(v.grantDuration())
		extra, ok := r.allocator.allocate(now, expires, d.GetTeam(), request.GetNode(), v.nodes, b.limit, demand)
		if ok {
			reply.Shares = append(reply.Shares, toProto(d.GetTeam(), extra))
		}
	}
	return reply
}

func toProto(team string, a amounts) *schema.TeamDemand {
	return &schema.TeamDemand{
		Team:              team,
		RequestsPerSecond: a.requests,
		TokensPerSecond:   a.tokens,
		InFlight:          uint32(a.inFlight),
	}
}

// report sends each allocator the demand of its teams for which this node needs
// more than the base share, or no longer needs its grant.
func (r *loop) report() {
	now := time.Now()
	r.lastReport = now
	v := r.l.view.Load()
	requests := make(map[string]*schema.LimitShareRequest)
	for team, b := range v.buckets {
		demand, needsReport := b.demand(now, v.interval())
		if !needsReport {
			continue
		}
		node := v.allocatorFor(team)
		if requests[node] == nil {
			requests[node] = &schema.LimitShareRequest{Node: r.l.options.Node}
		}
		requests[node].Demands = append(requests[node].Demands, toProto(team, demand))
	}
	for node, request := range requests {
		r.send(v, node, request, now)
	}
}

// send reports demands to the allocator on a node and applies its grants.
func (r *loop) send(v *view, node string, request *schema.LimitShareRequest, now time.Time) {
	if node == r.l.options.Node {
		r.applyGrants(grantReply{r.allocateShares(request), now})
		return
	}
	address := v.addresses[node]
	if address == "" {
		return
	}
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, v.interval())
		defer cancel()
		reply, err := r.l.options.Peers.LimitShare(ctx, address, request)
		if err != nil {
			r.l.logger.Warn().Str("event", "limit_share_failed").Str("allocator", node).Err(err).Msg("")
			return
		}
		select {
		case r.l.grantReplies <- grantReply{reply, now}:
		case <-r.ctx.Done():
		}
	})
}

// applyGrants puts granted shares in force. They expire relative to when the
// request was sent.
func (r *loop) applyGrants(g grantReply) {
	now := time.Now()
	expires := g.requestedAt.Add(g.reply.GetValidFor().AsDuration())
	if !now.Before(expires) {
		return
	}
	v := r.l.view.Load()
	for _, s := range g.reply.GetShares() {
		if b := v.buckets[s.GetTeam()]; b != nil {
			b.applyGrant(now, expires, amounts{s.GetRequestsPerSecond(), s.GetTokensPerSecond(), float64(s.GetInFlight())})
		}
	}
}
