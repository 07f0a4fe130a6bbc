package admission

import "time"

// SetLeaving notes whether a target says that it leaves; a leaving target gets
// no new permits.
func (o *Owner) SetLeaving(now time.Time, name string, leaving bool) {
	t, ok := o.targets[name]
	if !ok {
		return
	}
	t.saysLeaving = leaving
	o.dispatchAll(now)
}

func (t *target) leaving() bool {
	return t.info.Leaving || t.saysLeaving
}

// SetLeaving passes a target's announcement to the control goroutine.
func (m *Manager) SetLeaving(name string, leaving bool) {
	m.send(func(now time.Time) { m.owner.SetLeaving(now, name, leaving) })
}
