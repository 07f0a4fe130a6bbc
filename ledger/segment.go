package ledger

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxEntryBytes is the largest size of an encoded entry.
	maxEntryBytes = 64
	// defaultSealThreshold is the number of entries in the segment at which the
	// next write moves them to a part.
	defaultSealThreshold = 256
	// maxClaimsPerWrite limits the new claims of one write.
	maxClaimsPerWrite = 4096
	// maxPartEntries keeps a part below the object API's size limit.
	maxPartEntries = (objects.MaxValueBytes - 64<<10) / maxEntryBytes
	// maxShardEntries limits the owner's memory for one shard.
	maxShardEntries = 1_000_000
	// clockSkew is the largest assumed difference between two clocks.
	clockSkew = 5 * time.Minute
)

// entry is a stored claim, or the release of a claim in an earlier part.
type entry struct {
	key           requestKey
	claimedUnixMs int64
	digest        uint64
	attempt       uint64
	done          bool
	released      bool
}

// segment is one version of a shard's stored state. It is immutable once built,
// except that a write sets its version.
type segment struct {
	version       objects.Version
	epoch         uint64
	trimmedBefore int64
	// entries are the latest claims; index maps a key to its position in entries.
	entries []entry
	index   map[requestKey]int
	// parts hold the earlier claims, in order from oldest to newest.
	parts []*part
}

// setEntries sets the entries and indexes the last entry of each key.
func (s *segment) setEntries(entries []entry) {
	s.entries = entries
	s.index = make(map[requestKey]int, len(entries))
	for i, e := range entries {
		s.index[e.key] = i
	}
}

// find returns the entry of a key and whether it is a claim that the segment does
// not mark as released.
func (s *segment) find(key requestKey) (entry, bool) {
	if i, ok := s.index[key]; ok {
		return s.entries[i], !s.entries[i].released
	}
	return s.findInParts(key)
}

func (s *segment) findInParts(key requestKey) (entry, bool) {
	for _, p := range slices.Backward(s.parts) {
		if e, ok := p.find(key); ok {
			return e, !e.released
		}
	}
	return entry{}, false
}

// size returns the number of entries in the segment and its parts.
func (s *segment) size() int {
	n := len(s.entries)
	for _, p := range s.parts {
		n += len(p.entries)
	}
	return n
}

func (s *segment) encode(shard uint32, owner, nonce string) ([]byte, error) {
	stored := &schema.LedgerSegment{
		Shard:               shard,
		Epoch:               s.epoch,
		Owner:               owner,
		Entries:             encodeEntries(s.entries),
		TrimmedBeforeUnixMs: s.trimmedBefore,
		Nonce:               nonce,
	}
	for _, p := range s.parts {
		stored.Parts = append(stored.Parts, p.reference())
	}
	return proto.Marshal(stored)
}

func encodeEntries(entries []entry) []*schema.LedgerEntry {
	stored := make([]*schema.LedgerEntry, 0, len(entries))
	for _, e := range entries {
		stored = append(stored, &schema.LedgerEntry{
			Key:           e.key[:],
			ClaimedUnixMs: e.claimedUnixMs,
			Digest:        e.digest,
			Attempt:       e.attempt,
			Done:          e.done,
			Released:      e.released,
		})
	}
	return stored
}

func decodeEntries(stored []*schema.LedgerEntry) []entry {
	entries := make([]entry, 0, len(stored))
	for _, e := range stored {
		decoded := entry{
			claimedUnixMs: e.GetClaimedUnixMs(),
			digest:        e.GetDigest(),
			attempt:       e.GetAttempt(),
			done:          e.GetDone(),
			released:      e.GetReleased(),
		}
		copy(decoded.key[:], e.GetKey())
		entries = append(entries, decoded)
	}
	return entries
}

// expiryCutoff returns the time before which claims are deleted.
func expiryCutoff(now time.Time, retention time.Duration) time.Time {
	return now.Add(-retention - clockSkew)
}
