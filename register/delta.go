package register

import (
	"bytes"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// deltaSince returns what a node lacks that holds the given revision; 0 means
// that it holds none.
func (h *held) deltaSince(have uint64) *schema.ConfigDelta {
	if h.revision() <= have {
		return &schema.ConfigDelta{}
	}
	head := proto.CloneOf(h.head)
	head.Retired = nil
	head.Parts = nil
	delta := &schema.ConfigDelta{Head: head, BaseRevision: have, HeadHash: h.hash}
	for _, ref := range h.head.GetParts() {
		if ref.GetRevision() <= have {
			continue
		}
		head.Parts = append(head.Parts, ref)
		content := h.parts[ref.GetName()].content
		delta.Contents = append(delta.Contents, &schema.PartContent{Name: ref.GetName(), Content: content})
	}
	return delta
}

// amend returns the revision that delta leads to from h, which may be nil. It
// returns nil if the delta holds nothing newer, and an error of kind internal
// if the delta does not fit h or is damaged.
func (h *held) amend(delta *schema.ConfigDelta) (*held, error) {
	head := delta.GetHead()
	if head.GetRevision() <= h.revision() {
		return nil, nil
	}
	contents := make(map[string][]byte, len(delta.GetContents()))
	for _, c := range delta.GetContents() {
		contents[c.GetName()] = c.GetContent()
	}
	fresh := make(map[string]*part, len(head.GetParts()))
	for _, ref := range head.GetParts() {
		p, err := decodePart(ref, contents[ref.GetName()])
		if err != nil {
			return nil, err
		}
		fresh[ref.GetName()] = p
	}
	return h.complete(head, fresh, delta.GetHeadHash())
}

// complete fills the parts that the delta left out from those held.
func (h *held) complete(head *schema.ConfigHead, fresh map[string]*part, hash []byte) (*held, error) {
	full := proto.CloneOf(head)
	full.Parts = nil
	parts := make(map[string]*part)
	for _, name := range partNames(head.GetTeamBuckets(), head.GetVmBuckets()) {
		p := fresh[name]
		if p == nil {
			p = h.part(name)
		}
		if p == nil {
			return nil, unfitting(name)
		}
		parts[name] = p
		full.Parts = append(full.Parts, p.ref)
	}
	if !bytes.Equal(headHash(full), hash) {
		return nil, unfitting("head")
	}
	return newHeld(full, parts), nil
}

var errUnfitting = errors.New("the delta does not fit the revision held")

func unfitting(name string) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_INTERNAL, errUnfitting,
		"a peer's configuration cannot be joined at part "+name,
		"the node asks for the whole configuration next")
}
