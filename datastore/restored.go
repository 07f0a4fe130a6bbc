package datastore

import (
	"bytes"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// This file decides what holds when the store may have come back from an older copy:
// what it shows may be older than what this node knows. The decisions cost the same
// for each item, whatever the number of nodes and targets.

// inForce is a configuration in force and the latest era in which the store held it.
type inForce struct {
	table *catalog.Table
	era   uint64
}

// configVerdict is what a configuration that the store shows means for the one in force.
type configVerdict uint8

const (
	// configStale proves nothing about the one in force.
	configStale configVerdict = iota
	// configAdopted replaces the one in force.
	configAdopted
	// configConfirmed is the one in force.
	configConfirmed
	// configLost is older than the one in force, which a later store has lost: nothing
	// newer exists, and the one in force stays until it is written again.
	configLost
)

// weighConfig decides what a configuration that a store of an era shows means for the
// one in force. The operator's version orders configurations, also over eras. It is
// called once for each answer of the store and each version taken from another node.
func weighConfig(current *inForce, shown *catalog.Config, era uint64) configVerdict {
	if current == nil || shown.Version > current.table.Config.Version {
		return configAdopted
	}
	newEra := era > current.era
	switch {
	case shown.Version < current.table.Config.Version && newEra:
		return configLost
	case shown.Version < current.table.Config.Version:
		return configStale
	case newEra && !bytes.Equal(shown.Raw, current.table.Config.Raw):
		return configAdopted
	default:
		return configConfirmed
	}
}

// departedTarget is a target that was removed.
type departedTarget struct {
	// target is its last known state, marked as draining.
	target *catalog.Target
	at     time.Time
	// left is set if it was removed by a change, and not just missing after an outage.
	left bool
}

// expired reports whether the target left so long ago that nobody uses it.
func (d departedTarget) expired(now time.Time) bool { return now.Sub(d.at) > departedRetention }

// predates reports whether an entry of a target was written before another one by the
// same instance.
func predates(entry, other *catalog.Target) bool {
	return entry.Started == other.Started && entry.Sequence < other.Sequence
}

// currentEntry returns the entry that holds for a target that the store shows, nil if
// none does: an older copy must not take back that a target drains or has left. known is
// the entry that this node has, departed the target if it was removed; both may be nil.
// It is called for each target at each change of the targets.
func currentEntry(shown, known *catalog.Target, departed *departedTarget) *catalog.Target {
	switch {
	case known != nil && predates(shown, known):
		return known
	case known != nil || departed == nil || !departed.left || departed.target.Sequence == 0:
		return shown
	case shown.Started == departed.target.Started && shown.Sequence <= departed.target.Sequence:
		return nil
	default:
		return shown
	}
}

// isLost reports whether a list of the nodes that lacks this node shows that the store
// has lost its announcement, rather than that the list is older. A revision of 0 means
// that only the era of the announcement is known. It is called once for each list.
func isLost(announced, listed Position) bool {
	if announced.Revision == 0 {
		return listed.Era > announced.Era
	}
	return announced.Compare(listed) <= 0
}
