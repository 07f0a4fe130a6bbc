package node

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// noticeTimeout bounds the delivery of a quarantine notice.
const noticeTimeout = 2 * time.Second

// peerClient calls other nodes on behalf of the node's components.
type peerClient struct {
	pool    *peer.Pool
	current *topology.Current
	self    string
	zone    string
	members memberLister
}

// memberLister lists the known members, also before a topology exists.
type memberLister interface {
	Members() []*schema.Member
}

// UpdateFloor implements admission.Peers.
func (c *peerClient) UpdateFloor(ctx context.Context, node string, u *schema.FloorUpdate) (*schema.FloorAck, error) {
	member, ok := c.current.Load().Member(node)
	if !ok {
		return nil, unknownMember(node)
	}
	ack := &schema.FloorAck{}
	err := c.pool.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_FLOOR, u, ack)
	return ack, err
}

// Heartbeat implements membership.Peers.
func (c *peerClient) Heartbeat(ctx context.Context, address string, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	reply := &schema.HeartbeatReply{}
	err := c.pool.Call(ctx, address, schema.Method_METHOD_HEARTBEAT, h, reply)
	return reply, err
}

// ConfigDelta implements register.Peers.
func (c *peerClient) ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	delta := &schema.ConfigDelta{}
	err := c.pool.Call(ctx, address, schema.Method_METHOD_CONFIG_DELTA, r, delta)
	return delta, err
}

// LimitShare implements limits.Peers.
func (c *peerClient) LimitShare(ctx context.Context, address string, r *schema.LimitShareRequest) (*schema.LimitShareReply, error) {
	reply := &schema.LimitShareReply{}
	err := c.pool.Call(ctx, address, schema.Method_METHOD_LIMIT_SHARE, r, reply)
	return reply, err
}

// HandOverShard implements ledger.Peers.
func (c *peerClient) HandOverShard(ctx context.Context, node string, h *schema.LedgerHandover) error {
	member, ok := c.current.Load().Member(node)
	if !ok {
		return unknownMember(node)
	}
	return c.pool.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_LEDGER_HANDOVER, h, &schema.LedgerHandoverReply{})
}

// Broadcast implements quarantine.Broadcaster. Delivery is best effort: a node
// that misses a notice reads the entry from the stored list.
func (c *peerClient) Broadcast(n *schema.QuarantineNotice) {
	for _, address := range c.Addresses() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			_ = c.pool.Call(ctx, address, schema.Method_METHOD_QUARANTINE, n, &schema.QuarantineAck{})
		}()
	}
}

// Addresses implements register.Peers. It returns the addresses of the other
// nodes, those in the same availability zone first.
func (c *peerClient) Addresses() []string {
	var sameZone, otherZones []string
	for _, m := range c.members.Members() {
		switch {
		case m.GetNode() == c.self:
		case m.GetAvailabilityZone() == c.zone:
			sameZone = append(sameZone, m.GetPeerAddress())
		default:
			otherZones = append(otherZones, m.GetPeerAddress())
		}
	}
	return append(sameZone, otherZones...)
}
