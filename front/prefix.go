package front

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/engine"
)

const (
	// bytesPerToken is the assumed mean length of a token of prompt text.
	bytesPerToken = 4
	// blockBytes is the length of prompt text that one prefix cache block covers.
	blockBytes = 256
	// maxPrefixBlocks limits the block hashes sent with a permit request.
	maxPrefixBlocks = 64
	hashBytes       = 8
)

// promptText concatenates the messages into the text that is split into prefix
// blocks: role, newline, content, newline.
func promptText(messages []engine.Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}

// estimateTokens estimates the number of tokens from the length of the text.
func estimateTokens(text []byte) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// prefixBlocks returns the chained hashes of the text's complete blocks. Each
// hash covers the previous hash and its block, so it identifies the whole prefix
// up to the end of that block.
func prefixBlocks(text []byte) []uint64 {
	count := min(len(text)/blockBytes, maxPrefixBlocks)
	blocks := make([]uint64, count)
	var previous uint64
	var chained [hashBytes + blockBytes]byte
	for i := range blocks {
		binary.LittleEndian.PutUint64(chained[:hashBytes], previous)
		copy(chained[hashBytes:], text[i*blockBytes:])
		previous = xxhash.Sum64(chained[:])
		blocks[i] = previous
	}
	return blocks
}
