package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// heartbeatSentEvent is the result of a heartbeat that this node sent.
type heartbeatSentEvent struct {
	to        string
	address   string
	digest    uint64
	startedAt time.Time
	reply     *schema.HeartbeatReply
	err       error
}

func (e heartbeatSentEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.heartbeatInFlight = false
	if e.err != nil {
		m.heartbeatFailed(e, now)
		return
	}
	s.failingSince = time.Time{}
	s.joined = true
	m.recordContact(now, e.startedAt)
	s.ackedDigest = e.digest
	if e.reply.GetNeedMember() {
		s.ackedDigest = 0
	}
	if !e.reply.GetReporting() {
		m.followReporter(e.reply.GetReporter())
	}
	s.minRevision = e.reply.GetMinConfigRevision()
	s.recordRevisionSource(e.address, e.reply.GetConfigRevision())
	changed := s.mergeReply(e.reply)
	m.publish()
	if changed || e.reply.GetNeedMember() {
		m.sendHeartbeat(now)
	}
}

// heartbeatFailed marks the receiver as unreachable once heartbeats have failed
// for suspectAfter less one heartbeat interval, and elects another reporter.
func (m *Manager) heartbeatFailed(e heartbeatSentEvent, now time.Time) {
	s := m.state
	if s.failingSince.IsZero() {
		s.failingSince = e.startedAt
	}
	if now.Sub(s.failingSince) < m.timing.suspectAfter-m.timing.heartbeatInterval {
		return
	}
	m.logger.Warn().Str("event", "reporter_unreachable").Str("node", e.to).Err(e.err).Msg("")
	s.unreachable[e.to] = now
	s.failingSince = time.Time{}
	if s.reporter == e.to {
		s.reporter = ""
	}
	m.electReporter(now)
	m.sendHeartbeat(now)
}

// followReporter makes the node that the receiver of a heartbeat named this
// node's reporter, unless that node is unreachable.
func (m *Manager) followReporter(named string) {
	s := m.state
	if named == "" || s.isReporter || named == s.reporter {
		return
	}
	if _, unreachable := s.unreachable[named]; unreachable {
		return
	}
	m.setReporter(named)
}

// mergeReply takes the receiver's view into the state. It reports whether this
// node needs reports that it has not requested yet.
func (s *state) mergeReply(reply *schema.HeartbeatReply) bool {
	for _, report := range reply.GetReports() {
		s.mergeReport(report)
	}
	if len(reply.GetSummaries()) == 0 {
		s.wantedReports = nil
		return false
	}
	var wanted []string
	for _, summary := range reply.GetSummaries() {
		name := summary.GetAvailabilityZone()
		if s.isReporter && name == s.ownZone() {
			continue
		}
		z := s.zone(name)
		if reportDigest(z.report) != summary.GetDigest() {
			wanted = append(wanted, name)
			continue
		}
		z.summary = summary
	}
	alreadyRequested := slices.Equal(wanted, s.wantedReports)
	s.wantedReports = wanted
	return len(wanted) > 0 && !alreadyRequested
}

// mergeReport replaces a zone's report, but not the one of this node's own zone
// while it is the reporter.
func (s *state) mergeReport(report *schema.ZoneReport) {
	name := report.GetAvailabilityZone()
	if s.isReporter && name == s.ownZone() {
		return
	}
	z := s.zone(name)
	z.report = report
	z.summary = proto.CloneOf(z.summary)
	z.summary.Digest = reportDigest(report)
}

// sendHeartbeat sends one heartbeat to the reporter or to a seed. Only one is in
// flight at a time.
func (m *Manager) sendHeartbeat(now time.Time) {
	s := m.state
	if s.isReporter || s.heartbeatInFlight {
		return
	}
	to, address := m.heartbeatDestination(now)
	if address == "" {
		return
	}
	s.heartbeatInFlight = true
	h := s.buildHeartbeat(now, m.timing.suspectAfter)
	digest := h.GetMemberDigest()
	if s.ackedDigest == digest {
		h.Member = nil
	}
	timeout := max(m.timing.heartbeatInterval, m.timing.suspectAfter-m.timing.heartbeatInterval)
	m.runAsync(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := m.peers.Heartbeat(ctx, address, h)
		return heartbeatSentEvent{to: to, address: address, digest: digest, startedAt: now, reply: reply, err: err}
	})
}

// heartbeatDestination returns the node to send to and its address. Without a
// reporter, it is one of the seeds in turn, with "" as the node, as long as this
// node has not joined or still needs reports.
func (m *Manager) heartbeatDestination(now time.Time) (string, string) {
	s := m.state
	if address := s.peerAddress(s.reporter); address != "" {
		return s.reporter, address
	}
	if len(m.seeds) == 0 || s.joined && len(s.wantedReports) == 0 {
		return "", ""
	}
	i := int(now.Sub(s.startedAt)/m.timing.heartbeatInterval) % len(m.seeds)
	return "", m.seeds[i]
}

// buildHeartbeat returns this node's heartbeat with its Member. It relays the
// members that have sent a heartbeat directly to this node within maxAge.
func (s *state) buildHeartbeat(now time.Time, maxAge time.Duration) *schema.Heartbeat {
	h := &schema.Heartbeat{
		Member:         s.self,
		MemberDigest:   memberDigest(s.self),
		ConfigRevision: s.revision,
		ViewDigest:     s.viewDigest(),
		Want:           s.wantedReports,
	}
	for node, last := range s.heartbeats {
		if !last.relayed && now.Sub(last.receivedAt) < maxAge {
			member := proto.CloneOf(s.knownMembers[node])
			member.ConfigRevision = last.revision
			h.Relayed = append(h.Relayed, member)
		}
	}
	slices.SortFunc(h.Relayed, byName)
	return h
}

// heartbeatReceivedEvent is a heartbeat from another node.
type heartbeatReceivedEvent struct {
	from      peer.Identity
	heartbeat *schema.Heartbeat
	reply     chan *schema.HeartbeatReply
}

func (e heartbeatReceivedEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.lastContact = now
	member := e.heartbeat.GetMember()
	if member.GetNode() == e.from.Node && s.drainingNodes.record(member) {
		s.publishedViewDigest = 0
		m.publish()
	}
	sameZone := e.from.AvailabilityZone == s.ownZone()
	needMember := sameZone && s.recordHeartbeat(e.from.Node, e.heartbeat, now, m.timing.suspectAfter)
	if s.isReporter && sameZone && s.changesReport(e.from.Node, e.heartbeat) {
		m.refreshReport(now)
		m.publish()
	}
	reply := s.buildReply(e.heartbeat, sameZone)
	reply.NeedMember = needMember
	e.reply <- reply
}

// recordHeartbeat records a heartbeat of a node of this zone and those that it
// relays. It reports whether the sender must send its Member, because this node
// does not have the current one.
func (s *state) recordHeartbeat(from string, h *schema.Heartbeat, now time.Time, maxAge time.Duration) bool {
	if h.GetMember() != nil {
		s.knownMembers[from] = h.GetMember()
	}
	delete(s.unreachable, from)
	for _, member := range h.GetRelayed() {
		node := member.GetNode()
		last, ok := s.heartbeats[node]
		direct := ok && !last.relayed && now.Sub(last.receivedAt) < maxAge
		if direct || node == s.self.GetNode() {
			continue
		}
		s.knownMembers[node] = member
		s.heartbeats[node] = &receivedHeartbeat{receivedAt: now, revision: member.GetConfigRevision(), relayed: true}
	}
	known := s.knownMembers[from]
	if known == nil || memberDigest(known) != h.GetMemberDigest() {
		return true
	}
	s.heartbeats[from] = &receivedHeartbeat{receivedAt: now, revision: h.GetConfigRevision()}
	s.recordRevisionSource(known.GetPeerAddress(), h.GetConfigRevision())
	return false
}

// changesReport reports whether a heartbeat may change this zone's report: its
// sender is new or has changed, or it relays members. Other changes are detected
// at the next tick.
func (s *state) changesReport(from string, h *schema.Heartbeat) bool {
	report := s.zone(s.ownZone()).report
	i := slices.IndexFunc(report.GetMembers(), func(member *schema.Member) bool { return member.GetNode() == from })
	return i < 0 || len(h.GetRelayed()) > 0 || memberDigest(report.GetMembers()[i]) != h.GetMemberDigest()
}

// buildReply returns the reply to a heartbeat from this node's view.
func (s *state) buildReply(h *schema.Heartbeat, sameZone bool) *schema.HeartbeatReply {
	reply := &schema.HeartbeatReply{ConfigRevision: s.revision, MinConfigRevision: s.clusterMinRevision()}
	if sameZone {
		reply.Reporting = s.isReporter
		reply.Reporter = s.otherReporter()
	}
	if h.GetViewDigest() != s.viewDigest() {
		for _, name := range s.zoneNames() {
			reply.Summaries = append(reply.Summaries, s.zones[name].summary)
		}
	}
	for _, name := range h.GetWant() {
		if z, ok := s.zones[name]; ok {
			reply.Reports = append(reply.Reports, z.report)
		}
	}
	return reply
}

// otherReporter returns the reporter, or "" if that is this node.
func (s *state) otherReporter() string {
	if s.isReporter {
		return ""
	}
	return s.reporter
}
