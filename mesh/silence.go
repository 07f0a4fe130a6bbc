package mesh

import "time"

// checkSilence marks sources silent after silenceTimeout, elects the owner and
// reports the share of silent nodes.
func (m *Manager) checkSilence(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sources := range []map[string]*source{m.nodes, m.zones, {m.rest.name: m.rest}} {
		for _, s := range sources {
			if s.active != nil && now.Sub(s.lastUpdate) > silenceTimeout {
				m.markSilent(s)
			}
		}
	}
	m.elect()
	if m.listed {
		m.notifySilentShare()
	}
}

// markSilent removes a source's outstanding use from the sums and notifies the
// listener.
func (m *Manager) markSilent(s *source) {
	if s.active == nil {
		return
	}
	old := s.active
	s.active = nil
	m.options.Logger.Info().Str("event", "peer_lost").Str("source", s.name).Bool("leaving", s.leaving).Msg("")
	m.notify(func(l Listener) { l.SourceSilent(s.name) })
	if s.forwarded == nil && s != m.rest {
		m.sumAgain(old)
	}
}

// sumAgain sums what a feed of a node of this zone has reported, which no longer
// counts. The lock must be held.
func (m *Manager) sumAgain(old *feed) {
	for id := range old.targets {
		m.sumTarget(id)
	}
	for q := range old.queues {
		m.sumQueue(q)
	}
	for k := range old.shares {
		m.sumShare(k)
	}
}

// notifySilentShare notifies the listener if the share of silent nodes or the
// number of nodes changed. Nodes that are leaving count in neither.
func (m *Manager) notifySilentShare() {
	silent, all := 0, 1
	covering := make(map[*source]int)
	for _, n := range m.peers {
		s := m.source(n)
		if s != nil && s.leaving {
			continue
		}
		all++
		if s == nil || s.active == nil {
			silent++
			continue
		}
		covering[s]++
	}
	// A node that reports for others knows which of them are silent.
	for s, nodes := range covering {
		silent += min(s.silentNodes, nodes)
	}
	share := float64(silent) / float64(all)
	if share != m.silentShare || all != m.nodeCount {
		m.silentShare, m.nodeCount = share, all
		m.options.Logger.Info().Str("event", "silent_share").Float64("share", share).Int("nodes", all).Msg("")
		m.notify(func(l Listener) { l.SilentShare(share, all) })
	}
}

// silentInZone returns how many other nodes of this zone are silent. The lock must
// be held.
func (m *Manager) silentInZone() int {
	silent := 0
	for name, s := range m.nodes {
		if _, known := m.peers[name]; known && s.active == nil && !s.leaving {
			silent++
		}
	}
	return silent
}
