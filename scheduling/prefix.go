package scheduling

// BlockTokens is the number of prompt tokens per prefix block.
const BlockTokens = 64

const (
	// maxPrefixBlocks bounds the blocks indexed for one target.
	maxPrefixBlocks = 8192
	maxConfidence   = 1.0
	minConfidence   = 0.1
	// missedEventFactor scales the confidence after missed cache events.
	missedEventFactor = 0.5
	// confidenceSmoothing is the weight of a new observation in the confidence.
	confidenceSmoothing = 0.05
)

// PrefixIndex tracks which prompt blocks are expected in a target's prefix cache.
// Blocks are identified by chained hashes, so a block implies all before it.
// Predictions are scaled by a confidence that decreases when cache events are
// missed or when the target reports fewer cached tokens than predicted. The
// blocks are kept in two generations: blocks not inserted recently are evicted
// together, and no memory is allocated per block.
type PrefixIndex struct {
	young, old map[uint64]struct{}
	confidence float64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{young: make(map[uint64]struct{}), old: make(map[uint64]struct{}), confidence: maxConfidence}
}

// Insert records that a prompt with these blocks was assigned to the target.
func (x *PrefixIndex) Insert(blocks []uint64) {
	for _, b := range blocks {
		if len(x.young) >= maxPrefixBlocks/2 {
			x.young, x.old = x.old, x.young
			clear(x.young)
		}
		x.young[b] = struct{}{}
	}
}

// Remove records that the target evicted these blocks.
func (x *PrefixIndex) Remove(blocks []uint64) {
	for _, b := range blocks {
		delete(x.young, b)
		delete(x.old, b)
	}
}

// Clear empties the index and resets the confidence, for instance after a restart
// of the target.
func (x *PrefixIndex) Clear() {
	clear(x.young)
	clear(x.old)
	x.confidence = maxConfidence
}

func (x *PrefixIndex) contains(block uint64) bool {
	if _, ok := x.young[block]; ok {
		return true
	}
	_, ok := x.old[block]
	return ok
}

// Gap lowers the confidence after cache events were missed.
func (x *PrefixIndex) Gap() {
	x.confidence = max(x.confidence*missedEventFactor, minConfidence)
}

// Observe adjusts the confidence to the ratio of reported to expected cached
// tokens.
func (x *PrefixIndex) Observe(expected, reported int) {
	if expected <= 0 {
		return
	}
	hitRatio := min(float64(reported)/float64(expected), 1)
	x.confidence = max(x.confidence+confidenceSmoothing*(hitRatio-x.confidence), minConfidence)
}

// Match returns the number of leading blocks that are expected in the target's
// cache. Since each hash covers all blocks before it, the last match is found by
// binary search.
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

// CachedTokens returns the number of prompt tokens expected in the cache, scaled
// by the confidence and capped at promptTokens.
func (x *PrefixIndex) CachedTokens(blocks []uint64, promptTokens int) int {
	tokens := float64(x.Match(blocks)*BlockTokens) * x.confidence
	return min(int(tokens), promptTokens)
}

// Len returns the number of indexed blocks, at most 8192. A block present in both
// generations counts twice.
func (x *PrefixIndex) Len() int {
	return len(x.young) + len(x.old)
}
