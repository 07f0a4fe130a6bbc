package scheduling

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

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
// Trust falls when cache events are missed or predictions fail.
type PrefixIndex struct {
	blocks *lru.LRU[uint64, struct{}]
	trust  float64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	blocks, err := lru.NewLRU[uint64, struct{}](maxPrefixBlocks, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &PrefixIndex{blocks: blocks, trust: fullTrust}
}

// Insert notes that the target was given a prompt with these blocks.
func (x *PrefixIndex) Insert(blocks []uint64) {
	for _, b := range blocks {
		x.blocks.Add(b, struct{}{})
	}
}

// Remove notes that the target evicted blocks.
func (x *PrefixIndex) Remove(blocks []uint64) {
	for _, b := range blocks {
		x.blocks.Remove(b)
	}
}

// Clear forgets everything, as after a restart of the target.
func (x *PrefixIndex) Clear() {
	x.blocks.Purge()
	x.trust = fullTrust
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
		if x.blocks.Contains(blocks[mid]) {
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

// Len returns the number of blocks remembered.
func (x *PrefixIndex) Len() int {
	return x.blocks.Len()
}
