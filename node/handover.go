package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// handoverTimeout bounds the handover of all groups. If a group's state is not
// delivered, the next owner rebuilds it.
const handoverTimeout = time.Second

// handOverGroups sends the state of this node's groups to the nodes that will
// own them once it drains.
func (l *lifecycle) handOverGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	next := l.topologyAfterDrain()
	var sending sync.WaitGroup
	for _, h := range l.Admission.Handover() {
		g, ok := next.Group(h.GetGroup())
		owner, known := next.Member(g.Owner)
		if !ok || !known {
			continue
		}
		sending.Go(func() { l.sendHandover(ctx, owner, h) })
	}
	sending.Wait()
}

func (l *lifecycle) sendHandover(ctx context.Context, owner *schema.Member, h *schema.HandoverRequest) {
	err := l.Pool.Call(ctx, owner.GetPeerAddress(), schema.Method_METHOD_HANDOVER, h, &schema.HandoverReply{})
	l.Logger.Info().Str("event", "group_handed_over").Str("group", h.GetGroup()).
		Str("owner", owner.GetNode()).Err(err).Msg("")
}

// topologyAfterDrain builds the topology that results when this node drains.
func (l *lifecycle) topologyAfterDrain() *topology.Snapshot {
	current := l.Current.Load()
	members := make([]*schema.Member, 0, len(current.Members))
	for _, m := range current.Members {
		if m.GetNode() == l.Settings.GetNode().GetName() {
			m = proto.CloneOf(m)
			m.State = schema.MemberState_MEMBER_STATE_DRAINING
		}
		members = append(members, m)
	}
	options := topology.Options{TargetsPerGroup: int(l.Settings.GetScheduling().GetMaxGroupTargets())}
	return topology.Build(current.Config, members, options)
}
