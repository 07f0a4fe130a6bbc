package node

import (
	"context"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// links carries the calls of the node's managers to its peers.
type links struct {
	pool    *peer.Pool
	current *topology.Current
	self    string
	zone    string
	members memberLister
}

// memberLister lists the members seen, before a topology exists.
type memberLister interface {
	Members() []*schema.Member
}

// UpdateFloor implements admission.Siblings.
func (l *links) UpdateFloor(ctx context.Context, node string, u *schema.FloorUpdate) (*schema.FloorAck, error) {
	member, ok := l.current.Load().Member(node)
	if !ok {
		return nil, unknownMember(node)
	}
	ack := &schema.FloorAck{}
	err := l.pool.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_FLOOR, u, ack)
	return ack, err
}

// Heartbeat implements membership.Peers.
func (l *links) Heartbeat(ctx context.Context, address string, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	reply := &schema.HeartbeatReply{}
	err := l.pool.Call(ctx, address, schema.Method_METHOD_HEARTBEAT, h, reply)
	return reply, err
}

// ConfigDelta implements register.Peers.
func (l *links) ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	delta := &schema.ConfigDelta{}
	err := l.pool.Call(ctx, address, schema.Method_METHOD_CONFIG_DELTA, r, delta)
	return delta, err
}

// Addresses implements register.Peers: the other nodes, those of this
// availability zone first.
func (l *links) Addresses() []string {
	var near, far []string
	for _, m := range l.members.Members() {
		switch {
		case m.GetNode() == l.self:
		case m.GetAvailabilityZone() == l.zone:
			near = append(near, m.GetPeerAddress())
		default:
			far = append(far, m.GetPeerAddress())
		}
	}
	return append(near, far...)
}
