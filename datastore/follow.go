package datastore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// callSlack is what a call may take beyond the time it was asked to wait.
	callSlack = 1500 * time.Millisecond
	// A failed call is repeated soon, because promises with a bound of a few
	// seconds depend on it, and less often while an outage lasts.
	initialRetry = 100 * time.Millisecond
	maxRetry     = 700 * time.Millisecond
)

// errHurry cuts a watch off that waits for too long.
var errHurry = errors.New("datastore: the answer is needed sooner")

// Update is what a follower knows after a call.
type Update[T any] struct {
	// Items holds all items by name; it is never changed afterwards.
	Items map[string]T
	// Proven is the latest instant at which Items were known to be complete.
	Proven clock.Instant
	// Changed is false if only Proven moved.
	Changed bool
	// Regained is true if the calls before had failed.
	Regained bool
}

// Follower keeps the items of one source up to date.
type Follower[T any] struct {
	Source Source[T]
	// Kind names the items in log lines.
	Kind string
	// Wait returns how long the next watch waits for changes.
	Wait func() time.Duration
	// Pause returns the shortest time between a change and the next watch, so that
	// changes that come together cost one call. It is asked again meanwhile; nil
	// means that there is none.
	Pause  func() time.Duration
	Logger *log.Logger
	// Now reads the clock.
	Now func() clock.Instant
	// Apply is called after each successful call, by the follower's goroutine.
	Apply func(Update[T])

	mu sync.Mutex
	// cut ends the watch that waits, for waitTime at most; nil if none does.
	cut      context.CancelCauseFunc
	waitTime time.Duration

	items    map[string]T
	revision uint64
	listed   bool
	failing  bool
	// changed says that the last call brought changes, relisted that history was gone
	// and no watch has succeeded since.
	changed, relisted bool
}

// Run follows the source until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialRetry, maxRetry
	for ctx.Err() == nil {
		f.changed = false
		err := f.step(ctx)
		switch {
		case err != nil:
			f.fail(ctx, err)
			sleep(ctx, retry.NextBackOff())
			continue
		case f.changed && f.Pause != nil:
			f.rest(ctx)
		}
		retry.Reset()
	}
}

// restStep is how often a pause is looked at whether it has become shorter.
const restStep = 100 * time.Millisecond

// rest waits until the pause after a change is over.
func (f *Follower[T]) rest(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil; {
		left := f.Pause() - time.Since(began)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, restStep))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *Follower[T]) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	err := f.watch(ctx)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		if f.relisted {
			return err
		}
		f.relisted = true
		f.Logger.Info().Str("event", "store_history_gone").Str("kind", f.Kind).Uint64("revision", f.revision).Msg("")
		return nil
	}
	return err
}

func (f *Follower[T]) list(ctx context.Context) error {
	began := f.Now()
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	items, revision, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.items = make(map[string]T, len(items))
	f.merge(items)
	f.revision, f.listed = revision, true
	f.publish(began, true)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	began, wait := f.Now(), f.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	ctx, cut := context.WithCancelCause(ctx)
	f.setWaiting(cut, wait)
	changes, next, err := f.Source.Watch(ctx, f.revision, wait)
	f.setWaiting(nil, 0)
	if errors.Is(context.Cause(ctx), errHurry) {
		return nil
	}
	cut(nil)
	if err != nil {
		return err
	}
	f.relisted = false
	f.revision = max(f.revision, next)
	if len(changes) > 0 {
		f.items = maps.Clone(f.items)
		f.merge(changes)
		f.changed = true
		f.publish(began, true)
		return nil
	}
	// The store answered without a change after it had waited: nothing had
	// changed by then. An answer that came sooner says so of its beginning only.
	if f.Now().Sub(began) >= wait {
		began = began.Add(wait)
	}
	f.publish(began, false)
	return nil
}

func (f *Follower[T]) setWaiting(cut context.CancelCauseFunc, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.waitTime = cut, wait
}

// Hurry cuts off a watch that waits for longer than a time, so that the next one
// begins.
func (f *Follower[T]) Hurry(most time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut != nil && f.waitTime > most {
		f.cut(errHurry)
	}
}

func (f *Follower[T]) merge(changes []Change[T]) {
	for _, c := range changes {
		if c.Err != nil {
			f.Logger.Warn().Str("event", "object_unusable").Str("kind", f.Kind).Str("name", c.Name).Err(c.Err).Msg("")
		}
		if c.Removed || c.Err != nil {
			delete(f.items, c.Name)
			continue
		}
		f.items[c.Name] = c.Value
	}
}

func (f *Follower[T]) publish(proven clock.Instant, changed bool) {
	regained := f.failing
	if regained {
		f.failing = false
		f.Logger.Info().Str("event", "store_regained").Str("kind", f.Kind).Msg("")
	}
	f.Apply(Update[T]{Items: f.items, Proven: proven, Changed: changed, Regained: regained})
}

func (f *Follower[T]) fail(ctx context.Context, err error) {
	if ctx.Err() != nil || f.failing {
		return
	}
	f.failing = true
	f.Logger.Warn().Str("event", "store_lost").Str("kind", f.Kind).Err(err).Msg("")
}
