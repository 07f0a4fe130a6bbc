package membership

import (
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
	s.drains.note(s.self)
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
// subscribers if the members changed or a newer revision was heard of.
func (m *Manager) publish() {
	s := m.state
	members := s.members()
	digest := membersDigest(members)
	previous := m.published.Load()
	next := &published{
		members:     members,
		leavingVMs:  s.allLeaving(),
		minRevision: s.toldRevision(),
		newest:      s.newestAbove(),
		reporter:    s.reporter,
		isolated:    time.Since(s.contact) > m.timing.isolated,
	}
	if next.isolated != previous.isolated {
		m.logger.Warn().Str("event", "isolation").Bool("isolated", next.isolated).Msg("")
	}
	m.published.Store(next)
	if digest == s.digest && next.newest == previous.newest {
		return
	}
	if digest != s.digest {
		m.logger.Info().Str("event", "members_changed").Int("members", len(members)).Msg("")
	}
	s.digest = digest
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
