package register

import (
	"bytes"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// deltaSince returns what changed since baseRevision; 0 requests the whole
// configuration. The delta is empty if the snapshot is not newer.
func (s *snapshot) deltaSince(baseRevision uint64) *schema.ConfigDelta {
	if s.revision() <= baseRevision {
		return &schema.ConfigDelta{}
	}
	head := proto.CloneOf(s.head)
	head.Retired = nil
	head.Parts = nil
	delta := &schema.ConfigDelta{Head: head, BaseRevision: baseRevision, HeadHash: s.hash}
	for _, ref := range s.head.GetParts() {
		if ref.GetRevision() <= baseRevision {
			continue
		}
		head.Parts = append(head.Parts, ref)
		content := s.parts[ref.GetName()].content
		delta.Contents = append(delta.Contents, &schema.PartContent{Name: ref.GetName(), Content: content})
	}
	return delta
}

// applyDelta returns the snapshot that results from applying delta to s, which
// may be nil. It returns nil if delta contains nothing newer, and an error of
// kind internal if delta does not match s or is corrupted.
func (s *snapshot) applyDelta(delta *schema.ConfigDelta) (*snapshot, error) {
	head := delta.GetHead()
	if head.GetRevision() <= s.revision() {
		return nil, nil
	}
	contents := make(map[string][]byte, len(delta.GetContents()))
	for _, c := range delta.GetContents() {
		contents[c.GetName()] = c.GetContent()
	}
	received := make(map[string]*part, len(head.GetParts()))
	for _, ref := range head.GetParts() {
		p, err := decodePart(ref, contents[ref.GetName()])
		if err != nil {
			return nil, err
		}
		received[ref.GetName()] = p
	}
	return s.complete(head, received, delta.GetHeadHash())
}

// complete builds the snapshot of head from the received parts, and takes those
// that the delta omitted from s. hash is the expected hash of the complete head.
func (s *snapshot) complete(head *schema.ConfigHead, received map[string]*part, hash []byte) (*snapshot, error) {
	full := proto.CloneOf(head)
	full.Parts = nil
	parts := make(map[string]*part)
	for _, name := range partNames(head.GetTeamBuckets(), head.GetVmBuckets()) {
		p := received[name]
		if p == nil {
			p = s.part(name)
		}
		if p == nil {
			return nil, deltaMismatch(name)
		}
		parts[name] = p
		full.Parts = append(full.Parts, p.ref)
	}
	if !bytes.Equal(headHash(full), hash) {
		return nil, deltaMismatch("head")
	}
	return newSnapshot(full, parts), nil
}

var errDeltaMismatch = errors.New("the delta does not match the local revision")

func deltaMismatch(name string) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_INTERNAL, errDeltaMismatch,
		"a peer's configuration delta does not match the local configuration at part "+name,
		"the node requests the whole configuration next")
}
