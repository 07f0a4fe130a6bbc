package objects

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Retry intervals of failed calls; each interval is randomised.
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

// Change is one read-modify-write of an object. The new value must contain a
// nonce of the writer, so that after a lost response a read shows whether the
// write took effect.
type Change struct {
	Key string
	// Mutate returns the new value; an error ends the update. Its argument has
	// Version zero if the object does not exist. It may be called again after
	// a conflict.
	Mutate func(current Object) ([]byte, error)
	// IsOwnWrite reports whether this writer wrote the stored value.
	IsOwnWrite func(stored []byte) bool
}

// Update applies a change by conditional update. It retries after conflicts,
// throttling and outages until ctx ends. After a lost response it reads the
// object to find out whether the write took effect. It returns an error of kind
// unknown-effect only if a write's response was lost, and ctx ended or another
// error ended the update before it found out.
func Update(ctx context.Context, store Store, change Change) (Object, error) {
	u := &updater{store: store, change: change}
	object, err := backoff.Retry(ctx, func() (Object, error) { return u.attempt(ctx) },
		backoff.WithBackOff(NewBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return object, nil
	}
	if u.effectUnknown {
		return Object{}, errUnknownEffect(err, change.Key)
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return Object{}, err
	}
	return Object{}, errUnavailable(err)
}

// updater holds the state of one Update across its attempts.
type updater struct {
	store         Store
	change        Change
	effectUnknown bool
}

func (u *updater) attempt(ctx context.Context) (Object, error) {
	current, err := u.store.Get(ctx, u.change.Key)
	if err != nil && !IsNotFound(err) {
		return Object{}, markPermanent(err)
	}
	if u.effectUnknown && current.Version != 0 && u.change.IsOwnWrite(current.Value) {
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
		u.effectUnknown = true
		return Object{}, err
	default:
		return Object{}, markPermanent(err)
	}
}

// markPermanent marks errors that a retry cannot resolve as permanent.
func markPermanent(err error) error {
	if IsTransient(err) || IsConflict(err) || IsUnknownEffect(err) {
		return err
	}
	return backoff.Permanent(err)
}
