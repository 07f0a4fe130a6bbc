package datastore

import (
	"bytes"
	"sync"

	"github.com/primrosemoor/primrosemoor/clock"
)

// Kind is a kind of items that nodes pass on to each other.
type Kind uint8

// The kinds of items that nodes pass on.
const (
	KindTargets Kind = iota
	KindNodes
)

// Object is an object of the store as it is passed from one node to another.
type Object struct {
	Name    string
	Content []byte
	Removed bool
}

// Delta holds what changed after a revision of the store.
type Delta struct {
	// Revision is the store's revision after the changes.
	Revision uint64
	// Complete means that Objects lists all objects; others no longer exist.
	Complete bool
	Objects  []Object
}

// maxHistoryChanges bounds the changes that a history keeps. A node that missed
// more reads for itself.
const maxHistoryChanges = 2000

// history keeps the objects of one kind and their recent changes, for other nodes.
// Its methods may be called by any goroutine.
type history struct {
	mu       sync.Mutex
	revision uint64
	// proven is the latest instant at which the objects were known to be the newest.
	proven   clock.Instant
	contents map[string][]byte
	// changes are ordered by revision; all after base are kept.
	changes []change
	base    uint64
}

// change is an object and the revision at which its change was read.
type change struct {
	Object
	revision uint64
}

// apply applies a delta that was proven to lead to the newest state at an instant.
func (h *history) apply(d Delta, proven clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proven = max(h.proven, proven)
	objects := d.Objects
	if d.Complete && h.contents != nil {
		objects = h.differences(objects)
	}
	first := h.contents == nil
	if first {
		h.contents, h.base = make(map[string][]byte, len(objects)), d.Revision
	}
	for _, o := range objects {
		if o.Removed {
			delete(h.contents, o.Name)
		} else {
			h.contents[o.Name] = o.Content
		}
		if !first {
			h.changes = append(h.changes, change{o, d.Revision})
		}
	}
	h.revision = max(h.revision, d.Revision)
	h.trim()
}

// differences returns what changed between the known objects and a new list of all,
// so that a node that lists the store again does not make others read everything.
// h.mu must be held.
func (h *history) differences(all []Object) []Object {
	var changed []Object
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		listed[o.Name] = true
		if content, ok := h.contents[o.Name]; !ok || !bytes.Equal(content, o.Content) {
			changed = append(changed, o)
		}
	}
	for name := range h.contents {
		if !listed[name] {
			changed = append(changed, Object{Name: name, Removed: true})
		}
	}
	return changed
}

// trim drops the oldest changes beyond maxHistoryChanges. h.mu must be held.
func (h *history) trim() {
	if len(h.changes) <= maxHistoryChanges {
		return
	}
	dropped := len(h.changes) - maxHistoryChanges/2
	h.base = h.changes[dropped-1].revision
	for dropped < len(h.changes) && h.changes[dropped].revision == h.base {
		dropped++
	}
	h.changes = append([]change(nil), h.changes[dropped:]...)
}

// since returns the changes after a revision, and when they were known to lead to
// the newest state; all objects for unlistedRevision. The delta is empty if the
// revision is not older than the objects. It returns false if this node knows
// nothing, or not what changed since: the other node then reads for itself, which
// costs less than all objects.
func (h *history) since(revision uint64) (Delta, clock.Instant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.contents == nil {
		return Delta{}, 0, false
	}
	d := Delta{Revision: h.revision, Complete: revision <= unlistedRevision}
	if !d.Complete && revision < h.base {
		return Delta{}, 0, false
	}
	if d.Complete {
		for name, content := range h.contents {
			d.Objects = append(d.Objects, Object{Name: name, Content: content})
		}
		return d, h.proven, true
	}
	latest := make(map[string]Object)
	for _, c := range h.changes {
		if c.revision > revision {
			latest[c.Name] = c.Object
		}
	}
	for _, o := range latest {
		d.Objects = append(d.Objects, o)
	}
	return d, h.proven, true
}

// currentRevision returns the revision of the objects, 0 if none were read.
func (h *history) currentRevision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}
