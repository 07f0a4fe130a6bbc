package limits

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// loop is the state of one Run, owned by its goroutine.
type loop struct {
	l         *Limiter
	ctx       context.Context
	allocator *allocator
	calls     sync.WaitGroup
	reported  time.Time
}

// Run reports demand, allocates shares and takes up grants until the context
// ends.
func (l *Limiter) Run(ctx context.Context) {
	r := &loop{l: l, ctx: ctx, allocator: newAllocator()}
	defer r.calls.Wait()
	timer := time.NewTimer(l.view.Load().interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-l.applied:
			r.apply(s)
		case a := <-l.asks:
			a.reply <- r.answer(a.request)
		case g := <-l.granted:
			r.take(g)
		case <-l.urgent:
			if time.Since(r.reported) >= l.view.Load().interval()/urgentShare {
				r.report()
			}
		case <-timer.C:
			r.report()
			timer.Reset(l.view.Load().interval())
		}
	}
}

func (r *loop) apply(s *topology.Snapshot) {
	now := time.Now()
	old := r.l.view.Load()
	v := r.l.newView(now, s, old)
	if !v.sameMembers(old) {
		r.allocator.moved(now.Add(max(v.grantTime(), old.grantTime())))
	}
	r.l.view.Store(v)
}

// answer allocates shares for the teams that a node asks about.
func (r *loop) answer(request *schema.LimitShareRequest) *schema.LimitShareReply {
	now := time.Now()
	v := r.l.view.Load()
	reply := &schema.LimitShareReply{ValidFor: durationpb.New(v.grantTime())}
	for _, d := range request.GetDemands() {
		b := v.buckets[d.GetTeam()]
		if b == nil {
			continue
		}
		demand := amounts{d.GetRequestsPerSecond(), d.GetTokensPerSecond(), float64(d.GetInFlight())}
		// The asker counts from its question, so that its grant ends first.
		expires := now.Add(v.grantTime())
		extra, ok := r.allocator.ask(now, expires, d.GetTeam(), request.GetNode(), v.nodes, b.limit, demand)
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

// report asks each allocator for the teams that need more than the base.
func (r *loop) report() {
	now := time.Now()
	r.reported = now
	v := r.l.view.Load()
	requests := make(map[string]*schema.LimitShareRequest)
	for team, b := range v.buckets {
		demand, worth := b.demand(now, v.interval())
		if !worth {
			continue
		}
		node := v.allocator(team)
		if requests[node] == nil {
			requests[node] = &schema.LimitShareRequest{Node: r.l.options.Node}
		}
		requests[node].Demands = append(requests[node].Demands, toProto(team, demand))
	}
	for node, request := range requests {
		r.send(v, node, request, now)
	}
}

func (r *loop) send(v *view, node string, request *schema.LimitShareRequest, now time.Time) {
	if node == r.l.options.Node {
		r.take(grants{r.answer(request), now})
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
		case r.l.granted <- grants{reply, now}:
		case <-r.ctx.Done():
		}
	})
}

// take puts granted shares in force; they end counted from the question.
func (r *loop) take(g grants) {
	now := time.Now()
	expires := g.asked.Add(g.reply.GetValidFor().AsDuration())
	if !now.Before(expires) {
		return
	}
	v := r.l.view.Load()
	for _, s := range g.reply.GetShares() {
		if b := v.buckets[s.GetTeam()]; b != nil {
			b.grant(now, expires, amounts{s.GetRequestsPerSecond(), s.GetTokensPerSecond(), float64(s.GetInFlight())})
		}
	}
}
