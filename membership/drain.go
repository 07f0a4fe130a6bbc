package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// drainNoticeTimeout bounds the delivery of a drain notice to one member.
const drainNoticeTimeout = time.Second

// drainingNodes maps nodes that announced that they drain to their incarnations.
// The zone reports show the state only later.
type drainingNodes map[string]uint64

// record stores the incarnation of a node that announces that it drains, and
// reports whether it was not stored yet.
func (d drainingNodes) record(member *schema.Member) bool {
	known, ok := d[member.GetNode()]
	if member.GetState() != schema.MemberState_MEMBER_STATE_DRAINING || ok && known == member.GetIncarnation() {
		return false
	}
	d[member.GetNode()] = member.GetIncarnation()
	return true
}

// markDraining replaces the recorded members by copies in state draining, and
// removes the nodes from the record that are no longer members.
func (d drainingNodes) markDraining(members []*schema.Member) {
	if len(d) == 0 {
		return
	}
	present := make(map[string]bool, len(members))
	for i, member := range members {
		present[member.GetNode()] = true
		incarnation, ok := d[member.GetNode()]
		if ok && incarnation == member.GetIncarnation() {
			members[i] = proto.CloneOf(member)
			members[i].State = schema.MemberState_MEMBER_STATE_DRAINING
		}
	}
	for node := range d {
		if !present[node] {
			delete(d, node)
		}
	}
}

// announceDrain notifies every member immediately that this node drains.
// Members that miss the notice learn it from the zone report.
func (m *Manager) announceDrain(now time.Time) {
	s := m.state
	for _, member := range s.members() {
		address := member.GetPeerAddress()
		if member.GetNode() == s.self.GetNode() || address == "" {
			continue
		}
		h := s.buildHeartbeat(now, m.timing.suspectAfter)
		ctx := m.ctx
		m.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, drainNoticeTimeout)
			defer cancel()
			_, err := m.peers.Heartbeat(ctx, address, h)
			if err != nil {
				m.logger.Warn().Str("event", "drain_notice_lost").Str("to", address).Err(err).Msg("")
			}
		})
	}
}
