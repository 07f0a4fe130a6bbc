package balance

import "time"

// SetRemoteLoad sets the load of a source, which is a node or a zone, at a
// target, and the step time that the source has measured, 0 if unknown.
func (m *Manager) SetRemoteLoad(source, target string, load Load, step time.Duration) {
	m.submit(remoteLoadReported{source, target, load, step})
}

// RemoveSource removes all loads and queue lengths of a source.
func (m *Manager) RemoveSource(source string) {
	m.submit(sourceLost{source})
}

// remoteLoadReported is a load report from another node or zone.
type remoteLoadReported struct {
	source, target string
	load           Load
	step           time.Duration
}

func (e remoteLoadReported) apply(m *Manager, now time.Time) {
	loads := m.remote[e.source]
	if loads == nil {
		loads = make(map[string]Load)
		m.remote[e.source] = loads
	}
	loads[e.target] = e.load
	for _, p := range m.pools {
		t := p.targets[e.target]
		if t == nil {
			continue
		}
		t.advancePrefill(now, p.engine)
		freed := e.load.Requests < t.remote[e.source].Requests
		t.remote[e.source] = remoteLoad{e.load, e.load.PromptTokens}
		t.updateFreed(now)
		if e.step > 0 {
			t.speed.reported = e.step.Seconds()
		}
		if freed {
			m.markChanged(p)
		}
	}
}

// sourceLost means that a source no longer reports.
type sourceLost struct{ source string }

func (e sourceLost) apply(m *Manager, now time.Time) {
	delete(m.remote, e.source)
	delete(m.remoteQueues.waiting, e.source)
	for _, p := range m.pools {
		for _, t := range p.targets {
			t.advancePrefill(now, p.engine)
			delete(t.remote, e.source)
			t.updateFreed(now)
		}
		m.markChanged(p)
	}
}

// restoreRemoteLoads applies the loads that were reported for a target before
// this node knew the target.
func (m *Manager) restoreRemoteLoads(t *target) {
	for source, loads := range m.remote {
		if l, ok := loads[t.ID]; ok {
			t.remote[source] = remoteLoad{l, l.PromptTokens}
		}
	}
}
