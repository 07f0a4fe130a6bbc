package mesh

import (
	"maps"
	"slices"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/schema"
)

// copyZones is the number of other zones whose nodes are told where the streams of a zone
// began, so that this is known when the zone fails.
const copyZones = 2

// StreamRelay holds where streams began. Each node tells the nodes of its zone that it has
// links to, which are the hubs in a large zone; the owner of a zone tells copyZones others.
type StreamRelay interface {
	// Since returns the records that were added after a version, those of this node or
	// also those of the other nodes of its zone, and the version that includes them.
	Since(version uint64, ownOnly bool) (records []resume.Record, current uint64)
	// Apply adds records of another node.
	Apply(records []resume.Record, sameZone bool)
}

// StreamsChanged makes the links send new records of streams.
func (m *Manager) StreamsChanged() { m.changed.broadcast() }

// addStreams adds the new records of streams to an update, and reports whether there are
// any.
func (l *link) addStreams(u *schema.MeshUpdate, toMember bool) bool {
	relay := l.manager.options.StreamRelay
	if relay == nil || toMember || !l.sameZone() && !l.manager.copiesTo(l.peer.Zone) {
		return false
	}
	records, version := relay.Since(l.sentStreams, l.sameZone())
	l.sentStreams = version
	byOrigin := make(map[resume.Origin]*schema.MeshStreams)
	for _, r := range records {
		s := byOrigin[r.Origin]
		if s == nil {
			s = &schema.MeshStreams{Service: r.Origin.Service, Version: r.Origin.Version}
			byOrigin[r.Origin] = s
			u.Streams = append(u.Streams, s)
		}
		s.Ids = append(s.Ids, uint64(r.ID))
	}
	return len(records) > 0
}

// applyStreams applies the records of streams in an update.
func (m *Manager) applyStreams(from peer.Identity, u *schema.MeshUpdate) {
	if m.options.StreamRelay == nil || len(u.GetStreams()) == 0 {
		return
	}
	var records []resume.Record
	for _, s := range u.GetStreams() {
		for _, id := range s.GetIds() {
			records = append(records, resume.Record{
				ID: resume.ID(id), Origin: resume.Origin{Service: s.GetService(), Version: s.GetVersion()},
			})
		}
	}
	m.options.StreamRelay.Apply(records, from.AvailabilityZone == m.options.Self.Zone)
}

// copiesTo reports whether another zone is told of this zone's streams: one of those that
// follow in the order of their names.
func (m *Manager) copiesTo(zone string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := append(slices.Collect(maps.Keys(m.zones)), m.options.Self.Zone)
	slices.Sort(names)
	distance := slices.Index(names, zone) - slices.Index(names, m.options.Self.Zone)
	return (distance+len(names))%len(names) <= copyZones
}

// StreamHolders returns the addresses of the nodes that may know of streams that this node
// does not know of: the nodes of its zone that are told of them, and the likely owners of
// the other zones.
func (m *Manager) StreamHolders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, n := range m.wantedInZone() {
		if s := m.nodes[n.Name]; s != nil && s.active != nil {
			addresses = append(addresses, n.Address)
		}
	}
	for zone := range m.zones {
		for i, n := range m.candidatesInZone(zone) {
			if i == holdersPerZone {
				break
			}
			addresses = append(addresses, n.Address)
		}
	}
	return addresses
}

// OtherNodes returns the other nodes of all zones that are not known to be silent.
func (m *Manager) OtherNodes() []datastore.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes := make([]datastore.Node, 0, len(m.peers))
	for _, n := range m.peers {
		if s := m.source(n); s != nil && s.active != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// holdersPerZone is the number of nodes of another zone that are asked: the owner, and the
// one that was or will be if that has failed.
const holdersPerZone = 2
