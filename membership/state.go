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

// state is what the Run goroutine knows.
type state struct {
	self     *schema.Member
	revision uint64
	// newest is the node with the highest revision heard of.
	newest Holder
	zones  map[string]*zone
	// heard holds the nodes whose heartbeats reach this node.
	heard map[string]*heard
	// known holds the latest Member of each node that sent one.
	known map[string]*schema.Member
	// avoided holds the nodes that cannot be reached, with the time since.
	avoided map[string]time.Time
	// reporter is the node that is named as the zone's reporter.
	reporter string
	// acting is set while this node is the zone's reporter.
	acting bool
	// yieldUntil keeps this node from acting while another reporter, which it
	// cannot reach, is alive in the object API.
	yieldUntil time.Time
	drains     drains
	burst      burst
	lostBurst  burst
	want       []string
	// sending and cycling are set while a heartbeat, or a round of reads and
	// writes, is under way.
	sending bool
	cycling bool
	// attached is set once a reporter has answered.
	attached bool
	// looked is set after the first round of reads, readFailed after one that
	// failed.
	looked     bool
	readFailed bool
	// failingSince is the time of the first failed heartbeat in a row.
	failingSince time.Time
	// acked is the digest of this node's Member that the reporter holds.
	acked       uint64
	contact     time.Time
	started     time.Time
	lastCycle   time.Time
	lastPoll    time.Time
	leavingVMs  []string
	minRevision uint64
	// digest covers the members last published, publishedView the zones'
	// reports that they come from; zero makes them be derived anew.
	digest        uint64
	publishedView uint64
}

// zone is what this node knows of an availability zone.
type zone struct {
	report  *schema.ZoneReport
	summary *schema.ZoneSummary
	// version is the summary object's, reportVersion the report object's; zero
	// means unknown.
	version       objects.Version
	reportVersion objects.Version
	// holder and beat are those of the stored summary.
	holder string
	beat   uint64
	// written is the digest of the report that this node wrote last.
	written uint64
	// risen is when the summary was last seen to change, rises how often since
	// this node began to act.
	risen time.Time
	rises int
	// unanswered counts the questions to this zone that were not answered.
	unanswered int
}

// heard is the latest heartbeat of a node.
type heard struct {
	at       time.Time
	revision uint64
	relayed  bool
}

func newState(self *schema.Member) *state {
	return &state{
		self:     self,
		revision: self.GetConfigRevision(),
		zones:    make(map[string]*zone),
		heard:    make(map[string]*heard),
		known:    make(map[string]*schema.Member),
		avoided:  make(map[string]time.Time),
		drains:   make(drains),
	}
}

func (s *state) ownZone() string {
	return s.self.GetAvailabilityZone()
}

func (s *state) zone(name string) *zone {
	z, ok := s.zones[name]
	if !ok {
		z = &zone{report: &schema.ZoneReport{AvailabilityZone: name}, summary: &schema.ZoneSummary{AvailabilityZone: name}}
		s.zones[name] = z
	}
	return z
}

// zoneNames returns the known zones in order.
func (s *state) zoneNames() []string {
	names := make([]string, 0, len(s.zones))
	for name := range s.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// members returns the members of all zones that are not lost, by name.
func (s *state) members() []*schema.Member {
	var members []*schema.Member
	for _, z := range s.zones {
		if !z.summary.GetLost() {
			members = append(members, z.report.GetMembers()...)
		}
	}
	slices.SortFunc(members, byName)
	s.drains.apply(members)
	return members
}

func byName(a, b *schema.Member) int {
	return cmp.Compare(a.GetNode(), b.GetNode())
}

// allLeaving returns the VMs that any zone reports as leaving.
func (s *state) allLeaving() []string {
	var vms []string
	for _, z := range s.zones {
		vms = append(vms, z.report.GetLeavingVms()...)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// lowestRevision returns the lowest revision in force in the zones that are
// not lost.
func (s *state) lowestRevision() uint64 {
	lowest := s.revision
	for _, z := range s.zones {
		if !z.summary.GetLost() && len(z.report.GetMembers()) > 0 {
			lowest = min(lowest, z.summary.GetMinConfigRevision())
		}
	}
	return lowest
}

// choose returns the reporter by rendezvous hashing among the zone's active
// members, without those that are avoided. It returns "" if there is none.
func (s *state) choose(now time.Time) string {
	var nodes []string
	for _, member := range s.zone(s.ownZone()).report.GetMembers() {
		node := member.GetNode()
		_, avoided := s.avoided[node]
		if node != s.self.GetNode() && !avoided && member.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE {
			nodes = append(nodes, node)
		}
	}
	lastResort := len(nodes) == 0 && !now.Before(s.yieldUntil)
	if s.mayAct(now) || lastResort {
		nodes = append(nodes, s.self.GetNode())
	}
	if len(nodes) == 0 {
		return ""
	}
	slices.Sort(nodes)
	return rendezvous.New(nodes, xxhash.Sum64String).Lookup(s.ownZone())
}

func (s *state) mayAct(now time.Time) bool {
	return s.self.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE && !now.Before(s.yieldUntil)
}

// address returns a zone member's peer address, or "".
func (s *state) address(node string) string {
	for _, z := range s.zones {
		for _, member := range z.report.GetMembers() {
			if member.GetNode() == node {
				return member.GetPeerAddress()
			}
		}
	}
	return s.known[node].GetPeerAddress()
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

// memberDigest covers what a Member tells, but for the revision, which changes
// often and is sent apart.
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
