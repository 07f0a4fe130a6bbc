package datastore

import "cmp"

// Position is a state of the store. The era rises when the store comes back from an
// older copy; its revisions go back then and are given out again, so that only both
// together tell two states apart. Both are zero if nothing was read.
type Position struct {
	Era, Revision uint64
}

// Compare returns -1, 0 or 1 as the state is older than the other one, the same, or
// newer.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

func newer(p, other Position) Position {
	if p.Compare(other) < 0 {
		return other
	}
	return p
}
