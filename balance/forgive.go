package balance

import "time"

// ForgiveFailures drops the failures of requests that a node sent to targets of a service,
// because it has lost its links to all of them. The node is empty for this one, the service
// for all of them.
func (m *Manager) ForgiveFailures(node, service string) {
	m.submit(failuresForgiven{node, service})
}

// failuresForgiven says that the failures of a node's requests were its own.
type failuresForgiven struct{ node, service string }

func (e failuresForgiven) apply(m *Manager, _ time.Time) {
	forgiven := 0
	for _, p := range m.pools {
		if e.service != "" && e.service != p.name {
			continue
		}
		for _, t := range p.targets {
			forgiven += t.health.failuresOf[e.node]
			t.health.forgive(e.node)
			t.neverOverdue(e.node)
		}
		m.markChanged(p)
	}
	m.options.Logger.Info().Str("event", "failures_forgiven").Str("node", e.node).Str("service", e.service).
		Int("failures", forgiven).Msg("")
}
