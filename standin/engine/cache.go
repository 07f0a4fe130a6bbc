package engine

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the number of bytes of prompt text per token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens per block of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken
)

// BlockHashes returns the chained hashes of the full blocks of a prompt. Each
// hash is the xxHash64 of the previous hash, as 8 bytes in little-endian order,
// followed by the block's bytes; the previous hash of the first block is zero.
// A partial block at the end has no hash.
func BlockHashes(prompt string) []uint64 {
	var hashes []uint64
	var previous uint64
	for len(prompt) >= blockBytes {
		buffer := binary.LittleEndian.AppendUint64(nil, previous)
		buffer = append(buffer, prompt[:blockBytes]...)
		previous = xxhash.Sum64(buffer)
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// CacheEvent reports that a block was added to or evicted from the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block"`

	at time.Time
}

// CacheEvents is the response to a poll. Next is the value of since for the
// following poll.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents is the number of most recent events that are kept for polls.
const maxCacheEvents = 16384

// prefixCache is an LRU cache of prompt blocks: over capacity, it evicts the
// least recently used block. It is not safe for concurrent use.
type prefixCache struct {
	capacity  int
	eventLoss float64
	order     *list.List
	blocks    map[uint64]*list.Element
	events    []CacheEvent
	nextSeq   uint64
}

func newPrefixCache(capacity int, eventLoss float64) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		eventLoss: eventLoss,
		order:     list.New(),
		blocks:    make(map[uint64]*list.Element),
		nextSeq:   1,
	}
}

// matchPrefix returns the number of leading blocks that are cached, and marks
// them as recently used.
func (c *prefixCache) matchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		element, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

func (c *prefixCache) add(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		if element, ok := c.blocks[h]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.recordEvent("stored", h, now)
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.recordEvent("evicted", h, now)
	}
}

func (c *prefixCache) recordEvent(kind string, block uint64, now time.Time) {
	seq := c.nextSeq
	c.nextSeq++
	if c.eventLoss > 0 && rand.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: seq, Kind: kind, Block: strconv.FormatUint(block, 16), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsSince returns the events with sequence number seq or higher that were
// recorded no later than before.
func (c *prefixCache) eventsSince(seq uint64, before time.Time) CacheEvents {
	result := CacheEvents{Next: seq, Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.Seq >= seq && !e.at.After(before) {
			result.Events = append(result.Events, e)
			result.Next = e.Seq + 1
		}
	}
	return result
}
