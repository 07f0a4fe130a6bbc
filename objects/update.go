package objects

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Retry intervals of repeated calls; each is randomised.
const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = 5 * time.Second
)

// NewBackOff returns the exponential backoff with jitter that callers of a
// Store use between retries.
func NewBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryInterval
	b.MaxInterval = maxRetryInterval
	return b
}

// Change is one read-modify-write of an object. Its value must carry a nonce
// of the writer, so that a lost answer can be settled by reading back.
type Change struct {
	Key string
	// Mutate returns the new value; an error ends the update. It sees an
	// Object with Version zero when the object does not exist, and may be
	// called again after a conflict.
	Mutate func(current Object) ([]byte, error)
	// Owned reports whether the stored value is this writer's own.
	Owned func(stored []byte) bool
}

// Update applies a change by conditional update. It repeats after conflicts,
// throttling and outages until ctx ends, and settles lost answers by reading
// back. An error of kind unknown-effect is returned only when ctx ended before
// a lost answer was settled.
func Update(ctx context.Context, store Store, change Change) (Object, error) {
	u := &updater{store: store, change: change}
	object, err := backoff.Retry(ctx, func() (Object, error) { return u.try(ctx) },
		backoff.WithBackOff(NewBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return object, nil
	}
	if u.unsettled {
		return Object{}, errUnknownEffect(err, change.Key)
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return Object{}, err
	}
	return Object{}, errUnavailable(err)
}

// updater holds the state of one Update between its tries.
type updater struct {
	store     Store
	change    Change
	unsettled bool
}

func (u *updater) try(ctx context.Context) (Object, error) {
	current, err := u.store.Get(ctx, u.change.Key)
	if err != nil && !IsNotFound(err) {
		return Object{}, retriable(err)
	}
	if u.unsettled && current.Version != 0 && u.change.Owned(current.Value) {
		return current, nil
	}
	value, err := u.change.Mutate(Object{Key: u.change.Key, Version: current.Version, Value: current.Value})
	if err != nil {
		return Object{}, backoff.Permanent(err)
	}
	version, err := u.store.Put(ctx, u.change.Key, value, current.Version)
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_UNSPECIFIED:
		return Object{Key: u.change.Key, Version: version, Value: value}, nil
	case schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT:
		u.unsettled = true
		return Object{}, err
	default:
		return Object{}, retriable(err)
	}
}

// retriable marks errors that a retry cannot mend as permanent.
func retriable(err error) error {
	if IsTransient(err) || IsConflict(err) || IsUnknownEffect(err) {
		return err
	}
	return backoff.Permanent(err)
}
