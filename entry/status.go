package entry

import (
	"context"
	"slices"
	"strings"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// serveOperatorCalls serves the calls of primrosectl: the node's status, the log lines of a
// recent request, and where a described one would go.
func (l *lifecycle) serveOperatorCalls() {
	peer.Handle(l.Server, schema.Method_METHOD_STATUS, func() *schema.StatusRequest { return &schema.StatusRequest{} },
		func(ctx context.Context, _ peer.Identity, _ *schema.StatusRequest) (*schema.StatusReply, error) {
			return l.nodeStatus(ctx), nil
		})
	peer.Handle(l.Server, schema.Method_METHOD_EXPLAIN, func() *schema.ExplainRequest { return &schema.ExplainRequest{} },
		func(ctx context.Context, _ peer.Identity, q *schema.ExplainRequest) (*schema.ExplainReply, error) {
			return l.Recorder.Handle(ctx, q)
		})
	peer.Handle(l.Server, schema.Method_METHOD_WHERE, func() *schema.WhereRequest { return &schema.WhereRequest{} },
		func(ctx context.Context, _ peer.Identity, q *schema.WhereRequest) (*schema.WhereReply, error) {
			return l.where(ctx, q)
		})
}

func (l *lifecycle) nodeStatus(ctx context.Context) *schema.StatusReply {
	config, _, _ := l.Datastore.Proof()
	reply := &schema.StatusReply{
		Node: l.Self.Name, AvailabilityZone: l.Self.Zone, ConfigRevision: config.Version,
		Draining: l.draining.Load(), StoreReachable: l.Datastore.KeysProven(),
	}
	for _, pool := range l.Balancer.Status(ctx) {
		reply.Groups = append(reply.Groups, groupStatus(pool))
	}
	slices.SortFunc(reply.Groups, func(a, b *schema.GroupStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	for _, n := range l.Datastore.Snapshot(ctx).Nodes {
		state := "silent"
		if n.Name == l.Self.Name || l.Mesh.IsReporting(n) {
			state = "heard"
		}
		reply.Members = append(reply.Members, &schema.MemberStatus{
			Node: n.Name, AvailabilityZone: n.Zone, Address: n.Address, State: state,
		})
	}
	slices.SortFunc(reply.Members, func(a, b *schema.MemberStatus) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return reply
}

func groupStatus(pool balance.PoolStatus) *schema.GroupStatus {
	g := &schema.GroupStatus{Id: pool.Service}
	for tier, waiting := range pool.Waiting {
		for len(g.Queued) <= tier {
			g.Queued = append(g.Queued, 0)
		}
		g.Queued[tier] = uint32(waiting)
	}
	for _, t := range pool.Targets {
		g.Targets = append(g.Targets, &schema.TargetStatus{
			Name: t.ID, Leaving: t.Draining, InFlight: uint32(t.Load.Requests), OutstandingTokens: t.Load.PromptTokens,
		})
	}
	slices.SortFunc(g.Targets, func(a, b *schema.TargetStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return g
}

func newRecorder() (*explain.Recorder, error) { return explain.NewRecorder() }
