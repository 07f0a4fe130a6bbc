package balance

import "time"

// ForgiveFailures drops the failures of requests that a node sent, because it has lost its
// links to all targets. The node is empty for this one.
func (m *Manager) ForgiveFailures(node string) { m.submit(failuresForgiven{node}) }

// failuresForgiven says that the failures of a node's requests were its own.
type failuresForgiven struct{ node string }

func (e failuresForgiven) apply(m *Manager, _ time.Time) {
	forgiven := 0
	for _, p := range m.pools {
		for _, t := range p.targets {
			forgiven += t.health.failuresOf[e.node]
			t.health.forgive(e.node)
			t.neverOverdue(e.node)
		}
		m.markChanged(p)
	}
	m.options.Logger.Info().Str("event", "failures_forgiven").Str("node", e.node).Int("failures", forgiven).Msg("")
}
