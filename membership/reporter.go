package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// lostReportIntervals is how many report intervals, in addition to suspectAfter,
// a zone's summary may stay unchanged before the zone is lost.
const lostReportIntervals = 3

// maxSeedTimeouts bounds how long a new node waits for an answer of its seeds
// before it elects a reporter on its own, as a multiple of suspectAfter.
const maxSeedTimeouts = 3

// tick is the periodic work of the control loop.
func (m *Manager) tick(now time.Time) {
	s := m.state
	if pause, ok := m.pauseDetector.paused(now, m.timing.suspectAfter); ok {
		m.logger.Warn().Str("event", "process_paused").Dur("for", pause).Msg("")
		m.resetAfterPause(now)
	}
	m.pauseDetector.tick(now)
	m.probeUnreachable(now)
	m.electReporter(now)
	if s.isReporter {
		m.refreshReport(now)
	}
	m.sendHeartbeat(now)
	m.startCycle(now)
	m.publish()
}

// resetAfterPause gives up the role of reporter, which another node may have
// taken over during the pause, and discards the heartbeats received before it.
// This node may become the reporter again only after suspectAfter, which leaves
// time to read the object API first.
func (m *Manager) resetAfterPause(now time.Time) {
	s := m.state
	s.isReporter = false
	s.reporter = ""
	s.failingSince = time.Time{}
	s.heartbeats = make(map[string]*receivedHeartbeat)
	s.yieldUntil = now.Add(m.timing.suspectAfter)
}

// recordContact records that a call that was started at startedAt reached a peer
// or the object API.
func (m *Manager) recordContact(now, startedAt time.Time) {
	m.state.lastContact = now
	m.pauseDetector.confirmView(startedAt)
}

// electReporter keeps the present reporter. It chooses another one if there is
// none, or if this node is the reporter and mayReport no longer allows it. This
// node becomes the reporter if it chooses itself.
func (m *Manager) electReporter(now time.Time) {
	s := m.state
	if s.isReporter && s.mayReport(now) {
		return
	}
	if !s.isReporter && (s.reporter != "" || m.bootstrapping(now)) {
		return
	}
	chosen := s.chooseReporter(now)
	if chosen == s.self.GetNode() {
		m.becomeReporter(now)
		return
	}
	if s.isReporter {
		m.stopReporting(chosen)
		return
	}
	m.setReporter(chosen)
}

// bootstrapping reports whether a new node still waits for its first read of the
// object API or, if that failed, for an answer of a seed.
func (m *Manager) bootstrapping(now time.Time) bool {
	s := m.state
	if s.joined {
		return false
	}
	if !s.firstReadDone {
		return true
	}
	return s.lastReadFailed && len(m.seeds) > 0 && now.Sub(s.startedAt) < maxSeedTimeouts*m.timing.suspectAfter
}

// setReporter makes a node this node's reporter. If that is this node itself, it
// becomes the reporter only if mayReport allows it.
func (m *Manager) setReporter(node string) {
	s := m.state
	if node == s.self.GetNode() {
		if s.mayReport(time.Now()) {
			m.becomeReporter(time.Now())
		}
		return
	}
	s.reporter = node
	s.ackedDigest = 0
}

// becomeReporter makes this node the zone's reporter. The present members,
// except those that this node cannot reach, are treated as if they had just sent
// a heartbeat, so that they have time to find the new reporter.
func (m *Manager) becomeReporter(now time.Time) {
	s := m.state
	if s.isReporter {
		return
	}
	s.isReporter = true
	s.reporter = s.self.GetNode()
	m.logger.Info().Str("event", "reporter_began").Str("availability_zone", s.ownZone()).Msg("")
	for _, member := range s.zone(s.ownZone()).report.GetMembers() {
		node := member.GetNode()
		if _, unreachable := s.unreachable[node]; unreachable || node == s.self.GetNode() {
			continue
		}
		if s.knownMembers[node] == nil {
			s.knownMembers[node] = member
		}
		if s.heartbeats[node] == nil {
			s.heartbeats[node] = &receivedHeartbeat{revision: member.GetConfigRevision()}
		}
		s.heartbeats[node].receivedAt = now
	}
	for _, z := range s.zones {
		z.summaryChangedAt = now
		z.summaryChanges = 0
		z.writtenDigest = 0
		z.reportVersion = 0
	}
	s.memberRemoval = removalDebouncer{}
	m.refreshReport(now)
}

// stopReporting ends this node's role as reporter in favour of next.
func (m *Manager) stopReporting(next string) {
	s := m.state
	m.logger.Info().Str("event", "reporter_stopped").Str("next", next).Msg("")
	s.isReporter = false
	s.heartbeats = make(map[string]*receivedHeartbeat)
	m.setReporter(next)
}

// yieldTo hands over to the reporter that the object API shows to be alive. If
// this node cannot reach it, it chooses another member, which relays this node's
// heartbeats.
func (m *Manager) yieldTo(storedReporter string, now time.Time) {
	s := m.state
	if _, unreachable := s.unreachable[storedReporter]; !unreachable {
		m.stopReporting(storedReporter)
		return
	}
	s.yieldUntil = now.Add(m.zoneLostAfter())
	m.stopReporting(s.chooseReporter(now))
}

// zoneLostAfter returns how long a zone's summary must stay unchanged before the
// zone is lost.
func (m *Manager) zoneLostAfter() time.Duration {
	return m.timing.suspectAfter + lostReportIntervals*m.timing.reportInterval
}

// refreshReport derives this zone's report and summary from the heartbeats
// received. Silent members stay in the report until their removal is due.
func (m *Manager) refreshReport(now time.Time) {
	s := m.state
	z := s.zone(s.ownZone())
	suspects := s.suspects(z.report, now, m.timing.suspectAfter)
	holds := holdTimes{few: m.timing.heartbeatInterval, many: m.timing.suspectAfter}
	removed := s.memberRemoval.removalDue(suspects, len(z.report.GetMembers()), holds, now)
	if removed {
		m.logger.Warn().Str("event", "members_removed").Strs("nodes", suspects).Msg("")
		s.forgetNodes(suspects)
	}
	next := proto.CloneOf(z.report)
	next.Reporter = s.self.GetNode()
	next.Members = s.ownZoneMembers(z.report, now, m.timing.suspectAfter)
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
	z.summary.MinConfigRevision = s.minRevisionOfOwnZone(now, m.timing.suspectAfter)
}

// suspects returns the members of a report from which no heartbeat has been
// received for limit.
func (s *state) suspects(report *schema.ZoneReport, now time.Time, limit time.Duration) []string {
	var silent []string
	for _, member := range report.GetMembers() {
		node := member.GetNode()
		if node == s.self.GetNode() {
			continue
		}
		if last := s.heartbeats[node]; last == nil || now.Sub(last.receivedAt) >= limit {
			silent = append(silent, node)
		}
	}
	return silent
}

// forgetNodes discards the heartbeats and Members of nodes.
func (s *state) forgetNodes(nodes []string) {
	for _, node := range nodes {
		delete(s.heartbeats, node)
		delete(s.knownMembers, node)
	}
}

// ownZoneMembers returns this zone's members: this node, nodes with a heartbeat
// received within limit, and members of the present report whose removal is
// delayed.
func (s *state) ownZoneMembers(report *schema.ZoneReport, now time.Time, limit time.Duration) []*schema.Member {
	members := []*schema.Member{s.self}
	for node, last := range s.heartbeats {
		member := s.knownMembers[node]
		if node == s.self.GetNode() || member == nil {
			continue
		}
		if now.Sub(last.receivedAt) < limit || inReport(report, node) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// inReport reports whether a node is a member in the report.
func inReport(report *schema.ZoneReport, node string) bool {
	return slices.ContainsFunc(report.GetMembers(), func(member *schema.Member) bool {
		return member.GetNode() == node
	})
}

// minRevisionOfOwnZone returns the lowest revision in force at this node and at
// the nodes with a heartbeat received within limit.
func (s *state) minRevisionOfOwnZone(now time.Time, limit time.Duration) uint64 {
	lowest := s.revision
	for _, last := range s.heartbeats {
		if now.Sub(last.receivedAt) < limit {
			lowest = min(lowest, last.revision)
		}
	}
	return lowest
}
