package ledger

// SetSealThreshold sets the number of entries in a segment at which they are
// moved to a part.
func (m *Manager) SetSealThreshold(n int) { m.sealThreshold = n }
