package ledger

// SetSealEntries sets how many entries of a segment are moved to a part.
func (m *Manager) SetSealEntries(n int) { m.sealEntries = n }
