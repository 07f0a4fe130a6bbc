package membership

// Holder is a node that holds a configuration revision.
type Holder struct {
	// Address is the node's peer address.
	Address  string
	Revision uint64
}

// NewestRevision returns the node with the highest configuration revision that
// this node has heard of, so that the revision can be fetched from it. It is
// the zero Holder if none is higher than this node's own.
func (m *Manager) NewestRevision() Holder {
	return m.published.Load().newest
}

// noteHolder remembers the node with the highest revision.
func (s *state) noteHolder(address string, revision uint64) {
	if address != "" && revision > max(s.revision, s.newest.Revision) {
		s.newest = Holder{Address: address, Revision: revision}
	}
}

// newestAbove returns the noted holder while it is ahead of this node.
func (s *state) newestAbove() Holder {
	if s.newest.Revision <= s.revision {
		return Holder{}
	}
	return s.newest
}
