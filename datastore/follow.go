package datastore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// callSlack is how long a call may take beyond its requested wait.
	callSlack = 1500 * time.Millisecond
	// listTimeout bounds a list of all objects, which may be of a megabyte and more
	// and is read by hundreds of nodes at once when all start.
	listTimeout = 5 * time.Second
	// initialRetry and maxRetry bound the delay before a failed call is retried. It
	// is short, because guarantees with limits of a few seconds, such as that for
	// revoked keys, depend on the calls, and grows as an outage goes on.
	initialRetry = 100 * time.Millisecond
	maxRetry     = 700 * time.Millisecond
)

// errWatchShortened is the cause with which ShortenWatch cancels a watch.
var errWatchShortened = errors.New("datastore: watch cancelled to start a shorter one")

// Update is a follower's state after a call.
type Update[T any] struct {
	// Items holds all items by name; it is not modified afterwards.
	Items map[string]T
	// Proven is the latest instant at which Items were known to be complete.
	Proven clock.Instant
	// Changed is false if only Proven moved.
	Changed bool
	// Recovered is true if the previous calls had failed.
	Recovered bool
}

// Follower keeps the items of one source up to date.
type Follower[T any] struct {
	Source Source[T]
	// Kind names the items in log lines.
	Kind string
	// Wait returns how long the next watch waits for changes.
	Wait func() time.Duration
	// RelayMaxAge returns the greatest age of what another node has read with which
	// it stands in for a watch of this node; nil or zero if this node reads for
	// itself.
	RelayMaxAge func() time.Duration
	// Hold returns how long a node that has just started waits for another one to
	// stand in for it after it has listed the items; nil means that it does not.
	Hold func() time.Duration
	// Pause returns the minimum time between a change and the next watch, so that
	// changes close together cost one call. It is called again during the pause; nil
	// means no pause.
	Pause  func() time.Duration
	Logger *log.Logger
	// Now reads the clock.
	Now func() clock.Instant
	// Apply is called after each successful call, by the follower's goroutine.
	Apply func(Update[T])

	mu sync.Mutex
	// cancelWatch cancels the current watch, which waits for at most watchWait; nil
	// if there is none.
	cancelWatch context.CancelCauseFunc
	watchWait   time.Duration

	history history
	// relayed holds the latest delta from another node until it is applied;
	// relayProven is the clock.Instant at which the last one was proven.
	relayed     atomic.Pointer[relayedDelta]
	relayWake   chan struct{}
	relayProven atomic.Int64

	items    map[string]T
	revision uint64
	listed   bool
	failing  bool
	// changed is set if the last watch returned changes. relisted is set if history
	// was gone and no watch has succeeded since.
	changed, relisted bool
	// unusable are the names of the items that cannot be used and were logged.
	unusable map[string]bool
}

// NewFollower returns a follower of a source; its other exported fields must be set
// before Run.
func NewFollower[T any](source Source[T], kind string, logger *log.Logger, now func() clock.Instant) *Follower[T] {
	return &Follower[T]{Source: source, Kind: kind, Logger: logger, Now: now, relayWake: make(chan struct{}, 1)}
}

// Run follows the source until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialRetry, maxRetry
	for ctx.Err() == nil {
		if f.followRelay(ctx) {
			continue
		}
		f.changed = false
		err := f.step(ctx)
		switch {
		case err != nil:
			f.recordFailure(ctx, err)
			sleep(ctx, retry.NextBackOff())
			continue
		case f.changed && f.Pause != nil:
			f.pause(ctx)
		}
		retry.Reset()
	}
}

// pauseCheckInterval is the time between two checks whether a pause has become
// shorter.
const pauseCheckInterval = 100 * time.Millisecond

// pause waits until the pause after a change is over.
func (f *Follower[T]) pause(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil; {
		remaining := f.Pause() - time.Since(start)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, pauseCheckInterval))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// step lists the items or watches for changes. If history is gone, the next step
// lists again; a second such failure without a successful watch in between is
// returned as an error.
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
	start := f.Now()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	items = f.screen(items, true)
	f.items = make(map[string]T, len(items))
	f.merge(items)
	f.revision, f.listed = revision, true
	f.history.apply(newDelta(items, revision, true), start)
	f.publish(start, true)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	start, wait := f.Now(), f.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	ctx, cancelWatch := context.WithCancelCause(ctx)
	f.setWatch(cancelWatch, wait)
	changes, next, err := f.Source.Watch(ctx, f.revision, wait)
	f.setWatch(nil, 0)
	if errors.Is(context.Cause(ctx), errWatchShortened) {
		return nil
	}
	cancelWatch(nil)
	if err != nil {
		return err
	}
	f.relisted = false
	f.revision = max(f.revision, next)
	f.changed = len(changes) > 0
	if changes = f.screen(changes, false); len(changes) > 0 {
		f.items = maps.Clone(f.items)
		f.merge(changes)
		f.history.apply(newDelta(changes, f.revision, false), start)
		f.publish(start, true)
		return nil
	}
	// An answer without changes after the full wait proves that nothing changed
	// until the end of the wait. An earlier answer proves it only for the start of
	// the call.
	if !f.changed && f.Now().Sub(start) >= wait {
		start = start.Add(wait)
	}
	f.history.apply(Delta{Revision: f.revision}, start)
	// The end of an outage is told with the first change, even one that was dropped.
	f.publish(start, f.changed && f.failing)
	return nil
}

func (f *Follower[T]) setWatch(cancelWatch context.CancelCauseFunc, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch, f.watchWait = cancelWatch, wait
}

// ShortenWatch cancels a watch that waits for longer than limit, so that the next
// one starts.
func (f *Follower[T]) ShortenWatch(limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil && f.watchWait > limit {
		f.cancelWatch(errWatchShortened)
	}
}

// merge applies changes to the items; an unusable item is removed.
func (f *Follower[T]) merge(changes []Change[T]) {
	for _, c := range changes {
		if c.Removed || c.Err != nil {
			delete(f.items, c.Name)
			continue
		}
		f.items[c.Name] = c.Value
	}
}

// publish calls Apply and logs the end of an outage.
func (f *Follower[T]) publish(proven clock.Instant, changed bool) {
	recovered := f.failing
	if recovered {
		f.failing = false
		f.Logger.Info().Str("event", "store_regained").Str("kind", f.Kind).Msg("")
	}
	f.Apply(Update[T]{Items: f.items, Proven: proven, Changed: changed, Recovered: recovered})
}

// recordFailure logs the first failure of an outage.
func (f *Follower[T]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || f.failing {
		return
	}
	f.failing = true
	f.Logger.Warn().Str("event", "store_lost").Str("kind", f.Kind).Err(err).Msg("")
}
