package ledger

import (
	"bytes"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// part is a stored object of earlier claims that does not change.
type part struct {
	name   string
	newest int64
	// entries are in order of their keys, one for each key.
	entries []entry
	// version is the object's, or zero if it was not written or read here.
	version objects.Version
}

// newPart returns a part of entries, of which the last of each key counts.
func newPart(entries []entry) *part {
	p := &part{name: uuid.NewString(), entries: slices.Clone(entries)}
	slices.Reverse(p.entries)
	slices.SortStableFunc(p.entries, compareKeys)
	p.entries = slices.CompactFunc(p.entries, func(a, b entry) bool { return a.key == b.key })
	for _, e := range p.entries {
		p.newest = max(p.newest, e.claimedUnixMs)
	}
	return p
}

func compareKeys(a, b entry) int {
	return bytes.Compare(a.key[:], b.key[:])
}

// find returns the part's entry of a key, which may be a release.
func (p *part) find(key requestKey) (entry, bool) {
	i, ok := slices.BinarySearchFunc(p.entries, entry{key: key}, compareKeys)
	if !ok {
		return entry{}, false
	}
	return p.entries[i], true
}

func (p *part) reference() *schema.LedgerPartName {
	return &schema.LedgerPartName{Name: p.name, NewestClaimUnixMs: p.newest, Entries: uint32(len(p.entries))}
}

func (p *part) encode() ([]byte, error) {
	return proto.Marshal(&schema.LedgerPart{Entries: encodeEntries(p.entries)})
}

// seal returns the parts with entries moved into a new last one. Trailing
// parts that are not larger are merged into it, so that their number grows
// with the logarithm of the claims.
func seal(parts []*part, entries []entry) []*part {
	parts = slices.Clone(parts)
	for len(parts) > 0 {
		last := parts[len(parts)-1]
		if len(last.entries) > len(entries) || len(last.entries)+len(entries) > maxPartEntries {
			break
		}
		entries = slices.Concat(last.entries, entries)
		parts = parts[:len(parts)-1]
	}
	return append(parts, newPart(entries))
}

// withoutOld returns the parts that hold a claim made at or after horizon.
func withoutOld(parts []*part, horizon int64) []*part {
	return slices.DeleteFunc(slices.Clone(parts), func(p *part) bool { return p.newest < horizon })
}
