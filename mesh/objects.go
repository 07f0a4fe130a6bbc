package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/schema"
)

// requestObjects asks the owner of the zone for what changed in the store, so that
// the other nodes of the zone need not watch it.
func (l *link) requestObjects(u *schema.MeshUpdate) {
	m := l.manager
	if m.options.ObjectRelay == nil || m.Owner().Name != l.peer.Name {
		return
	}
	u.TargetsRevision = m.options.ObjectRelay.Revision(datastore.KindTargets)
	u.NodesRevision = m.options.ObjectRelay.Revision(datastore.KindNodes)
}

// addObjects adds what a peer asked for to an acknowledgement.
func (m *Manager) addObjects(ack *schema.MeshAck, u *schema.MeshUpdate) {
	ack.Targets = m.encodeChanges(datastore.KindTargets, u.GetTargetsRevision())
	ack.Nodes = m.encodeChanges(datastore.KindNodes, u.GetNodesRevision())
}

// applyObjects applies what the owner of the zone has read, which had the stated age
// when the update was sent, or later.
func (l *link) applyObjects(ack *schema.MeshAck, sent clock.Instant) {
	for kind, c := range map[datastore.Kind]*schema.MeshChanges{
		datastore.KindTargets: ack.GetTargets(), datastore.KindNodes: ack.GetNodes(),
	} {
		if c != nil {
			age := time.Duration(c.GetAgeMicros()) * time.Microsecond
			l.manager.options.ObjectRelay.ApplyChanges(kind, decodeChanges(c), sent.Add(-age))
		}
	}
}

// encodeChanges returns the changes after a revision, nil if none were asked for or
// nothing is known.
func (m *Manager) encodeChanges(kind datastore.Kind, revision uint64) *schema.MeshChanges {
	if revision == 0 || m.options.ObjectRelay == nil {
		return nil
	}
	d, age, ok := m.options.ObjectRelay.Changes(kind, revision)
	if !ok {
		return nil
	}
	c := &schema.MeshChanges{
		Revision: d.Revision, Complete: d.Complete, AgeMicros: uint64(max(age.Microseconds(), 0)),
		Objects: make([]*schema.MeshObject, 0, len(d.Objects)),
	}
	for _, o := range d.Objects {
		c.Objects = append(c.Objects, &schema.MeshObject{Name: o.Name, Content: o.Content, Removed: o.Removed})
	}
	return c
}

func decodeChanges(c *schema.MeshChanges) datastore.Delta {
	d := datastore.Delta{Revision: c.GetRevision(), Complete: c.GetComplete(), Objects: make([]datastore.Object, 0, len(c.GetObjects()))}
	for _, o := range c.GetObjects() {
		d.Objects = append(d.Objects, datastore.Object{Name: o.GetName(), Content: o.GetContent(), Removed: o.GetRemoved()})
	}
	return d
}
