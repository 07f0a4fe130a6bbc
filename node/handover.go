package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// handoverTimeout bounds the delivery of all groups' states. A state that is
// not delivered is learned again by the next owner.
const handoverTimeout = time.Second

// handOverGroups sends what this node knows of its groups to the nodes that
// will own them once it drains.
func (l *lifecycle) handOverGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	next := l.withoutSelf()
	var sending sync.WaitGroup
	for _, h := range l.Admission.Handover() {
		g, ok := next.Group(h.GetGroup())
		owner, known := next.Member(g.Owner)
		if !ok || !known {
			continue
		}
		sending.Go(func() { l.handOver(ctx, owner, h) })
	}
	sending.Wait()
}

func (l *lifecycle) handOver(ctx context.Context, owner *schema.Member, h *schema.HandoverRequest) {
	err := l.Pool.Call(ctx, owner.GetPeerAddress(), schema.Method_METHOD_HANDOVER, h, &schema.HandoverReply{})
	l.Logger.Info().Str("event", "group_handed_over").Str("group", h.GetGroup()).
		Str("owner", owner.GetNode()).Err(err).Msg("")
}

// withoutSelf derives the topology that follows when this node drains.
func (l *lifecycle) withoutSelf() *topology.Snapshot {
	current := l.Current.Load()
	members := make([]*schema.Member, 0, len(current.Members))
	for _, m := range current.Members {
		if m.GetNode() == l.Settings.GetNode().GetName() {
			m = proto.CloneOf(m)
			m.State = schema.MemberState_MEMBER_STATE_DRAINING
		}
		members = append(members, m)
	}
	options := topology.Options{GroupTargets: int(l.Settings.GetScheduling().GetMaxGroupTargets())}
	return topology.Build(current.Config, members, options)
}
