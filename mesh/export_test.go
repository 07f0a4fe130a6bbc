package mesh

import "slices"

// OnlyReport reports whether the given owners, by zone, and no other nodes, report for
// their zones, to each other, and whether these reports count at all nodes.
func OnlyReport(owners map[string]string, nodes ...*Manager) bool {
	for _, m := range nodes {
		for zone, owner := range owners {
			self := m.options.Self
			if zone == self.Zone {
				continue
			}
			links, reporter := []string(nil), owners[self.Zone]
			if self.Name == reporter {
				links, reporter = []string{owner}, owner
			}
			if !slices.Equal(m.linksInto(zone), links) || m.reporter(zone) != reporter {
				return false
			}
		}
	}
	return true
}

// reporter returns the node whose reports of another zone count, "" if none does.
func (m *Manager) reporter(zone string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.zones[zone]; s != nil && s.active != nil {
		return s.active.reporter.Node
	}
	return ""
}

// linksInto returns the nodes of a zone to which there are links, in order.
func (m *Manager) linksInto(zone string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, l := range m.links {
		if l.peer.Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
