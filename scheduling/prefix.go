package scheduling

// BlockTokens is the number of prompt tokens in one prefix block.
const BlockTokens = 64

const (
	// maxPrefixBlocks bounds the blocks remembered for one target.
	maxPrefixBlocks = 8192
	fullTrust       = 1.0
	minTrust        = 0.1
	trustLossGap    = 0.5
	trustGain       = 0.05
)

// PrefixIndex remembers which prompt blocks a target's cache is expected to
// hold. Blocks are named by chained hashes, so a block implies all before it.
// Trust falls when cache events are missed or predictions fail. The blocks are
// kept in two generations, so that those not used lately are forgotten
// together and nothing is allocated for each block.
type PrefixIndex struct {
	young, old map[uint64]struct{}
	trust      float64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{young: make(map[uint64]struct{}), old: make(map[uint64]struct{}), trust: fullTrust}
}

// Insert notes that the target was given a prompt with these blocks.
func (x *PrefixIndex) Insert(blocks []uint64) {
	for _, b := range blocks {
		if len(x.young) >= maxPrefixBlocks/2 {
			x.young, x.old = x.old, x.young
			clear(x.young)
		}
		x.young[b] = struct{}{}
	}
}

// Remove notes that the target evicted blocks.
func (x *PrefixIndex) Remove(blocks []uint64) {
	for _, b := range blocks {
		delete(x.young, b)
		delete(x.old, b)
	}
}

// Clear forgets everything, as after a restart of the target.
func (x *PrefixIndex) Clear() {
	clear(x.young)
	clear(x.old)
	x.trust = fullTrust
}

func (x *PrefixIndex) contains(block uint64) bool {
	if _, ok := x.young[block]; ok {
		return true
	}
	_, ok := x.old[block]
	return ok
}

// Gap notes that cache events were missed.
func (x *PrefixIndex) Gap() {
	x.trust = max(x.trust*trustLossGap, minTrust)
}

// Observe compares the expected with the reported number of cached tokens.
func (x *PrefixIndex) Observe(expected, reported int) {
	if expected <= 0 {
		return
	}
	share := min(float64(reported)/float64(expected), 1)
	x.trust = max(x.trust+trustGain*(share-x.trust), minTrust)
}

// Match returns the number of blocks, from the first, that the target holds.
// Chained hashes allow a binary search for the last one held.
func (x *PrefixIndex) Match(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high) / 2
		if x.contains(blocks[mid]) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// CachedTokens returns the prompt tokens expected in the cache, weighted by
// trust.
func (x *PrefixIndex) CachedTokens(blocks []uint64, promptTokens int) int {
	tokens := float64(x.Match(blocks)*BlockTokens) * x.trust
	return min(int(tokens), promptTokens)
}

// Len returns the number of blocks remembered, at most 8192.
func (x *PrefixIndex) Len() int {
	return len(x.young) + len(x.old)
}
