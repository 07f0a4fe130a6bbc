package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// sentEvent is the end of a heartbeat that this node sent.
type sentEvent struct {
	to      string
	address string
	digest  uint64
	began   time.Time
	reply   *schema.HeartbeatReply
	err     error
}

func (e sentEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.sending = false
	if e.err != nil {
		m.heartbeatFailed(e, now)
		return
	}
	s.failingSince = time.Time{}
	s.attached = true
	m.inContact(now, e.began)
	s.acked = e.digest
	if e.reply.GetNeedMember() {
		s.acked = 0
	}
	if !e.reply.GetReporting() {
		m.follow(e.reply.GetReporter())
	}
	s.minRevision = e.reply.GetMinConfigRevision()
	s.noteHolder(e.address, e.reply.GetConfigRevision())
	changed := s.adoptReply(e.reply)
	m.publish()
	if changed || e.reply.GetNeedMember() {
		m.sendHeartbeat(now)
	}
}

// heartbeatFailed avoids the receiver once heartbeats have failed for the time
// after which a node is suspected.
func (m *Manager) heartbeatFailed(e sentEvent, now time.Time) {
	s := m.state
	if s.failingSince.IsZero() {
		s.failingSince = e.began
	}
	if now.Sub(s.failingSince) < m.timing.suspect-m.timing.heartbeat {
		return
	}
	m.logger.Warn().Str("event", "reporter_unreachable").Str("node", e.to).Err(e.err).Msg("")
	s.avoided[e.to] = now
	s.failingSince = time.Time{}
	if s.reporter == e.to {
		s.reporter = ""
	}
	m.elect(now)
	m.sendHeartbeat(now)
}

// follow adopts the reporter that the receiver of a heartbeat named.
func (m *Manager) follow(named string) {
	s := m.state
	if named == "" || s.acting || named == s.reporter {
		return
	}
	if _, avoided := s.avoided[named]; avoided {
		return
	}
	m.setReporter(named)
}

// adoptReply takes over the receiver's view. It reports whether this node has
// to ask for reports.
func (s *state) adoptReply(reply *schema.HeartbeatReply) bool {
	for _, report := range reply.GetReports() {
		s.adoptReport(report)
	}
	if len(reply.GetSummaries()) == 0 {
		s.want = nil
		return false
	}
	var want []string
	for _, summary := range reply.GetSummaries() {
		name := summary.GetAvailabilityZone()
		if s.acting && name == s.ownZone() {
			continue
		}
		z := s.zone(name)
		if reportDigest(z.report) != summary.GetDigest() {
			want = append(want, name)
			continue
		}
		z.summary = summary
	}
	asked := slices.Equal(want, s.want)
	s.want = want
	return len(want) > 0 && !asked
}

// adoptReport replaces a zone's report; this node's own report, while it is
// the reporter, is not replaced.
func (s *state) adoptReport(report *schema.ZoneReport) {
	name := report.GetAvailabilityZone()
	if s.acting && name == s.ownZone() {
		return
	}
	z := s.zone(name)
	z.report = report
	z.summary = proto.CloneOf(z.summary)
	z.summary.Digest = reportDigest(report)
}

// sendHeartbeat sends one heartbeat to the reporter, or to the seeds as long
// as no member is known. Only one is under way at a time.
func (m *Manager) sendHeartbeat(now time.Time) {
	s := m.state
	if s.acting || s.sending {
		return
	}
	to, address := m.destination(now)
	if address == "" {
		return
	}
	s.sending = true
	h := s.heartbeat(now, m.timing.suspect)
	digest := h.GetMemberDigest()
	if s.acked == digest {
		h.Member = nil
	}
	timeout := max(m.timing.heartbeat, m.timing.suspect-m.timing.heartbeat)
	m.start(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := m.peers.Heartbeat(ctx, address, h)
		return sentEvent{to: to, address: address, digest: digest, began: now, reply: reply, err: err}
	})
}

// destination returns the node to send to and its address.
func (m *Manager) destination(now time.Time) (string, string) {
	s := m.state
	if address := s.address(s.reporter); address != "" {
		return s.reporter, address
	}
	if len(m.seeds) == 0 || s.attached && len(s.want) == 0 {
		return "", ""
	}
	i := int(now.Sub(s.started)/m.timing.heartbeat) % len(m.seeds)
	return "", m.seeds[i]
}

// heartbeat returns this node's heartbeat with its Member.
func (s *state) heartbeat(now time.Time, fresh time.Duration) *schema.Heartbeat {
	h := &schema.Heartbeat{
		Member:         s.self,
		MemberDigest:   memberDigest(s.self),
		ConfigRevision: s.revision,
		ViewDigest:     s.viewDigest(),
		Want:           s.want,
	}
	for node, seen := range s.heard {
		if !seen.relayed && now.Sub(seen.at) < fresh {
			member := proto.CloneOf(s.known[node])
			member.ConfigRevision = seen.revision
			h.Relayed = append(h.Relayed, member)
		}
	}
	slices.SortFunc(h.Relayed, byName)
	return h
}

// heardEvent is a heartbeat from another node.
type heardEvent struct {
	from      peer.Identity
	heartbeat *schema.Heartbeat
	reply     chan *schema.HeartbeatReply
}

func (e heardEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.contact = now
	member := e.heartbeat.GetMember()
	if member.GetNode() == e.from.Node && s.drains.note(member) {
		s.publishedView = 0
		m.publish()
	}
	sameZone := e.from.AvailabilityZone == s.ownZone()
	needMember := sameZone && s.hear(e.from.Node, e.heartbeat, now, m.timing.suspect)
	if s.acting && sameZone && s.news(e.from.Node, e.heartbeat) {
		m.refreshReport(now)
		m.publish()
	}
	reply := s.reply(e.heartbeat, sameZone)
	reply.NeedMember = needMember
	e.reply <- reply
}

// hear records a heartbeat of a node of this zone. It reports whether the
// sender's Member is not known.
func (s *state) hear(from string, h *schema.Heartbeat, now time.Time, fresh time.Duration) bool {
	if h.GetMember() != nil {
		s.known[from] = h.GetMember()
	}
	delete(s.avoided, from)
	for _, member := range h.GetRelayed() {
		node := member.GetNode()
		seen, ok := s.heard[node]
		direct := ok && !seen.relayed && now.Sub(seen.at) < fresh
		if direct || node == s.self.GetNode() {
			continue
		}
		s.known[node] = member
		s.heard[node] = &heard{at: now, revision: member.GetConfigRevision(), relayed: true}
	}
	known := s.known[from]
	if known == nil || memberDigest(known) != h.GetMemberDigest() {
		return true
	}
	s.heard[from] = &heard{at: now, revision: h.GetConfigRevision()}
	s.noteHolder(known.GetPeerAddress(), h.GetConfigRevision())
	return false
}

// news reports whether a heartbeat tells something that this zone's report does
// not hold. What it does not tell is found at the next tick.
func (s *state) news(from string, h *schema.Heartbeat) bool {
	report := s.zone(s.ownZone()).report
	i := slices.IndexFunc(report.GetMembers(), func(member *schema.Member) bool { return member.GetNode() == from })
	return i < 0 || len(h.GetRelayed()) > 0 || memberDigest(report.GetMembers()[i]) != h.GetMemberDigest()
}

// reply answers a heartbeat from this node's view.
func (s *state) reply(h *schema.Heartbeat, sameZone bool) *schema.HeartbeatReply {
	reply := &schema.HeartbeatReply{ConfigRevision: s.revision, MinConfigRevision: s.toldRevision()}
	if sameZone {
		reply.Reporting = s.acting
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
	if s.acting {
		return ""
	}
	return s.reporter
}
