package register

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// maxParallelReads bounds the number of concurrent reads of parts from the
// store. To read more parts than this, all parts are listed in one call.
const maxParallelReads = 16

// Read returns the accepted configuration, or an empty one of revision 0 if
// none has been accepted yet.
func Read(ctx context.Context, store objects.Store) (*schema.Config, error) {
	s, _, err := readAccepted(ctx, store, nil)
	if err != nil {
		return nil, err
	}
	return s.config, nil
}

// readHead returns the head and its version; the head is empty and the version
// is zero if there is none.
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

// decodeHead decodes a stored head. It restores the names of the parts, which
// the stored head omits because they follow from the order of the parts.
func decodeHead(value []byte) (*schema.ConfigHead, error) {
	head := &schema.ConfigHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, corrupted("head", err)
	}
	names := partNames(head.GetTeamBuckets(), head.GetVmBuckets())
	if len(names) != len(head.GetParts()) {
		return nil, corrupted("head", nil)
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

// readAccepted reads the head and those of its parts that base does not contain.
// If a part was deleted in the meantime, a newer head has been written and is
// read instead.
func readAccepted(ctx context.Context, store objects.Store, base *snapshot) (*snapshot, objects.Version, error) {
	for {
		head, version, err := readHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		s, err := readParts(ctx, store, head, base)
		if err == nil {
			return s, version, nil
		}
		if !objects.IsNotFound(err) {
			return nil, 0, err
		}
		reread, _, err := readHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		if reread.GetRevision() == head.GetRevision() {
			return nil, 0, corrupted("named by the head", nil)
		}
	}
}

// readParts builds the snapshot of head. It reads only the parts that base does
// not contain.
func readParts(ctx context.Context, store objects.Store, head *schema.ConfigHead, base *snapshot) (*snapshot, error) {
	r := &partReader{store: store, parts: make(map[string]*part, len(head.GetParts()))}
	var missing []*schema.ConfigPart
	for _, ref := range head.GetParts() {
		if p := base.part(ref.GetName()); p != nil && proto.Equal(p.ref, ref) {
			r.parts[ref.GetName()] = p
		} else {
			missing = append(missing, ref)
		}
	}
	if err := r.prefetch(ctx, len(missing)); err != nil {
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, ref := range missing {
		group.Go(func() error { return r.read(ctx, ref) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return newSnapshot(head, r.parts), nil
}

// partReader reads the parts of one head.
type partReader struct {
	store      objects.Store
	prefetched map[string][]byte

	mu    sync.Mutex
	parts map[string]*part
}

// prefetch reads all parts in one call if more than maxParallelReads are
// missing.
func (r *partReader) prefetch(ctx context.Context, missing int) error {
	if missing <= maxParallelReads {
		return nil
	}
	objects, err := r.store.List(ctx, partPrefix)
	if err != nil {
		return err
	}
	r.prefetched = make(map[string][]byte, len(objects))
	for _, o := range objects {
		r.prefetched[o.Key] = o.Value
	}
	return nil
}

func (r *partReader) read(ctx context.Context, ref *schema.ConfigPart) error {
	content, ok := r.prefetched[partKey(ref)]
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
