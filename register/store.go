package register

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// maxParallelReads bounds the parts read from the store at a time.
const maxParallelReads = 16

// Read returns the accepted configuration, or one of revision 0 without items
// when none was accepted yet.
func Read(ctx context.Context, store objects.Store) (*schema.Config, error) {
	h, _, err := readAccepted(ctx, store, nil)
	if err != nil {
		return nil, err
	}
	return h.config, nil
}

// readHead returns the head and its version; both are zero when there is none.
func readHead(ctx context.Context, store objects.Store) (*schema.ConfigHead, objects.Version, error) {
	object, err := store.Get(ctx, HeadKey)
	if objects.IsNotFound(err) {
		return &schema.ConfigHead{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	head, err := decodeHead(object.Value)
	return head, object.Version, err
}

// decodeHead restores the names of parts, which the stored head leaves out
// because their order tells them.
func decodeHead(value []byte) (*schema.ConfigHead, error) {
	head := &schema.ConfigHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, damaged("head", err)
	}
	names := partNames(head.GetTeamBuckets(), head.GetVmBuckets())
	if len(names) != len(head.GetParts()) {
		return nil, damaged("head", nil)
	}
	for i, ref := range head.GetParts() {
		ref.Name = names[i]
	}
	return head, nil
}

func encodeHead(head *schema.ConfigHead) []byte {
	stored := proto.CloneOf(head)
	for _, ref := range stored.GetParts() {
		ref.Name = ""
	}
	for _, ref := range stored.GetRetired() {
		ref.Name = ""
	}
	return marshal(stored)
}

// readAccepted reads the head and those of its parts that have lacks. When a
// part has been deleted meanwhile, the head has moved on and is read again.
func readAccepted(ctx context.Context, store objects.Store, have *held) (*held, objects.Version, error) {
	for {
		head, version, err := readHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		h, err := readParts(ctx, store, head, have)
		if err == nil {
			return h, version, nil
		}
		if !objects.IsNotFound(err) {
			return nil, 0, err
		}
		again, _, err := readHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		if again.GetRevision() == head.GetRevision() {
			return nil, 0, damaged("named by the head", nil)
		}
	}
}

// readParts completes head with the parts that have lacks.
func readParts(ctx context.Context, store objects.Store, head *schema.ConfigHead, have *held) (*held, error) {
	r := &partReader{store: store, parts: make(map[string]*part, len(head.GetParts()))}
	var lacking []*schema.ConfigPart
	for _, ref := range head.GetParts() {
		if p := have.part(ref.GetName()); p != nil && proto.Equal(p.ref, ref) {
			r.parts[ref.GetName()] = p
		} else {
			lacking = append(lacking, ref)
		}
	}
	if err := r.list(ctx, len(lacking)); err != nil {
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, ref := range lacking {
		group.Go(func() error { return r.read(ctx, ref) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return newHeld(head, r.parts), nil
}

// partReader collects the parts of one head.
type partReader struct {
	store  objects.Store
	listed map[string][]byte

	mu    sync.Mutex
	parts map[string]*part
}

// list reads all parts by one call if many are lacking.
func (r *partReader) list(ctx context.Context, lacking int) error {
	if lacking <= maxParallelReads {
		return nil
	}
	objects, err := r.store.List(ctx, partPrefix)
	if err != nil {
		return err
	}
	r.listed = make(map[string][]byte, len(objects))
	for _, o := range objects {
		r.listed[o.Key] = o.Value
	}
	return nil
}

func (r *partReader) read(ctx context.Context, ref *schema.ConfigPart) error {
	content, ok := r.listed[partKey(ref)]
	if !ok {
		object, err := r.store.Get(ctx, partKey(ref))
		if err != nil {
			return err
		}
		content = object.Value
	}
	p, err := decodePart(ref, content)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[ref.GetName()] = p
	return nil
}
