package datastore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

// relayedDelta is a delta from another node, proven to lead to the newest state at
// an instant.
type relayedDelta struct {
	Delta
	proven clock.Instant
}

// Relay hands over what another node has read. The latest delta replaces one that
// was not applied yet.
func (f *Follower[T]) Relay(d Delta, proven clock.Instant) {
	f.relayed.Store(&relayedDelta{d, proven})
	f.StandIn(proven)
}

// StandIn records that another node knew the items of this node to be the newest at
// an instant. It cancels a watch that is waiting, because the other node stands in
// for it.
func (f *Follower[T]) StandIn(proven clock.Instant) {
	if f.relayRemaining(proven) <= 0 {
		return
	}
	f.relayProven.Store(max(f.relayProven.Load(), int64(proven)))
	f.ShortenWatch(0)
	select {
	case f.relayWake <- struct{}{}:
	default:
	}
}

// relayRemaining returns how long what was read at an instant stands in for a
// watch; zero or less if it does not.
func (f *Follower[T]) relayRemaining(proven clock.Instant) time.Duration {
	if f.RelayMaxAge == nil || proven == 0 {
		return 0
	}
	return f.RelayMaxAge() - f.Now().Sub(proven)
}

// followRelay applies what another node has read, or waits for it as long as that
// node stands in for a watch. It returns false if this node has to read for itself.
func (f *Follower[T]) followRelay(ctx context.Context) bool {
	if r := f.relayed.Swap(nil); r != nil && f.applyRelayed(r) {
		return true
	}
	if !f.listed {
		return false
	}
	remaining := f.relayRemaining(clock.Instant(f.relayProven.Load()))
	if f.Hold != nil {
		remaining = max(remaining, f.Hold())
	}
	if remaining <= 0 {
		return false
	}
	select {
	case <-f.relayWake:
	case <-time.After(remaining):
	case <-ctx.Done():
	}
	return true
}

// applyRelayed applies a delta from another node. It returns false if the delta
// cannot be applied to the items of this node.
func (f *Follower[T]) applyRelayed(r *relayedDelta) bool {
	if r.Revision < f.revision || !f.listed && !r.Complete {
		return false
	}
	if r.Revision == f.revision && f.listed {
		f.history.apply(Delta{Revision: r.Revision}, r.proven)
		f.publish(r.proven, false)
		return true
	}
	changes := make([]Change[T], 0, len(r.Objects))
	for _, o := range r.Objects {
		c := Change[T]{Name: o.Name, Removed: o.Removed, Raw: o.Content}
		if !o.Removed {
			c.Value, c.Err = f.Source.Decode(o.Name, o.Content)
		}
		changes = append(changes, c)
	}
	changes = f.screen(changes, r.Complete)
	if r.Complete {
		f.items = make(map[string]T, len(changes))
	} else {
		f.items = maps.Clone(f.items)
	}
	f.merge(changes)
	f.revision, f.listed, f.relisted = r.Revision, true, false
	f.history.apply(r.Delta, r.proven)
	f.publish(r.proven, true)
	return true
}

// newDelta returns changes as they are passed to other nodes. An object that cannot
// be used counts as removed.
func newDelta[T any](changes []Change[T], revision uint64, complete bool) Delta {
	d := Delta{Revision: revision, Complete: complete, Objects: make([]Object, 0, len(changes))}
	for _, c := range changes {
		switch {
		case complete && (c.Removed || c.Err != nil):
			// A list may hold an earlier state of the object on another page.
			d.Objects = slices.DeleteFunc(d.Objects, func(o Object) bool { return o.Name == c.Name })
		case c.Removed || c.Err != nil:
			d.Objects = append(d.Objects, Object{Name: c.Name, Removed: true})
		default:
			d.Objects = append(d.Objects, Object{Name: c.Name, Content: c.Raw})
		}
	}
	return d
}
