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

// Relay hands over what another node has read, if it leads on from the items of this
// node; otherwise this node reads for itself. The latest delta replaces one that was
// not applied yet. Of items that are older than those of this node, only the proof
// counts, and that not from a node of an older era, or of a release that knows none.
func (f *Follower[T]) Relay(d Delta, proven clock.Instant) {
	at := f.history.current()
	switch {
	case at.Compare(d.Position) > 0:
		if at.Era == d.Position.Era {
			f.StandIn(proven)
		}
	case d.leadsFrom(at):
		f.relayed.Store(&relayedDelta{d, proven})
		if f.relayRemaining(proven) > 0 {
			f.interruptWatch()
		}
	}
}

// StandIn records that another node knew the items of this node to be the newest at
// an instant. It cancels a watch that is waiting, because the other node stands in
// for it.
func (f *Follower[T]) StandIn(proven clock.Instant) {
	if f.recordStandIn(proven) {
		f.interruptWatch()
	}
}

// recordStandIn records until when another node stands in for a watch, and reports
// whether it still does.
func (f *Follower[T]) recordStandIn(proven clock.Instant) bool {
	if f.relayRemaining(proven) <= 0 {
		return false
	}
	f.relayProven.Store(max(f.relayProven.Load(), int64(proven)))
	return true
}

// interruptWatch cancels a watch that is waiting and wakes the follower.
func (f *Follower[T]) interruptWatch() {
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
	if f.mustList {
		remaining = max(remaining, f.listAt.Sub(f.Now()))
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
	if !r.leadsFrom(f.position) || !f.listed && !r.Complete {
		return false
	}
	f.recordStandIn(r.proven)
	if r.proven > f.failedAt {
		f.recordRecovery(false)
	}
	f.history.extendGrace(f.Now().Add(r.Grace))
	if r.Position == f.position && f.listed {
		f.history.apply(Delta{From: r.Position, Position: r.Position}, r.proven)
		f.publish(r.proven, false)
		return true
	}
	changes := f.screen(f.decode(r.Objects), r.Complete)
	if r.Complete {
		f.items = make(map[string]T, len(changes))
	} else {
		f.items = maps.Clone(f.items)
	}
	f.merge(changes)
	f.moveTo(r.Position)
	f.relisted = false
	f.history.apply(r.Delta, r.proven)
	f.publish(r.proven, true)
	return true
}

// decode decodes objects that another node has read.
func (f *Follower[T]) decode(objects []Object) []Change[T] {
	changes := make([]Change[T], 0, len(objects))
	for _, o := range objects {
		c := Change[T]{Name: o.Name, Removed: o.Removed, Raw: o.Content}
		if !o.Removed || o.Content != nil {
			c.Value, c.Err = f.Source.Decode(o.Name, o.Content)
		}
		changes = append(changes, c)
	}
	return changes
}

// newDelta returns changes as they are passed to other nodes. An object that cannot
// be used counts as removed.
func newDelta[T any](changes []Change[T], at Position, complete bool) Delta {
	d := Delta{Position: at, Complete: complete, Objects: make([]Object, 0, len(changes))}
	for _, c := range changes {
		switch {
		case complete && (c.Removed || c.Err != nil):
			// A list may hold an earlier state of the object on another page.
			d.Objects = slices.DeleteFunc(d.Objects, func(o Object) bool { return o.Name == c.Name })
		case c.Err != nil:
			d.Objects = append(d.Objects, Object{Name: c.Name, Removed: true})
		case c.Removed:
			d.Objects = append(d.Objects, Object{Name: c.Name, Content: c.Raw, Removed: true})
		default:
			d.Objects = append(d.Objects, Object{Name: c.Name, Content: c.Raw})
		}
	}
	return d
}
