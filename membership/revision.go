package membership

// Holder is a node that has a configuration revision.
type Holder struct {
	// Address is the node's peer address.
	Address  string
	Revision uint64
}

// NewestRevision returns the node with the highest configuration revision known
// to this node, so that the revision can be fetched from it. It returns the zero
// Holder if no known revision is higher than this node's own.
func (m *Manager) NewestRevision() Holder {
	return m.published.Load().newest
}

// recordHolder records the node with the highest revision.
func (s *state) recordHolder(address string, revision uint64) {
	if address != "" && revision > max(s.revision, s.newestHolder.Revision) {
		s.newestHolder = Holder{Address: address, Revision: revision}
	}
}

// newerHolder returns the recorded holder if its revision is higher than this
// node's, otherwise the zero Holder.
func (s *state) newerHolder() Holder {
	if s.newestHolder.Revision <= s.revision {
		return Holder{}
	}
	return s.newestHolder
}
