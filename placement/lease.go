package placement

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	leasePrefix = "placement/"
	// leaseDuration is how long a controller may act after its last renewal.
	leaseDuration = 15 * time.Second
	// leaseMargin ends the holder's own use of a lease before others take it.
	leaseMargin = 2 * time.Second
	// DefaultMaxPause is the longest pause of a controller that is allowed for
	// at targets that do not check fencing numbers.
	DefaultMaxPause = 30 * time.Second
)

// lease is one controller's lease on a service. It belongs to one goroutine at
// a time.
type lease struct {
	store   objects.Store
	service string
	node    string

	version objects.Version
	stored  *schema.ControllerLease
	// observed is when the stored lease was first seen as it is.
	observed time.Time
	// fence is this node's fencing number; zero while it holds no lease.
	fence uint64
	// validUntil is when the lease must no longer be used, by this node's
	// monotonic clock; wallUntil the same by the wall clock.
	validUntil time.Time
	// quietUntil is when targets that do not check fences may be ordered.
	quietUntil time.Time
	maxPause   time.Duration
	// unanswered is set after an order whose effect is not known; the lease is
	// then left to lapse.
	unanswered bool
}

// step renews the lease, takes it if it has lapsed or was given back, or waits
// for that. It returns an error if the object API failed.
func (l *lease) step(ctx context.Context) error {
	if err := l.read(ctx); err != nil {
		return err
	}
	now := time.Now()
	holder := l.stored.GetNode()
	switch {
	case holder == l.node && l.fence == l.stored.GetFence():
		return l.write(ctx, now, l.fence)
	case holder == "":
		return l.write(ctx, now, l.stored.GetFence()+1)
	case now.Sub(l.observed) >= l.stored.GetDuration().AsDuration()+leaseMargin:
		l.quietUntil = now.Add(l.maxPause)
		return l.write(ctx, now, l.stored.GetFence()+1)
	default:
		return nil
	}
}

func (l *lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, leasePrefix+l.service)
	if err != nil && !objects.IsNotFound(err) {
		return err
	}
	stored := &schema.ControllerLease{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return err
	}
	if object.Version != l.version || l.observed.IsZero() {
		l.observed = time.Now()
	}
	l.version = object.Version
	l.stored = stored
	if stored.GetNode() != l.node || stored.GetFence() != l.fence {
		l.drop()
	}
	return nil
}

// write stores this node as holder. The lease counts from began, before the
// write. If a lost answer cannot be settled, a lease that was taken has to
// lapse before it is taken again.
func (l *lease) write(ctx context.Context, began time.Time, fence uint64) error {
	next := &schema.ControllerLease{
		Service:  l.service,
		Node:     l.node,
		Fence:    fence,
		Duration: durationpb.New(leaseDuration),
		Nonce:    uuid.NewString(),
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	object, err := l.put(ctx, value, next.GetNonce())
	if err != nil {
		return err
	}
	l.version = object.Version
	l.observed = time.Now()
	l.stored = next
	if l.fence != fence {
		l.unanswered = false
	}
	l.fence = fence
	l.validUntil = began.Add(leaseDuration - leaseMargin)
	return nil
}

// put writes the lease on the version that was read, and settles a lost answer
// by reading back.
func (l *lease) put(ctx context.Context, value []byte, nonce string) (objects.Object, error) {
	key := leasePrefix + l.service
	version, err := l.store.Put(ctx, key, value, l.version)
	if err == nil {
		return objects.Object{Version: version}, nil
	}
	if !objects.IsUnknownEffect(err) {
		return objects.Object{}, err
	}
	object, readErr := l.store.Get(ctx, key)
	if readErr != nil {
		return objects.Object{}, err
	}
	stored := &schema.ControllerLease{}
	if proto.Unmarshal(object.Value, stored) != nil || stored.GetNonce() != nonce {
		return objects.Object{}, err
	}
	return object, nil
}

// release gives the lease back, so that the next holder need not wait. It is
// called when no order is under way, and does nothing if one may still arrive.
func (l *lease) release(ctx context.Context) error {
	if l.fence == 0 || l.unanswered {
		return nil
	}
	fence := l.fence
	l.drop()
	value, err := proto.Marshal(&schema.ControllerLease{Service: l.service, Fence: fence, Nonce: uuid.NewString()})
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, leasePrefix+l.service, value, l.version)
	return err
}

func (l *lease) drop() {
	l.fence = 0
	l.validUntil = time.Time{}
}

// valid reports whether an order may be sent now. Both clocks are asked, since
// the monotonic one stops while a VM is suspended.
func (l *lease) valid(checksFence bool) bool {
	now := time.Now()
	if l.fence == 0 || !now.Before(l.validUntil) || !now.Round(0).Before(l.validUntil.Round(0)) {
		return false
	}
	return checksFence || !now.Before(l.quietUntil)
}
