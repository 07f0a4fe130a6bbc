package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// state is the mutable state of a Manager. Only the Run goroutine uses it.
type state struct {
	self     *schema.Member
	revision uint64
	// newestRevisionSource is the node with the highest revision known.
	newestRevisionSource RevisionSource
	zones                map[string]*zone
	// heartbeats holds the last heartbeat of each node that was received directly
	// or relayed by another node.
	heartbeats map[string]*receivedHeartbeat
	// knownMembers holds the latest Member of each node that was received directly
	// or relayed by another node.
	knownMembers map[string]*schema.Member
	// unreachable holds the nodes that cannot be reached, with the time of the
	// failure or the last probe.
	unreachable map[string]time.Time
	// reporter is the node that this node considers its zone's reporter.
	reporter string
	// isReporter is set while this node is the zone's reporter.
	isReporter bool
	// yieldUntil is the time before which this node must not become the reporter,
	// because another reporter may be alive that it cannot reach, or that took
	// over while this process was paused.
	yieldUntil    time.Time
	drainingNodes drainingNodes
	// memberRemoval delays the removal of members from this zone's report,
	// zoneRemoval the marking of zones as lost.
	memberRemoval removalDebouncer
	zoneRemoval   removalDebouncer
	// wantedReports names the zones whose reports the next heartbeat requests.
	wantedReports []string
	// heartbeatInFlight and cycleInFlight are set while a heartbeat, or a cycle of
	// reads and writes, is in progress.
	heartbeatInFlight bool
	cycleInFlight     bool
	// joined is set once a heartbeat of this node has been answered.
	joined bool
	// firstReadDone is set once the reads of a cycle have ended, lastReadFailed
	// while the last ones failed.
	firstReadDone  bool
	lastReadFailed bool
	// failingSince is the time of the first failed heartbeat in a row.
	failingSince time.Time
	// ackedDigest is the digest of the Member that the reporter has of this node.
	ackedDigest uint64
	// lastContact is when a peer or the object API was last in contact.
	lastContact time.Time
	startedAt   time.Time
	lastCycle   time.Time
	lastPoll    time.Time
	leavingVMs  []string
	// minRevision is the cluster's lowest revision that the last reply reported.
	minRevision uint64
	// publishedMembersDigest covers the members last published,
	// publishedViewDigest the zones' reports that they are derived from. If the
	// latter is zero, publish derives them again.
	publishedMembersDigest uint64
	publishedViewDigest    uint64
}

// zone is this node's view of an availability zone.
type zone struct {
	report  *schema.ZoneReport
	summary *schema.ZoneSummary
	// summaryVersion and reportVersion are the versions of the zone's objects;
	// zero means unknown.
	summaryVersion objects.Version
	reportVersion  objects.Version
	// storedReporter and storedBeat are those of the stored summary.
	storedReporter string
	storedBeat     uint64
	// writtenDigest is the digest of the report that this node wrote last.
	writtenDigest uint64
	// summaryChangedAt is when the stored summary was last found changed,
	// summaryChanges how often since this node became the reporter.
	summaryChangedAt time.Time
	summaryChanges   int
	// unanswered counts the queries to this zone since its reporter last answered
	// one.
	unanswered int
}

// receivedHeartbeat describes the latest heartbeat of a node.
type receivedHeartbeat struct {
	receivedAt time.Time
	revision   uint64
	relayed    bool
}

func newState(self *schema.Member) *state {
	return &state{
		self:          self,
		revision:      self.GetConfigRevision(),
		zones:         make(map[string]*zone),
		heartbeats:    make(map[string]*receivedHeartbeat),
		knownMembers:  make(map[string]*schema.Member),
		unreachable:   make(map[string]time.Time),
		drainingNodes: make(drainingNodes),
	}
}

func (s *state) ownZone() string {
	return s.self.GetAvailabilityZone()
}

// zone returns the named zone, which it adds if it is not known yet.
func (s *state) zone(name string) *zone {
	z, ok := s.zones[name]
	if !ok {
		z = &zone{report: &schema.ZoneReport{AvailabilityZone: name}, summary: &schema.ZoneSummary{AvailabilityZone: name}}
		s.zones[name] = z
	}
	return z
}

// zoneNames returns the names of the known zones, sorted.
func (s *state) zoneNames() []string {
	names := make([]string, 0, len(s.zones))
	for name := range s.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// members returns the members of all zones that are not lost, sorted by node
// name.
func (s *state) members() []*schema.Member {
	var members []*schema.Member
	for _, z := range s.zones {
		if !z.summary.GetLost() {
			members = append(members, z.report.GetMembers()...)
		}
	}
	slices.SortFunc(members, byName)
	s.drainingNodes.markDraining(members)
	return members
}

func byName(a, b *schema.Member) int {
	return cmp.Compare(a.GetNode(), b.GetNode())
}

// allLeavingVMs returns the VMs that any zone reports as leaving.
func (s *state) allLeavingVMs() []string {
	var vms []string
	for _, z := range s.zones {
		vms = append(vms, z.report.GetLeavingVms()...)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// minRevisionOfZones returns the lowest revision in force in the zones that are
// not lost.
func (s *state) minRevisionOfZones() uint64 {
	lowest := s.revision
	for _, z := range s.zones {
		if !z.summary.GetLost() && len(z.report.GetMembers()) > 0 {
			lowest = min(lowest, z.summary.GetMinConfigRevision())
		}
	}
	return lowest
}

// chooseReporter selects a reporter by rendezvous hashing among the zone's active
// members, without those that are unreachable. This node is a candidate if
// mayReport allows it, or in any state if there is no other candidate and
// yieldUntil has passed. It returns "" if there is no candidate.
func (s *state) chooseReporter(now time.Time) string {
	var nodes []string
	for _, member := range s.zone(s.ownZone()).report.GetMembers() {
		node := member.GetNode()
		_, unreachable := s.unreachable[node]
		if node != s.self.GetNode() && !unreachable && member.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE {
			nodes = append(nodes, node)
		}
	}
	lastResort := len(nodes) == 0 && !now.Before(s.yieldUntil)
	if s.mayReport(now) || lastResort {
		nodes = append(nodes, s.self.GetNode())
	}
	if len(nodes) == 0 {
		return ""
	}
	slices.Sort(nodes)
	return rendezvous.New(nodes, xxhash.Sum64String).Lookup(s.ownZone())
}

// mayReport reports whether this node may be the zone's reporter.
func (s *state) mayReport(now time.Time) bool {
	return s.self.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE && !now.Before(s.yieldUntil)
}

// peerAddress returns a node's peer address, or "" if it is not known.
func (s *state) peerAddress(node string) string {
	for _, z := range s.zones {
		for _, member := range z.report.GetMembers() {
			if member.GetNode() == node {
				return member.GetPeerAddress()
			}
		}
	}
	return s.knownMembers[node].GetPeerAddress()
}

// viewDigest covers the zones' reports and which of them are lost.
func (s *state) viewDigest() uint64 {
	hash := xxhash.New()
	for _, name := range s.zoneNames() {
		z := s.zones[name]
		_, _ = hash.WriteString(name)
		writeUint64(hash, z.summary.GetDigest())
		if z.summary.GetLost() {
			writeUint64(hash, 1)
		}
	}
	return hash.Sum64()
}

// memberDigest covers all fields of a Member except the revision, which changes
// often and is sent separately.
func memberDigest(member *schema.Member) uint64 {
	hash := xxhash.New()
	writeMember(hash, member)
	return hash.Sum64()
}

// reportDigest covers a report's members and leaving VMs.
func reportDigest(report *schema.ZoneReport) uint64 {
	hash := xxhash.New()
	for _, member := range report.GetMembers() {
		writeMember(hash, member)
	}
	_, _ = hash.WriteString(strings.Join(report.GetLeavingVms(), "\x00"))
	return hash.Sum64()
}

func writeMember(hash *xxhash.Digest, member *schema.Member) {
	fields := []string{member.GetNode(), member.GetAvailabilityZone(), member.GetRegion(), member.GetPeerAddress()}
	_, _ = hash.WriteString(strings.Join(fields, "\x00"))
	writeUint64(hash, member.GetIncarnation())
	writeUint64(hash, uint64(member.GetState()))
}

func writeUint64(hash *xxhash.Digest, v uint64) {
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, v))
}
