package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// keyBytes is the length of a hashed request id.
const keyBytes = 16

// requestKey is the truncated SHA-256 hash of a team and a request id.
type requestKey [keyBytes]byte

// newRequestKey hashes a team and a request id. The team's length comes first,
// so that different pairs never have the same hash input. The hash function
// resists deliberate collisions.
func newRequestKey(team, requestID string) requestKey {
	buffer := binary.AppendUvarint(nil, uint64(len(team)))
	buffer = append(buffer, team...)
	buffer = append(buffer, requestID...)
	sum := sha256.Sum256(buffer)
	return requestKey(sum[:keyBytes])
}

func (k requestKey) shard(shards uint32) uint32 {
	return uint32(binary.BigEndian.Uint64(k[:8]) % uint64(shards))
}

func hashAttempt(attempt string) uint64 {
	return xxhash.Sum64String(attempt)
}

// shortDigest returns the first 8 bytes of a request's digest, which entries
// store.
func shortDigest(digest []byte) uint64 {
	var b [8]byte
	copy(b[:], digest)
	return binary.BigEndian.Uint64(b[:])
}

// uuidTime returns the timestamp of a request id that is a UUID of version 7, and
// whether it is one.
func uuidTime(requestID string) (time.Time, bool) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var b [8]byte
	copy(b[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))), true
}
