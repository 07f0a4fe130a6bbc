package admission

import "time"

// SetTargetState sets whether a target announces that it is leaving, and the
// models that it announces as loaded. Without models, those in the register
// apply. A leaving target gets no new permits.
func (o *Owner) SetTargetState(now time.Time, name string, leaving bool, models []string) {
	t, ok := o.targets[name]
	if !ok {
		return
	}
	t.announcedLeaving = leaving
	t.announcedModels = models
	o.dispatchAll(now)
}

// leaving reports whether the topology or the target itself says that it
// leaves.
func (t *target) leaving() bool {
	return t.info.Leaving || t.announcedLeaving
}

// availableModels returns the models that the target has announced, or those of
// the topology if it has announced none.
func (t *target) availableModels() []string {
	if len(t.announcedModels) > 0 {
		return t.announcedModels
	}
	return t.models
}

// SetTargetState passes a target's announcement to the control goroutine.
func (m *Manager) SetTargetState(name string, leaving bool, models []string) {
	m.send(func(now time.Time) { m.owner.SetTargetState(now, name, leaving, models) })
}
