package ledger

import (
	"bytes"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// part is an immutable stored object that holds earlier claims.
type part struct {
	name        string
	newestClaim int64
	// entries are sorted by key, with one entry for each key.
	entries []entry
	// version is the version of the object, or zero if this node has neither
	// written nor read it.
	version objects.Version
}

// newPart returns a part that contains the last entry of each key.
func newPart(entries []entry) *part {
	p := &part{name: uuid.NewString(), entries: slices.Clone(entries)}
	slices.Reverse(p.entries)
	slices.SortStableFunc(p.entries, compareKeys)
	p.entries = slices.CompactFunc(p.entries, func(a, b entry) bool { return a.key == b.key })
	for _, e := range p.entries {
		p.newestClaim = max(p.newestClaim, e.claimedUnixMs)
	}
	return p
}

func compareKeys(a, b entry) int {
	return bytes.Compare(a.key[:], b.key[:])
}

// find returns the part's entry of a key, which may be a release entry.
func (p *part) find(key requestKey) (entry, bool) {
	i, ok := slices.BinarySearchFunc(p.entries, entry{key: key}, compareKeys)
	if !ok {
		return entry{}, false
	}
	return p.entries[i], true
}

func (p *part) reference() *schema.LedgerPartName {
	return &schema.LedgerPartName{Name: p.name, NewestClaimUnixMs: p.newestClaim, Entries: uint32(len(p.entries))}
}

func (p *part) encode() ([]byte, error) {
	return proto.Marshal(&schema.LedgerPart{Entries: encodeEntries(p.entries)})
}

// sealIntoPart returns parts with a new last part that contains entries. It
// merges trailing parts that are not larger into the new part, so that the
// number of parts grows with the logarithm of the number of claims.
func sealIntoPart(parts []*part, entries []entry) []*part {
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

// withoutExpired returns the parts that hold a claim made at or after cutoff.
func withoutExpired(parts []*part, cutoff int64) []*part {
	return slices.DeleteFunc(slices.Clone(parts), func(p *part) bool { return p.newestClaim < cutoff })
}
