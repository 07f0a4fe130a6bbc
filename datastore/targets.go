package datastore

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// applyTargets replaces the targets with the store's list. After an outage it retains
// missing targets for its grace.
func (s *state) applyTargets(u Update[*catalog.Target]) {
	now := time.Now()
	s.retained.extend(now, u.Grace)
	if !u.Changed {
		return
	}
	if s.targetsListed && u.At.Era != s.shownAt.Era {
		s.doubtUntil = now.Add(departedRetention)
	}
	s.shown, s.shownAt, s.targetsListed = u.Items, u.At, true
	s.replaceTargets(s.currentEntries(now), u.Removed, now)
}

// currentEntries returns the entries that hold for the targets that the store shows.
func (s *state) currentEntries(now time.Time) map[string]*catalog.Target {
	s.held = false
	if !now.Before(s.doubtUntil) {
		return s.shown
	}
	entries := make(map[string]*catalog.Target, len(s.shown))
	for id, shown := range s.shown {
		var departed *departedTarget
		if d, ok := s.departed[id]; ok && !d.expired(now) {
			departed = &d
		}
		e := currentEntry(shown, s.targets[id], departed)
		s.held = s.held || e != shown
		if e != nil {
			entries[id] = e
		}
	}
	return entries
}

// replaceTargets replaces the list of targets and publishes it. removed holds the last
// state of the targets that were removed, where known.
func (s *state) replaceTargets(items, removed map[string]*catalog.Target, now time.Time) {
	s.logChanges(items)
	s.recordDeparted(items, removed, now)
	if s.retained.lasts(now) {
		s.retained.keep(s.targets, items, func(t *catalog.Target) bool { return !t.Draining })
	}
	s.targets = items
	s.manager.ready.Store(true)
	s.publish()
}

// recordDeparted records the targets that are missing from a new list, and forgets
// those recorded longer than departedRetention ago.
func (s *state) recordDeparted(items, removed map[string]*catalog.Target, now time.Time) {
	for id, d := range s.departed {
		if d.expired(now) {
			delete(s.departed, id)
		}
	}
	for id, t := range s.targets {
		if _, ok := items[id]; ok {
			continue
		}
		marked := *t
		last := removed[id]
		stateKnown := last != nil && !predates(last, t)
		if stateKnown {
			marked.Started, marked.Sequence = last.Started, last.Sequence
		}
		left := t.Draining || !s.retained.lasts(now)
		marked.Draining = true
		s.departed[id] = departedTarget{target: &marked, stateKnown: stateKnown, at: now, left: left}
	}
}

// logChanges logs the targets that joined, started draining or left.
func (s *state) logChanges(items map[string]*catalog.Target) {
	logger := s.manager.options.Logger
	for id, t := range items {
		old := s.targets[id]
		switch {
		case old == nil:
			logger.Info().Str("event", "target_joined").Str("target", id).Str("service", t.Service).
				Str("address", t.Address).Str("zone", t.Zone).Str("version", t.Version).Bool("draining", t.Draining).Msg("")
		case !old.Draining && t.Draining:
			logger.Info().Str("event", "target_draining").Str("target", id).Msg("")
		}
	}
	for id := range s.targets {
		if _, ok := items[id]; !ok {
			logger.Info().Str("event", "target_left").Str("target", id).Msg("")
		}
	}
}

// Republish passes the targets to OnTargets once more.
func (m *Manager) Republish() { m.submit((*state).publish) }

// publish updates targetsByID and passes the targets that may be used to OnTargets.
// It does nothing until a configuration is in force.
func (s *state) publish() {
	table := s.manager.Table()
	if table == nil {
		return
	}
	usable := s.retained.with(s.targets)
	list := make([]*catalog.Target, 0, len(usable))
	for _, t := range usable {
		list = append(list, t)
	}
	targetsByID := make(map[string]*catalog.Target, len(list)+len(s.departed))
	for id, t := range s.departed {
		targetsByID[id] = t.target
	}
	for _, t := range list {
		targetsByID[t.ID] = t
	}
	s.manager.targetsByID.Store(&targetsByID)
	s.manager.options.OnTargets(list, table.Config.Services)
}
