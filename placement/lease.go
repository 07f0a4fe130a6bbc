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
	leaseKeyPrefix = "placement/"
	// leaseDuration is how long a lease is valid after its last renewal.
	leaseDuration = 15 * time.Second
	// leaseMargin is the safety margin between the time when the holder stops
	// using a lease and the time when others may take it: the holder stops this
	// much before the lease expires, and others wait this much longer.
	leaseMargin = 2 * time.Second
	// DefaultMaxPause is the longest process pause of a controller that is
	// tolerated if targets do not check fencing numbers.
	DefaultMaxPause = 30 * time.Second
)

// lease is a controller's lease on a service. It must be used by one goroutine at
// a time.
type lease struct {
	store   objects.Store
	service string
	node    string

	version objects.Version
	stored  *schema.ControllerLease
	// observedAt is when the stored lease was first read in its present version.
	observedAt time.Time
	// fence is this node's fencing number; zero if it does not hold the lease.
	fence uint64
	// validUntil is when the lease must no longer be used. It is compared by both
	// the monotonic clock and the wall clock of this node.
	validUntil time.Time
	// uncheckedFrom is the earliest time for orders to targets that do not check
	// fencing numbers.
	uncheckedFrom time.Time
	maxPause      time.Duration
	// orderUnconfirmed is set after an order whose effect is unknown; the lease is
	// then not released but left to expire.
	orderUnconfirmed bool
}

// acquireOrRenew renews the lease if this node holds it, and acquires it if it has
// expired or was released. Otherwise it does nothing. It returns an error if the
// object API failed.
func (l *lease) acquireOrRenew(ctx context.Context) error {
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
	case now.Sub(l.observedAt) >= l.stored.GetDuration().AsDuration()+leaseMargin:
		l.uncheckedFrom = now.Add(l.maxPause)
		return l.write(ctx, now, l.stored.GetFence()+1)
	default:
		return nil
	}
}

func (l *lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, leaseKeyPrefix+l.service)
	if err != nil && !objects.IsNotFound(err) {
		return err
	}
	stored := &schema.ControllerLease{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return err
	}
	if object.Version != l.version || l.observedAt.IsZero() {
		l.observedAt = time.Now()
	}
	l.version = object.Version
	l.stored = stored
	if stored.GetNode() != l.node || stored.GetFence() != l.fence {
		l.invalidate()
	}
	return nil
}

// write stores this node as the holder. The validity of the lease is counted from
// startedAt, which is before the write. If the outcome of the write is unknown and
// cannot be determined, a lease that was acquired must expire before it can be
// acquired again.
func (l *lease) write(ctx context.Context, startedAt time.Time, fence uint64) error {
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
	l.observedAt = time.Now()
	l.stored = next
	if l.fence != fence {
		l.orderUnconfirmed = false
	}
	l.fence = fence
	l.validUntil = startedAt.Add(leaseDuration - leaseMargin)
	return nil
}

// put writes the lease on condition that the stored version is the one that was
// read. If the effect of the write is unknown, it determines it by reading the
// lease again.
func (l *lease) put(ctx context.Context, value []byte, nonce string) (objects.Object, error) {
	key := leaseKeyPrefix + l.service
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

// release releases the lease, so that the next holder does not have to wait for it
// to expire. It must be called while no order is in flight, and does nothing if an
// order may still reach its target.
func (l *lease) release(ctx context.Context) error {
	if l.fence == 0 || l.orderUnconfirmed {
		return nil
	}
	fence := l.fence
	l.invalidate()
	value, err := proto.Marshal(&schema.ControllerLease{Service: l.service, Fence: fence, Nonce: uuid.NewString()})
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, leaseKeyPrefix+l.service, value, l.version)
	return err
}

func (l *lease) invalidate() {
	l.fence = 0
	l.validUntil = time.Time{}
}

// valid reports whether an order may be sent now. It checks both clocks, because
// the monotonic clock stops while a VM is suspended.
func (l *lease) valid(checksFence bool) bool {
	now := time.Now()
	if l.fence == 0 || !now.Before(l.validUntil) || !now.Round(0).Before(l.validUntil.Round(0)) {
		return false
	}
	return checksFence || !now.Before(l.uncheckedFrom)
}
