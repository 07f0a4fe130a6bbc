package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

type stateEvent struct{ state schema.MemberState }

func (e stateEvent) apply(m *Manager) {
	s := m.state
	s.self = proto.CloneOf(s.self)
	s.self.State = e.state
	now := time.Now()
	if s.drains.note(s.self) {
		s.publishedView = 0
	}
	if e.state == schema.MemberState_MEMBER_STATE_DRAINING {
		m.announceDrain(now)
	}
	m.elect(now)
	if s.acting {
		m.refreshReport(now)
	}
	m.sendHeartbeat(now)
	m.publish()
}

type revisionEvent struct{ revision uint64 }

func (e revisionEvent) apply(m *Manager) {
	m.state.revision = e.revision
	m.sendHeartbeat(time.Now())
}

// publish makes the view visible to other goroutines, and tells the
// subscribers if members or leaving VMs changed or a newer revision was heard
// of.
func (m *Manager) publish() {
	s := m.state
	previous := m.published.Load()
	next := &published{
		members:     previous.members,
		leavingVMs:  previous.leavingVMs,
		minRevision: s.toldRevision(),
		newest:      s.newestAbove(),
		reporter:    s.reporter,
		isolated:    time.Since(s.contact) > m.timing.isolated,
	}
	if next.isolated != previous.isolated {
		m.logger.Warn().Str("event", "isolation").Bool("isolated", next.isolated).Msg("")
	}
	changed := m.adoptView(next)
	m.published.Store(next)
	if changed || next.newest != previous.newest {
		m.tellSubscribers(next.members)
	}
}

// adoptView sets what is derived from the zones' reports, if they changed. It
// reports whether members or leaving VMs did.
func (m *Manager) adoptView(next *published) bool {
	s := m.state
	view := s.viewDigest()
	if view == s.publishedView {
		return false
	}
	s.publishedView = view
	leaving := s.allLeaving()
	changed := !slices.Equal(leaving, next.leavingVMs)
	next.leavingVMs = leaving
	next.members = s.members()
	digest := membersDigest(next.members)
	if digest != s.digest {
		m.logger.Info().Str("event", "members_changed").Int("members", len(next.members)).Msg("")
		changed = true
	}
	s.digest = digest
	return changed
}

func (m *Manager) tellSubscribers(members []*schema.Member) {
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

// toldRevision returns the lowest revision in force in any zone: a reporter
// derives it, the others are told.
func (s *state) toldRevision() uint64 {
	if s.acting {
		return s.lowestRevision()
	}
	return s.minRevision
}
