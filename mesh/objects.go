package mesh

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ReadsForAll reports whether this node reads the store for the whole deployment: it
// owns the first of the zones that are heard, by name.
func (m *Manager) ReadsForAll() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reader() == m.options.Self.Name
}

// Nodes returns the number of nodes of all zones, including this one.
func (m *Manager) Nodes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// reader returns the name of the node from which this node takes what changed in the
// store: the owner of its zone or, if it owns the zone, the owner of the first zone;
// its own name if it reads for all. The lock must be held.
func (m *Manager) reader() string {
	owner := m.owner.Load().Name
	if owner != m.options.Self.Name {
		return owner
	}
	first, reader := m.options.Self.Zone, owner
	for name, s := range m.zones {
		if name < first && s.active != nil && time.Since(s.lastDirect) < silenceTimeout {
			first, reader = name, s.directPeer
		}
	}
	return reader
}

// requestObjects asks the reader for what changed in the store, so that this node
// need not watch it.
func (l *link) requestObjects(u *schema.MeshUpdate) {
	m := l.manager
	m.mu.Lock()
	reader := m.reader()
	m.mu.Unlock()
	if m.options.ObjectRelay == nil || reader != l.peer.Name {
		return
	}
	targets, nodes := m.options.ObjectRelay.Position(datastore.KindTargets), m.options.ObjectRelay.Position(datastore.KindNodes)
	u.TargetsEra, u.TargetsRevision = targets.Era, targets.Revision
	u.NodesEra, u.NodesRevision = nodes.Era, nodes.Revision
}

// completeInterval is the minimum time between two acknowledgements that contain all
// objects, on one stream: the peer needs time to receive and apply them.
const completeInterval = 2 * time.Second

// maxChangesBytes bounds the changes of one kind in an acknowledgement, which holds
// those of two kinds and little else.
const maxChangesBytes = peer.MaxMessageBytes / 3

// addObjects adds what a peer asked for to an acknowledgement.
func (m *Manager) addObjects(ack *schema.MeshAck, u *schema.MeshUpdate, in *inbound) {
	if m.options.ObjectRelay != nil {
		ack.StoreEra = m.options.ObjectRelay.Era()
	}
	targets := datastore.Position{Era: u.GetTargetsEra(), Revision: u.GetTargetsRevision()}
	nodes := datastore.Position{Era: u.GetNodesEra(), Revision: u.GetNodesRevision()}
	ack.Targets = m.changesSince(datastore.KindTargets, targets, in)
	ack.Nodes = m.changesSince(datastore.KindNodes, nodes, in)
}

// applyObjects applies what the reader has read, which had the stated age
// when the update was sent, or later.
func (l *link) applyObjects(ack *schema.MeshAck, sent clock.Instant) {
	if l.manager.options.ObjectRelay != nil {
		l.manager.options.ObjectRelay.ApplyEra(ack.GetStoreEra())
	}
	for kind, c := range map[datastore.Kind]*schema.MeshChanges{
		datastore.KindTargets: ack.GetTargets(), datastore.KindNodes: ack.GetNodes(),
	} {
		if c != nil && l.manager.options.ObjectRelay != nil {
			age := time.Duration(c.GetAgeMicros()) * time.Microsecond
			l.manager.options.ObjectRelay.ApplyChanges(kind, decodeChanges(c), sent.Add(-age))
		}
	}
}

// changesSince returns the changes after a state of the store, nil if none were asked for
// or this node cannot tell.
func (m *Manager) changesSince(kind datastore.Kind, since datastore.Position, in *inbound) *schema.MeshChanges {
	if since.Revision == 0 || m.options.ObjectRelay == nil {
		return nil
	}
	d, age, ok := m.options.ObjectRelay.Changes(kind, since)
	if !ok || d.Complete && time.Since(in.completeSent[kind]) < completeInterval {
		return nil
	}
	c := encodeChanges(d)
	c.AgeMicros = uint64(max(age.Microseconds(), 0))
	if !m.fits(c, kind, in) {
		return nil
	}
	if d.Complete {
		in.completeSent[kind] = time.Now()
	}
	return c
}

func encodeChanges(d datastore.Delta) *schema.MeshChanges {
	c := &schema.MeshChanges{
		Era: d.Position.Era, Revision: d.Position.Revision, FromEra: d.From.Era, FromRevision: d.From.Revision,
		Complete: d.Complete, Compared: d.Compared, GraceMicros: uint64(d.Grace.Microseconds()),
		Objects: make([]*schema.MeshObject, 0, len(d.Objects)),
	}
	for _, o := range d.Objects {
		c.Objects = append(c.Objects, &schema.MeshObject{Name: o.Name, Content: o.Content, Removed: o.Removed})
	}
	return c
}

// fits reports whether changes can be sent in an acknowledgement, and logs the first
// ones of a node that cannot. The node is then told nothing and reads for itself.
func (m *Manager) fits(c *schema.MeshChanges, kind datastore.Kind, in *inbound) bool {
	size := proto.Size(c)
	fits := size <= maxChangesBytes
	if !fits && !in.tooLarge[kind] {
		m.options.Logger.Warn().Str("event", "changes_too_large").Str("peer", in.from.Node).Int("kind", int(kind)).
			Int("objects", len(c.GetObjects())).Int("bytes", size).Msg("")
	}
	in.tooLarge[kind] = !fits
	return fits
}

func decodeChanges(c *schema.MeshChanges) datastore.Delta {
	d := datastore.Delta{
		From:     datastore.Position{Era: c.GetFromEra(), Revision: c.GetFromRevision()},
		Position: datastore.Position{Era: c.GetEra(), Revision: c.GetRevision()},
		Complete: c.GetComplete(), Compared: c.GetCompared(), Grace: time.Duration(c.GetGraceMicros()) * time.Microsecond,
		Objects: make([]datastore.Object, 0, len(c.GetObjects())),
	}
	for _, o := range c.GetObjects() {
		d.Objects = append(d.Objects, datastore.Object{Name: o.GetName(), Content: o.GetContent(), Removed: o.GetRemoved()})
	}
	return d
}
