package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// stateEvent is a call of SetState.
type stateEvent struct{ state schema.MemberState }

func (e stateEvent) apply(m *Manager) {
	s := m.state
	s.self = proto.CloneOf(s.self)
	s.self.State = e.state
	now := time.Now()
	if s.drainingNodes.record(s.self) {
		s.publishedViewDigest = 0
	}
	if e.state == schema.MemberState_MEMBER_STATE_DRAINING {
		m.announceDrain(now)
	}
	m.electReporter(now)
	if s.isReporter {
		m.refreshReport(now)
	}
	m.sendHeartbeat(now)
	m.publish()
}

// revisionEvent is a call of SetRevision.
type revisionEvent struct{ revision uint64 }

func (e revisionEvent) apply(m *Manager) {
	m.state.revision = e.revision
	m.sendHeartbeat(time.Now())
}

// publish makes the view visible to other goroutines. It notifies the
// subscribers if the members, the leaving VMs or the newest known revision
// changed.
func (m *Manager) publish() {
	s := m.state
	previous := m.published.Load()
	next := &publishedView{
		members:     previous.members,
		leavingVMs:  previous.leavingVMs,
		minRevision: s.clusterMinRevision(),
		newest:      s.newerRevisionSource(),
		reporter:    s.reporter,
		isolated:    time.Since(s.lastContact) > m.timing.isolatedAfter,
	}
	if next.isolated != previous.isolated {
		m.logger.Warn().Str("event", "isolation").Bool("isolated", next.isolated).Msg("")
	}
	changed := m.updateView(next)
	m.published.Store(next)
	if changed || next.newest != previous.newest {
		m.notifySubscribers(next.members)
	}
}

// updateView sets the fields of next that are derived from the zones' reports,
// if the reports changed. It reports whether members or leaving VMs changed.
func (m *Manager) updateView(next *publishedView) bool {
	s := m.state
	view := s.viewDigest()
	if view == s.publishedViewDigest {
		return false
	}
	s.publishedViewDigest = view
	leaving := s.allLeavingVMs()
	changed := !slices.Equal(leaving, next.leavingVMs)
	next.leavingVMs = leaving
	next.members = s.members()
	digest := membersDigest(next.members)
	if digest != s.publishedMembersDigest {
		m.logger.Info().Str("event", "members_changed").Int("members", len(next.members)).Msg("")
		changed = true
	}
	s.publishedMembersDigest = digest
	return changed
}

func (m *Manager) notifySubscribers(members []*schema.Member) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	for _, f := range m.subscribers {
		f(members)
	}
}

func membersDigest(members []*schema.Member) uint64 {
	hash := xxhash.New()
	for _, member := range members {
		writeMember(hash, member)
	}
	return hash.Sum64()
}

// clusterMinRevision returns the lowest revision in force in any zone. A
// reporter computes it; other nodes receive it in replies to their heartbeats.
func (s *state) clusterMinRevision() uint64 {
	if s.isReporter {
		return s.minRevisionOfZones()
	}
	return s.minRevision
}
