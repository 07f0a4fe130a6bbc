package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxSegmentBytes leaves room below the object API's limit.
	maxSegmentBytes = platform.MaxValueBytes - 64<<10
	// maxEntryBytes is the largest encoded entry.
	maxEntryBytes = 64
	// maxEntries bounds one segment.
	maxEntries = maxSegmentBytes / maxEntryBytes
	// clockSkew is the largest difference assumed between two clocks.
	clockSkew = 5 * time.Minute
)

// segment is one version of a shard's stored object. It is not changed after
// it was built.
type segment struct {
	version platform.Version
	epoch   uint64
	trimmed int64
	entries []*schema.LedgerEntry
	index   map[requestKey]*schema.LedgerEntry
}

// decodeSegment reads a stored object; one of version zero is empty.
func decodeSegment(object platform.Object) (*segment, error) {
	stored := &schema.LedgerSegment{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return nil, err
	}
	s := &segment{version: object.Version, epoch: stored.GetEpoch(), trimmed: stored.GetTrimmedBeforeUnixMs()}
	s.setEntries(stored.GetEntries())
	return s, nil
}

func (s *segment) setEntries(entries []*schema.LedgerEntry) {
	s.entries = entries
	s.index = make(map[requestKey]*schema.LedgerEntry, len(entries))
	for _, e := range entries {
		s.index[entryKey(e)] = e
	}
}

func (s *segment) encode(shard uint32, owner, nonce string) ([]byte, error) {
	return proto.Marshal(&schema.LedgerSegment{
		Shard:               shard,
		Epoch:               s.epoch,
		Owner:               owner,
		Entries:             s.entries,
		TrimmedBeforeUnixMs: s.trimmed,
		Nonce:               nonce,
	})
}

// trimTime returns the time before which claims are forgotten.
func trimTime(now time.Time, retention time.Duration) time.Time {
	return now.Add(-retention - clockSkew)
}
