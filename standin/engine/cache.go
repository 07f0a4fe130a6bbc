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
	// BytesPerToken is the length of a token of prompt text.
	BytesPerToken = 4
	// BlockTokens is the length of a block of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken
)

// BlockHashes returns the chained hashes of the whole blocks of a prompt: each
// is the xxHash64 of the previous hash, as 8 bytes in little-endian order,
// followed by the block's bytes. The first has zero before it.
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

// CacheEvent tells that a block entered or left the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block"`

	at time.Time
}

// CacheEvents is the answer to a poll; Next is the next poll's since.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents bounds the events kept for polls.
const maxCacheEvents = 16384

// prefixCache keeps the least recently used blocks. It is not safe for
// concurrent use.
type prefixCache struct {
	capacity int
	loss     float64
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	nextSeq  uint64
}

func newPrefixCache(capacity int, loss float64) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		loss:     loss,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
		nextSeq:  1,
	}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
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
		c.emit("stored", h, now)
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.emit("evicted", h, now)
	}
}

func (c *prefixCache) emit(kind string, block uint64, now time.Time) {
	seq := c.nextSeq
	c.nextSeq++
	if c.loss > 0 && rand.Float64() < c.loss {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: seq, Kind: kind, Block: strconv.FormatUint(block, 16), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events from sequence number seq on that are old enough.
func (c *prefixCache) since(seq uint64, before time.Time) CacheEvents {
	result := CacheEvents{Next: seq, Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.Seq >= seq && !e.at.After(before) {
			result.Events = append(result.Events, e)
			result.Next = e.Seq + 1
		}
	}
	return result
}
