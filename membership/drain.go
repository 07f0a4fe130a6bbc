package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// noticeTimeout bounds the delivery of a drain notice to one member.
const noticeTimeout = time.Second

// drains holds the incarnations of nodes that said themselves that they drain,
// before the zone reports say so.
type drains map[string]uint64

// note remembers what a node says of itself, and reports whether it is news.
func (d drains) note(member *schema.Member) bool {
	known, ok := d[member.GetNode()]
	if member.GetState() != schema.MemberState_MEMBER_STATE_DRAINING || ok && known == member.GetIncarnation() {
		return false
	}
	d[member.GetNode()] = member.GetIncarnation()
	return true
}

// apply replaces the members that drain by now, and forgets nodes that are no
// members any more.
func (d drains) apply(members []*schema.Member) {
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

// announceDrain tells every member at once that this node drains. A notice
// that is lost is made up for by the zone report.
func (m *Manager) announceDrain(now time.Time) {
	s := m.state
	for _, member := range s.members() {
		address := member.GetPeerAddress()
		if member.GetNode() == s.self.GetNode() || address == "" {
			continue
		}
		h := s.heartbeat(now, m.timing.suspect)
		ctx := m.ctx
		m.io.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			_, err := m.peers.Heartbeat(ctx, address, h)
			if err != nil {
				m.logger.Warn().Str("event", "drain_notice_lost").Str("to", address).Err(err).Msg("")
			}
		})
	}
}
