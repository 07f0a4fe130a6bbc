package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/loadreport"
)

// Use is what a node or a zone uses of a target and knows of it.
type Use struct {
	Load
	// Step is the step time that it has measured, 0 if unknown.
	Step time.Duration
	// Limit is how many requests a second the target has stated to it, 0 for none.
	Limit float64
	// Brittle is set if the target has said to it that it falls over when it has to turn a
	// few requests away.
	Brittle bool
	// Report is the last load report of the target to it; the time is zero if there is none.
	Report loadreport.Report
}

// SetRemoteUse sets the use of a target by a source, which is a node or a zone.
func (m *Manager) SetRemoteUse(source, target string, use Use) {
	m.submit(remoteUseReported{source, target, use})
}

// RemoveSource removes all loads and queue lengths of a source.
func (m *Manager) RemoveSource(source string) {
	m.submit(sourceLost{source})
}

// remoteUseReported is a report from another node or zone.
type remoteUseReported struct {
	source, target string
	use            Use
}

func (e remoteUseReported) apply(m *Manager, now time.Time) {
	loads := m.remote[e.source]
	if loads == nil {
		loads = make(map[string]Use)
		m.remote[e.source] = loads
	}
	loads[e.target] = e.use
	for _, p := range m.pools {
		t := p.targets[e.target]
		if t == nil {
			continue
		}
		t.advancePrefill(now, p.engine)
		freed := e.use.Requests < t.remote[e.source].Requests
		t.remote[e.source] = remoteLoad{e.use.Load, e.use.PromptTokens, e.use.Limit, e.use.Brittle}
		t.updateFreed(now)
		m.bookEarly(t, now)
		t.reports.Record(e.use.Report)
		if e.use.Step > 0 {
			t.speed.reported = e.use.Step.Seconds()
			if t.speed.samples < minOwnSamples {
				t.reports.LearnedElsewhere(now)
			}
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
		p.sharing.removeSource(e.source)
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
			t.remote[source] = remoteLoad{l.Load, l.PromptTokens, l.Limit, l.Brittle}
		}
	}
}
