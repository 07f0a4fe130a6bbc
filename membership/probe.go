package membership

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// probeAfter is the time between two tries of an unreachable node, in times
// after which a node is suspected.
const probeAfter = 5

// probeAvoided tries the unreachable members again, and forgets those that are
// no members any more.
func (m *Manager) probeAvoided(now time.Time) {
	s := m.state
	for node, since := range s.avoided {
		if now.Sub(since) < probeAfter*m.timing.suspect {
			continue
		}
		if !inReport(s.zone(s.ownZone()).report, node) {
			delete(s.avoided, node)
			continue
		}
		s.avoided[node] = now
		h := &schema.Heartbeat{Member: s.self, MemberDigest: memberDigest(s.self), ViewDigest: s.viewDigest()}
		h.ConfigRevision = s.revision
		m.ask(node, s.address(node), h)
	}
}

// askReporters exchanges views with the other zones' reporters over peer links
// while the object API is down. If one does not answer, another member of its
// zone is asked next time.
func (m *Manager) askReporters() {
	s := m.state
	if !s.acting {
		return
	}
	for _, name := range s.zoneNames() {
		node := s.zones[name].asked()
		if name == s.ownZone() || node == "" {
			continue
		}
		m.ask(node, s.address(node), &schema.Heartbeat{
			ConfigRevision: s.revision,
			ViewDigest:     s.viewDigest(),
			Want:           []string{name},
		})
	}
}

// asked returns the member of another zone to ask for its report, or "".
func (z *zone) asked() string {
	members := z.report.GetMembers()
	if len(members) == 0 {
		return ""
	}
	if z.unanswered == 0 {
		return z.summary.GetReporter()
	}
	return members[z.unanswered%len(members)].GetNode()
}

// ask sends a heartbeat beside the regular ones.
func (m *Manager) ask(node, address string, h *schema.Heartbeat) {
	began := time.Now()
	m.start(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, m.timing.suspect)
		defer cancel()
		reply, err := m.peers.Heartbeat(ctx, address, h)
		return askedEvent{node: node, want: h.GetWant(), began: began, reply: reply, err: err}
	})
}

// askedEvent is the end of a heartbeat beside the regular ones.
type askedEvent struct {
	node  string
	want  []string
	began time.Time
	reply *schema.HeartbeatReply
	err   error
}

func (e askedEvent) apply(m *Manager) {
	s := m.state
	for _, name := range e.want {
		z := s.zone(name)
		z.unanswered++
		if e.err == nil && z.summary.GetReporter() == e.node {
			z.unanswered = 0
		}
	}
	if e.err != nil {
		return
	}
	delete(s.avoided, e.node)
	m.inContact(time.Now(), e.began)
	if len(e.want) == 0 {
		return
	}
	for _, report := range e.reply.GetReports() {
		s.adoptReport(report)
	}
	m.publish()
}
