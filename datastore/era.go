package datastore

import (
	"errors"
	"time"
)

// This file has what a node knows of the era of the store, and what a follower does when
// an answer is of another era than its items.

// errNewEra and errOlderEra are returned by a watch or a list whose answer is of
// another era than this node's items.
var (
	errNewEra   = errors.New("datastore: the store came back from an older copy, list again")
	errOlderEra = errors.New("datastore: the answer is of an era before the store's last return from a copy")
)

// Era returns the latest era of the store that this node knows, 0 if none.
func (m *Manager) Era() uint64 {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	return m.era
}

// ApplyEra applies an era of the store that an answer to another node named. It ends the
// watches of the kinds that are of an older one.
func (m *Manager) ApplyEra(era uint64) { m.raiseEra(era, true) }

// raiseEra applies an era that the store named to this node, or to a peer.
func (m *Manager) raiseEra(era uint64, byPeer bool) {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	switch {
	case era < m.era:
		return
	case era == m.era:
		m.eraByPeer = m.eraByPeer && byPeer
		return
	}
	m.era, m.eraByPeer = era, byPeer
	m.configs.NoticeEra(era)
	m.targets.NoticeEra(era)
	m.nodes.NoticeEra(era)
}

// correctEra replaces the era by the lower one of a list of the store, if only a peer has
// named the higher one, or if it fell: the follower has taken the higher one for wrong.
func (m *Manager) correctEra(era uint64, fell bool) {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	if era < m.era && (m.eraByPeer || fell) {
		m.era, m.eraByPeer = era, false
	}
}

// NoticeEra tells the follower a new era of the store, which another answer named. Its
// watch ends: it may wait at a store that has passed the revision that it watches from.
func (f *Follower[T]) NoticeEra(era uint64) {
	f.knownEra.Store(era)
	f.interruptWatch()
}

// isOutdated reports whether the items are of an older era than the latest known one.
func (f *Follower[T]) isOutdated() bool { return f.knownEra.Load() > f.position.Era }

// reportEra tells OnEra the era of an answer.
func (f *Follower[T]) reportEra(era uint64) {
	if f.OnEra != nil {
		f.OnEra(era)
	}
}

// eraFallTime is how long lists must name the same older era until the era of the items
// is taken for wrong.
const eraFallTime = 10 * time.Second

// checkListEra returns an error for a list of an older era than the items, unless that of the
// items was wrong.
func (f *Follower[T]) checkListEra(era uint64) error {
	switch {
	case era >= f.position.Era:
		f.olderEra = nil
		return nil
	case f.olderEra == nil || *f.olderEra != era:
		f.olderEra, f.olderSince = &era, f.Now()
		return errOlderEra
	case f.Now().Sub(f.olderSince) < eraFallTime:
		return errOlderEra
	}
	f.olderEra = nil
	return nil
}

// checkWatchEra returns an error for changes of another era than the items.
func (f *Follower[T]) checkWatchEra(era uint64) error {
	switch {
	case era > f.position.Era:
		return errNewEra
	case era < f.position.Era:
		f.mustList = true
		return errOlderEra
	}
	return nil
}
