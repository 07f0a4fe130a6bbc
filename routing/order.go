// Package routing connects an entry node with the owners. It selects the group
// whose owner grants a permit and the owner of the ledger shard that stores a
// claim, and retries when an owner is lost. Nothing here dispatches a request, so
// retries are safe.
package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/topology"
)

// Location identifies an entry node, its availability zone and its region.
type Location struct {
	Node             string
	AvailabilityZone string
	Region           string
}

// distance is the network distance of a group from an entry node. Smaller values
// are nearer.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (l Location) distanceTo(g topology.Group) distance {
	switch {
	case g.AvailabilityZone == l.AvailabilityZone:
		return sameZone
	case g.Region == l.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// OrderGroups returns a service's groups in the order in which to request a permit
// from them: groups that accept new requests first, then the nearest, then by
// rendezvous hashing on the first blocks of the prompt, so that prompts with a
// common prefix reach the same prefix cache.
func OrderGroups(groups []topology.Group, location Location, prefix []uint64) []topology.Group {
	ordered := slices.Clone(groups)
	affinity := affinityKey(prefix)
	slices.SortStableFunc(ordered, func(a, b topology.Group) int {
		return cmp.Or(
			cmp.Compare(unusable(a), unusable(b)),
			cmp.Compare(location.distanceTo(a), location.distanceTo(b)),
			cmp.Compare(rendezvousWeight(b, affinity), rendezvousWeight(a, affinity)),
		)
	})
	return ordered
}

// affinityBlocks is the number of leading prefix blocks that determine the
// preferred group.
const affinityBlocks = 4

// affinityKey returns the hash of the first affinityBlocks blocks, or of all blocks
// if there are fewer. It is 0 without blocks.
func affinityKey(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	// Blocks are chained hashes, so a block identifies all blocks before it.
	return prefix[min(len(prefix), affinityBlocks)-1]
}

// unusable is a sort key: 0 for a group that has an owner and a target that is not
// leaving, 1 for any other group.
func unusable(g topology.Group) int {
	usable := slices.ContainsFunc(g.Targets, func(t topology.Target) bool { return !t.Leaving })
	if usable && g.Owner != "" {
		return 0
	}
	return 1
}

// rendezvousWeight returns the weight of the group for the key.
func rendezvousWeight(g topology.Group, key uint64) uint64 {
	buf := binary.LittleEndian.AppendUint64([]byte(g.ID), key)
	return xxhash.Sum64(buf)
}
