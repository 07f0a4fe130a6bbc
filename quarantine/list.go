// Package quarantine prevents requests that crash targets from being dispatched
// again. A request fingerprint that was in flight when a target died becomes a
// suspect and runs alone on its target. If the target then dies, the fingerprint
// is quarantined on all nodes until the quarantine expires or an operator
// releases it.
package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// SuspectTTL is how long a fingerprint stays a suspect after the death of a
	// target.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long a fingerprint stays quarantined.
	QuarantineTTL = 6 * time.Hour
	// maxRecords is the maximum number of fingerprints in a List; the least
	// recently used one is evicted.
	maxRecords = 4096
	// minTargetsToQuarantine is the number of different targets whose deaths
	// quarantine a fingerprint even if other requests ran on them as well.
	minTargetsToQuarantine = 3
)

// State is the quarantine state of a fingerprint.
type State uint8

// States of a fingerprint.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// record is the entry of one fingerprint in a List.
type record struct {
	targets   []string
	deaths    int
	state     State
	expiresAt time.Time
	// stored reports whether the record has been read from the stored list.
	stored bool
}

// List contains the suspect and quarantined fingerprints. It is not safe for
// concurrent use.
type List struct {
	records *lru.LRU[uint64, *record]
}

// NewList returns an empty list.
func NewList() *List {
	records, err := lru.NewLRU[uint64, *record](maxRecords, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &List{records: records}
}

// State returns a fingerprint's state.
func (l *List) State(now time.Time, fingerprint uint64) State {
	r, ok := l.records.Peek(fingerprint)
	if !ok {
		return Clear
	}
	if !r.expiresAt.After(now) {
		l.records.Remove(fingerprint)
		return Clear
	}
	return r.state
}

// RecordDeath records that a target died with the fingerprint in flight, and
// returns the new state. alone reports whether no other request ran on the target.
func (l *List) RecordDeath(now time.Time, fingerprint uint64, target string, alone bool) State {
	l.State(now, fingerprint)
	r, ok := l.records.Get(fingerprint)
	if !ok {
		r = &record{}
		l.records.Add(fingerprint, r)
	}
	if r.state == Quarantined {
		return Quarantined
	}
	r.deaths++
	r.targets = appendUnique(r.targets, target)
	wasSuspect := r.state == Suspect
	r.state = Suspect
	r.expiresAt = now.Add(SuspectTTL)
	if (alone && wasSuspect) || len(r.targets) >= minTargetsToQuarantine {
		r.state = Quarantined
		r.expiresAt = now.Add(QuarantineTTL)
	}
	return r.state
}

func appendUnique(names []string, name string) []string {
	for _, n := range names {
		if n == name {
			return names
		}
	}
	return append(names, name)
}

// ClearSuspect removes a suspect that ran to completion alone. It reports whether
// the fingerprint was a suspect.
func (l *List) ClearSuspect(fingerprint uint64) bool {
	r, ok := l.records.Peek(fingerprint)
	if !ok || r.state != Suspect {
		return false
	}
	return l.records.Remove(fingerprint)
}

// MarkSuspect records a suspect reported by another node, unless the fingerprint
// already is a suspect or quarantined.
func (l *List) MarkSuspect(now time.Time, fingerprint uint64, deaths int) {
	if l.State(now, fingerprint) != Clear {
		return
	}
	l.records.Add(fingerprint, &record{state: Suspect, deaths: deaths, expiresAt: now.Add(SuspectTTL)})
}

// MarkQuarantined records a quarantine reported by another node.
func (l *List) MarkQuarantined(now time.Time, fingerprint uint64) {
	if l.State(now, fingerprint) != Quarantined {
		l.records.Add(fingerprint, &record{state: Quarantined, expiresAt: now.Add(QuarantineTTL)})
	}
}

// Release removes a fingerprint, whatever its state.
func (l *List) Release(fingerprint uint64) {
	l.records.Remove(fingerprint)
}

// ExpiresAt returns when the fingerprint's record expires, or the zero time if
// there is no record.
func (l *List) ExpiresAt(fingerprint uint64) time.Time {
	if r, ok := l.records.Peek(fingerprint); ok {
		return r.expiresAt
	}
	return time.Time{}
}

// MergeStored adds or replaces the entries of the stored list. A record that was in
// the stored list before and is missing now has been released and is removed.
func (l *List) MergeStored(now time.Time, stored *schema.QuarantineList) {
	listed := make(map[uint64]bool)
	for _, q := range stored.GetEntries() {
		expiresAt := time.UnixMilli(q.GetExpiresUnixMs())
		if !expiresAt.After(now) {
			continue
		}
		listed[q.GetFingerprint()] = true
		l.records.Add(q.GetFingerprint(), &record{
			targets: q.GetTargets(), state: Quarantined, expiresAt: expiresAt, stored: true,
		})
	}
	for _, fingerprint := range l.records.Keys() {
		if r, _ := l.records.Peek(fingerprint); r.stored && !listed[fingerprint] {
			l.records.Remove(fingerprint)
		}
	}
}

// Unstored returns the quarantined fingerprints that are not in the stored list.
func (l *List) Unstored(now time.Time) []*schema.Quarantine {
	var entries []*schema.Quarantine
	for _, fingerprint := range l.records.Keys() {
		r, _ := l.records.Peek(fingerprint)
		if r.state != Quarantined || r.stored || !r.expiresAt.After(now) {
			continue
		}
		entries = append(entries, &schema.Quarantine{
			Fingerprint: fingerprint, Targets: r.targets, ExpiresUnixMs: r.expiresAt.UnixMilli(),
		})
	}
	return entries
}

var stateNames = [...]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// String returns the state's name in lower case.
func (s State) String() string {
	return stateNames[s]
}
