package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
)

// where answers where a described request would go now, as seen by this node.
func (l *lifecycle) where(ctx context.Context, q *schema.WhereRequest) (*schema.WhereReply, error) {
	table := l.Datastore.Table()
	if table == nil {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE, "the node has no configuration yet", "ask again, or ask another node")
	}
	work, err := describedWork(table, l.Rollouts, q, time.Now())
	if err != nil {
		return nil, err
	}
	preview, err := l.Balancer.Preview(ctx, work)
	if err != nil {
		return nil, err
	}
	owner := l.Mesh.Owner()
	reply := &schema.WhereReply{
		Node: l.Self.Name, Owner: owner.Name, OwnerAddress: owner.Address,
		Route: work.Route, Service: work.Service, Tier: uint32(work.Tier), Target: preview.Target, Ahead: uint32(preview.Ahead),
	}
	if preview.Refusal != nil {
		reply.Refusal = preview.Refusal.Reason
	}
	for _, t := range preview.Targets {
		reply.Targets = append(reply.Targets, &schema.WhereTarget{
			Id: t.ID, AvailabilityZone: t.Zone, Excluded: string(t.Excluded), Slots: uint32(t.Slots),
			Requests: uint32(t.Prediction.Load.Requests), PromptTokens: t.Prediction.Load.PromptTokens,
			ExpectedMicros: t.Prediction.Expected.Microseconds(), CostMicros: t.Cost.Microseconds(), OnTime: t.OnTime,
			StepMicros: t.Prediction.Step.Microseconds(), PacePercent: uint32(t.Prediction.Pace * percent),
		})
	}
	return reply, nil
}

// serviceTimeLimit is the time limit of a request that is described by its service only.
const serviceTimeLimit = 10 * time.Second

// percent is the number of units of a pace in the usual one.
const percent = 100

// describedWork returns the work of a request that is described by its host and path, or by
// its service. Of a route with several services the one with the highest weight counts. The
// request is not part of a rollout's trial, as most are not.
func describedWork(table *catalog.Table, rollouts *rollout.Manager, q *schema.WhereRequest, now time.Time) (*balance.Work, error) {
	w := &balance.Work{
		Service: q.GetService(), Tier: int(q.GetTier()), Rank: int(q.GetTier()), Team: q.GetTeam(), Version: q.GetVersion(),
		PromptTokens: q.GetPromptTokens(), EstimatedOutputTokens: q.GetHintTokens(), Arrived: now,
	}
	limit, goal := serviceTimeLimit, serviceTimeLimit
	if q.GetHost() != "" {
		route := table.Route(strings.ToLower(q.GetHost()), q.GetPath())
		if route == nil {
			return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
				fmt.Sprintf("no route of version %d matches host %q and path %q", table.Config.Version, q.GetHost(), q.GetPath()),
				"check the host, and that the path begins with a route's prefix")
		}
		w.Route, w.Service, w.Tier, w.Rank = route.Name, heaviestService(route), route.Tier, route.Tier
		limit, goal = route.Timeout, route.Goal
	}
	for _, team := range table.Config.Teams {
		if team.Name == q.GetTeam() && team.HasTier {
			w.Tier = team.Tier
		}
	}
	if left := time.Duration(q.GetLeftMicros()) * time.Microsecond; left > 0 {
		limit = min(limit, left)
	}
	w.Goal, w.End = now.Add(goal), now.Add(limit)
	w.Patience = w.End
	if rollouts != nil {
		w.Barred = rollouts.Barred(w)
	}
	return w, nil
}

func heaviestService(route *catalog.Route) string {
	best := route.Shares[0]
	for _, s := range route.Shares[1:] {
		if s.Weight > best.Weight {
			best = s
		}
	}
	return best.Service
}
