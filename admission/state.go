package admission

import "time"

// SetTargetState notes whether a target says that it leaves, and which models
// it says it holds; no models means that the register's count. A leaving
// target gets no new permits.
func (o *Owner) SetTargetState(now time.Time, name string, leaving bool, models []string) {
	t, ok := o.targets[name]
	if !ok {
		return
	}
	t.saysLeaving = leaving
	t.loaded = models
	o.dispatchAll(now)
}

func (t *target) leaving() bool {
	return t.info.Leaving || t.saysLeaving
}

func (t *target) holds() []string {
	if len(t.loaded) > 0 {
		return t.loaded
	}
	return t.models
}

// SetTargetState passes a target's announcement to the control goroutine.
func (m *Manager) SetTargetState(name string, leaving bool, models []string) {
	m.send(func(now time.Time) { m.owner.SetTargetState(now, name, leaving, models) })
}
