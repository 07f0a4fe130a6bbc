// Package routing is an entry's way to the owners: it chooses the group to ask
// for a permit and the ledger shard's owner to ask for a claim, and asks again
// when an owner is lost. Nothing here dispatches a request, so asking twice is
// safe.
package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/topology"
)

// Place is where an entry stands.
type Place struct {
	Node             string
	AvailabilityZone string
	Region           string
}

// distance is how far a group is from an entry, the nearest first.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (p Place) distanceTo(g topology.Group) distance {
	switch {
	case g.AvailabilityZone == p.AvailabilityZone:
		return sameZone
	case g.Region == p.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Order sorts a service's groups by the order in which to ask them: groups
// that can take new work first, then the nearest, then those that rendezvous
// hashing with the prompt's first blocks prefers, so that prompts with a
// common start meet the same prefix cache.
func Order(groups []topology.Group, from Place, prefix []uint64) []topology.Group {
	ordered := slices.Clone(groups)
	affinity := affinityKey(prefix)
	slices.SortStableFunc(ordered, func(a, b topology.Group) int {
		return cmp.Or(
			cmp.Compare(unusable(a), unusable(b)),
			cmp.Compare(from.distanceTo(a), from.distanceTo(b)),
			cmp.Compare(weight(b, affinity), weight(a, affinity)),
		)
	})
	return ordered
}

// affinityBlocks is the number of leading prefix blocks that pick a group.
const affinityBlocks = 4

func affinityKey(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	// Blocks are chained hashes, so one block stands for all before it.
	return prefix[min(len(prefix), affinityBlocks)-1]
}

func unusable(g topology.Group) int {
	usable := slices.ContainsFunc(g.Targets, func(t topology.Target) bool { return !t.Leaving })
	if usable && g.Owner != "" {
		return 0
	}
	return 1
}

func weight(g topology.Group, key uint64) uint64 {
	buf := binary.LittleEndian.AppendUint64([]byte(g.ID), key)
	return xxhash.Sum64(buf)
}
