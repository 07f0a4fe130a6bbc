package front

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/engine"
)

const (
	// bytesPerToken is the mean length of a token of prompt text.
	bytesPerToken = 4
	// blockBytes is the length of a prefix cache block in prompt text.
	blockBytes = 256
	// maxPrefixBlocks bounds the blocks sent with a permit request.
	maxPrefixBlocks = 64
	hashBytes       = 8
)

// promptText joins the messages in the form that prefix blocks are cut from:
// role, newline, content, newline.
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

func countTokens(text []byte) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// prefixBlocks returns the chained hashes of the text's whole blocks. Each
// covers the hash before it and the block, so that it names a whole prefix.
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
