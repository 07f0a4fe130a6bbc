package membership

// RevisionSource is a node that has a configuration revision.
type RevisionSource struct {
	// Address is the node's peer address.
	Address  string
	Revision uint64
}

// NewestRevisionSource returns the node with the highest configuration revision
// known to this node, so that the revision can be fetched from it. It returns
// the zero RevisionSource if no known revision is higher than this node's own.
func (m *Manager) NewestRevisionSource() RevisionSource {
	return m.published.Load().newest
}

// recordRevisionSource records the node with the highest revision.
func (s *state) recordRevisionSource(address string, revision uint64) {
	if address != "" && revision > max(s.revision, s.newestRevisionSource.Revision) {
		s.newestRevisionSource = RevisionSource{Address: address, Revision: revision}
	}
}

// newerRevisionSource returns the recorded source if its revision is higher
// than this node's, otherwise the zero RevisionSource.
func (s *state) newerRevisionSource() RevisionSource {
	if s.newestRevisionSource.Revision <= s.revision {
		return RevisionSource{}
	}
	return s.newestRevisionSource
}
