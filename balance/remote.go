package balance

import "time"

// Remote takes over what a source, a node or a zone, has outstanding at a
// target, and the step time that it has learned, 0 if unknown.
func (m *Manager) Remote(source, target string, load Load, step time.Duration) {
	m.submit(remoteLoad{source, target, load, step})
}

// Lost forgets what a source has outstanding.
func (m *Manager) Lost(source string) {
	m.submit(remoteLost{source})
}

// remoteLoad is a report of another node or zone.
type remoteLoad struct {
	source, target string
	load           Load
	step           time.Duration
}

func (e remoteLoad) apply(m *Manager, now time.Time) {
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
		t.advance(now, p.engine)
		freed := e.load.Requests < t.remote[e.source].Requests
		t.remote[e.source] = told{e.load, e.load.PromptTokens}
		t.noteFree(now)
		if e.step > 0 {
			t.pace.told = e.step.Seconds()
		}
		if freed {
			m.touch(p)
		}
	}
}

// remoteLost is a source that is not heard of any more.
type remoteLost struct{ source string }

func (e remoteLost) apply(m *Manager, now time.Time) {
	delete(m.remote, e.source)
	delete(m.claims.waiting, e.source)
	for _, p := range m.pools {
		for _, t := range p.targets {
			t.advance(now, p.engine)
			delete(t.remote, e.source)
			t.noteFree(now)
		}
		m.touch(p)
	}
}

// recall takes over what was told of a target before it was known here.
func (m *Manager) recall(t *target) {
	for source, loads := range m.remote {
		if l, ok := loads[t.ID]; ok {
			t.remote[source] = told{l, l.PromptTokens}
		}
	}
}
