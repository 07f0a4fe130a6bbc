package register

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/schema"
)

// maxParallelReads bounds the parts read from the store at a time.
const maxParallelReads = 16

// Read returns the accepted configuration, or one of revision 0 without items
// when none was accepted yet.
func Read(ctx context.Context, store platform.Store) (*schema.Config, error) {
	h, _, err := readAccepted(ctx, store, nil)
	if err != nil {
		return nil, err
	}
	return h.config, nil
}

// readHead returns the head and its version; both are zero when there is none.
func readHead(ctx context.Context, store platform.Store) (*schema.ConfigHead, platform.Version, error) {
	object, err := store.Get(ctx, HeadKey)
	if platform.IsNotFound(err) {
		return &schema.ConfigHead{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	head, err := decodeHead(object.Value)
	return head, object.Version, err
}

func decodeHead(value []byte) (*schema.ConfigHead, error) {
	head := &schema.ConfigHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, damaged("head", err)
	}
	return head, nil
}

// readAccepted reads the head and those of its parts that have lacks. When a
// part has been deleted meanwhile, the head has moved on and is read again.
func readAccepted(ctx context.Context, store platform.Store, have *held) (*held, platform.Version, error) {
	for {
		head, version, err := readHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		h, err := readParts(ctx, store, head, have)
		if err == nil {
			return h, version, nil
		}
		if !platform.IsNotFound(err) {
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
func readParts(ctx context.Context, store platform.Store, head *schema.ConfigHead, have *held) (*held, error) {
	var mu sync.Mutex
	parts := make(map[string]*part, len(head.GetParts()))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, ref := range head.GetParts() {
		if p := have.part(ref.GetName()); p != nil && proto.Equal(p.ref, ref) {
			mu.Lock()
			parts[ref.GetName()] = p
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			p, err := readPart(ctx, store, ref)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			parts[ref.GetName()] = p
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return newHeld(head, parts), nil
}

func readPart(ctx context.Context, store platform.Store, ref *schema.ConfigPart) (*part, error) {
	object, err := store.Get(ctx, partKey(ref))
	if err != nil {
		return nil, err
	}
	return decodePart(ref, object.Value)
}
