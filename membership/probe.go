package membership

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// probeIntervalFactor is the time between two probes of an unreachable node, as
// a multiple of suspectAfter.
const probeIntervalFactor = 5

// probeUnreachable sends heartbeats to unreachable members, and removes nodes
// from the list that are no longer members.
func (m *Manager) probeUnreachable(now time.Time) {
	s := m.state
	for node, since := range s.unreachable {
		if now.Sub(since) < probeIntervalFactor*m.timing.suspectAfter {
			continue
		}
		if !inReport(s.zone(s.ownZone()).report, node) {
			delete(s.unreachable, node)
			continue
		}
		s.unreachable[node] = now
		h := &schema.Heartbeat{Member: s.self, MemberDigest: memberDigest(s.self), ViewDigest: s.viewDigest()}
		h.ConfigRevision = s.revision
		m.query(node, s.peerAddress(node), h)
	}
}

// queryReporters exchanges views with the other zones' reporters over peer links
// while the object API is unavailable. If a reporter does not answer, another
// member of its zone is queried next time.
func (m *Manager) queryReporters() {
	s := m.state
	if !s.isReporter {
		return
	}
	for _, name := range s.zoneNames() {
		node := s.zones[name].queryNode()
		if name == s.ownZone() || node == "" {
			continue
		}
		m.query(node, s.peerAddress(node), &schema.Heartbeat{
			ConfigRevision: s.revision,
			ViewDigest:     s.viewDigest(),
			Want:           []string{name},
		})
	}
}

// queryNode returns the member of another zone to query for its report, or "".
// It is the zone's reporter, or the members in turn while that does not answer.
func (z *zone) queryNode() string {
	members := z.report.GetMembers()
	if len(members) == 0 {
		return ""
	}
	if z.unanswered == 0 {
		return z.summary.GetReporter()
	}
	return members[z.unanswered%len(members)].GetNode()
}

// query sends a heartbeat in addition to the periodic ones.
func (m *Manager) query(node, address string, h *schema.Heartbeat) {
	startedAt := time.Now()
	m.runAsync(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, m.timing.suspectAfter)
		defer cancel()
		reply, err := m.peers.Heartbeat(ctx, address, h)
		return queryDoneEvent{node: node, zones: h.GetWant(), startedAt: startedAt, reply: reply, err: err}
	})
}

// queryDoneEvent is the result of a heartbeat sent by query. zones are those
// whose reports it requested.
type queryDoneEvent struct {
	node      string
	zones     []string
	startedAt time.Time
	reply     *schema.HeartbeatReply
	err       error
}

func (e queryDoneEvent) apply(m *Manager) {
	s := m.state
	for _, name := range e.zones {
		z := s.zone(name)
		z.unanswered++
		if e.err == nil && z.summary.GetReporter() == e.node {
			z.unanswered = 0
		}
	}
	if e.err != nil {
		return
	}
	delete(s.unreachable, e.node)
	m.recordContact(time.Now(), e.startedAt)
	if len(e.zones) == 0 {
		return
	}
	for _, report := range e.reply.GetReports() {
		s.mergeReport(report)
	}
	m.publish()
}
