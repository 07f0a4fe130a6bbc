package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// lostIntervals without a rise of its beat make a zone lost, in report
// intervals on top of the time after which a node is suspected.
const lostIntervals = 3

// seedTries bounds how long a new node asks its seeds before it serves alone,
// in times after which a node is suspected.
const seedTries = 3

// tick is the periodic work of the control loop.
func (m *Manager) tick(now time.Time) {
	s := m.state
	if pause, ok := m.liveness.paused(now, m.timing.suspect); ok {
		m.logger.Warn().Str("event", "process_paused").Dur("for", pause).Msg("")
		m.resume(now)
	}
	m.liveness.tick(now)
	m.probeAvoided(now)
	m.elect(now)
	if s.acting {
		m.refreshReport(now)
	}
	m.sendHeartbeat(now)
	m.startCycle(now)
	m.publish()
}

// resume gives up what a paused process may have lost without noticing: it
// acts as reporter again only after it has looked into the object API.
func (m *Manager) resume(now time.Time) {
	s := m.state
	s.acting = false
	s.reporter = ""
	s.failingSince = time.Time{}
	s.heard = make(map[string]*heard)
	s.yieldUntil = now.Add(m.timing.suspect)
}

// inContact records that a call, which began at began, reached a peer or the
// object API.
func (m *Manager) inContact(now, began time.Time) {
	m.state.contact = now
	m.liveness.confirm(began)
}

// elect keeps the reporter, or chooses one if there is none. This node begins
// to act when it chooses itself.
func (m *Manager) elect(now time.Time) {
	s := m.state
	if s.acting && s.mayAct(now) {
		return
	}
	if !s.acting && (s.reporter != "" || m.bootstrapping(now)) {
		return
	}
	chosen := s.choose(now)
	if chosen == s.self.GetNode() {
		m.beginActing(now)
		return
	}
	if s.acting {
		m.stopActing(chosen)
		return
	}
	m.setReporter(chosen)
}

// bootstrapping reports whether a new node still waits for its first look at
// the object API or, while that is down, for its seeds.
func (m *Manager) bootstrapping(now time.Time) bool {
	s := m.state
	if s.attached {
		return false
	}
	if !s.looked {
		return true
	}
	return s.readFailed && len(m.seeds) > 0 && now.Sub(s.started) < seedTries*m.timing.suspect
}

func (m *Manager) setReporter(node string) {
	s := m.state
	if node == s.self.GetNode() {
		if s.mayAct(time.Now()) {
			m.beginActing(time.Now())
		}
		return
	}
	s.reporter = node
	s.acked = 0
}

// beginActing makes this node the zone's reporter. Members that it has not
// heard yet are given the time to find it; those it cannot reach are not.
func (m *Manager) beginActing(now time.Time) {
	s := m.state
	if s.acting {
		return
	}
	s.acting = true
	s.reporter = s.self.GetNode()
	m.logger.Info().Str("event", "reporter_began").Str("availability_zone", s.ownZone()).Msg("")
	for _, member := range s.zone(s.ownZone()).report.GetMembers() {
		node := member.GetNode()
		if _, avoided := s.avoided[node]; avoided || node == s.self.GetNode() {
			continue
		}
		if s.known[node] == nil {
			s.known[node] = member
		}
		if s.heard[node] == nil {
			s.heard[node] = &heard{revision: member.GetConfigRevision()}
		}
		s.heard[node].at = now
	}
	for _, z := range s.zones {
		z.risen = now
		z.rises = 0
		z.written = 0
		z.reportVersion = 0
	}
	s.burst = burst{}
	m.refreshReport(now)
}

// stopActing makes another node the reporter.
func (m *Manager) stopActing(next string) {
	s := m.state
	m.logger.Info().Str("event", "reporter_stopped").Str("next", next).Msg("")
	s.acting = false
	s.heard = make(map[string]*heard)
	m.setReporter(next)
}

// yield stops acting in favour of the reporter that the object API shows to be
// alive. If this node cannot reach it, another member relays its heartbeats.
func (m *Manager) yield(holder string, now time.Time) {
	s := m.state
	if _, avoided := s.avoided[holder]; !avoided {
		m.stopActing(holder)
		return
	}
	s.yieldUntil = now.Add(m.lostAfter())
	m.stopActing(s.choose(now))
}

func (m *Manager) lostAfter() time.Duration {
	return m.timing.suspect + lostIntervals*m.timing.report
}

// refreshReport derives this zone's report from the heartbeats heard. Members
// that are silent stay in it until their removal is admitted.
func (m *Manager) refreshReport(now time.Time) {
	s := m.state
	z := s.zone(s.ownZone())
	suspects := s.suspects(z.report, now, m.timing.suspect)
	holds := holds{few: m.timing.heartbeat, many: m.timing.suspect}
	removed := s.burst.admit(suspects, len(z.report.GetMembers()), holds, now)
	if removed {
		m.logger.Warn().Str("event", "members_removed").Strs("nodes", suspects).Msg("")
		s.forget(suspects)
	}
	next := proto.CloneOf(z.report)
	next.Reporter = s.self.GetNode()
	next.Members = s.ownMembers(z.report, now, m.timing.suspect)
	next.LeavingVms = s.leavingVMs
	digest := reportDigest(next)
	if digest != reportDigest(z.report) {
		next.Sequence = z.report.GetSequence() + 1
		next.WrittenUnixMs = now.UnixMilli()
		z.report = next
	}
	z.summary = proto.CloneOf(z.summary)
	z.summary.Reporter = s.self.GetNode()
	z.summary.Digest = digest
	z.summary.Lost = false
	z.summary.MinConfigRevision = s.zoneRevision(now, m.timing.suspect)
}

// suspects returns the members of a report that have been silent.
func (s *state) suspects(report *schema.ZoneReport, now time.Time, limit time.Duration) []string {
	var silent []string
	for _, member := range report.GetMembers() {
		node := member.GetNode()
		if node == s.self.GetNode() {
			continue
		}
		if seen := s.heard[node]; seen == nil || now.Sub(seen.at) >= limit {
			silent = append(silent, node)
		}
	}
	return silent
}

func (s *state) forget(nodes []string) {
	for _, node := range nodes {
		delete(s.heard, node)
		delete(s.known, node)
	}
}

// ownMembers returns this zone's members: this node, those heard lately, and
// those of the present report whose removal is held back.
func (s *state) ownMembers(report *schema.ZoneReport, now time.Time, limit time.Duration) []*schema.Member {
	members := []*schema.Member{s.self}
	for node, seen := range s.heard {
		known := s.known[node]
		if node == s.self.GetNode() || known == nil {
			continue
		}
		if now.Sub(seen.at) < limit || inReport(report, node) {
			members = append(members, known)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

func inReport(report *schema.ZoneReport, node string) bool {
	return slices.ContainsFunc(report.GetMembers(), func(member *schema.Member) bool {
		return member.GetNode() == node
	})
}

// zoneRevision returns the lowest revision in force among those heard lately.
func (s *state) zoneRevision(now time.Time, limit time.Duration) uint64 {
	lowest := s.revision
	for _, seen := range s.heard {
		if now.Sub(seen.at) < limit {
			lowest = min(lowest, seen.revision)
		}
	}
	return lowest
}
