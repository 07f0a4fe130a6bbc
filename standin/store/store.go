// Package store is a test double of the platform's metadata store: objects by kind
// and name with revisions, conditional writes, paged lists and watches. It can
// simulate outages, throttling, slow and lost replies, late writes, a compacted history
// and the return from an older copy.
package store

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// Object is one object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the part of an object that the store maintains.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// Event is one change of an object, as a watch returns it.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Faults are the failures that the store simulates. The zero value is a healthy
// store.
type Faults struct {
	// Down makes the store reply to all calls with status 503, Throttled with 429;
	// Unresponsive makes it never reply.
	Down, Throttled, Unresponsive bool
	// DropWriteReplies makes the store apply writes and close the connection without
	// a reply. WriteDelay does the same, but the writes are applied after this time.
	DropWriteReplies bool
	WriteDelay       time.Duration
	// Delay is added to each call.
	Delay time.Duration
}

// Store holds the objects. Its methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era counts how often the store has come back from an older copy.
	era     uint64
	kinds   map[string]map[string]Object
	history []change
	// compacted is the last revision whose changes are no longer in the history.
	compacted  uint64
	notify     chan struct{}
	faults     Faults
	callCounts map[string]int
	// raw are the specs that were put as bytes.
	raw [][]byte
}

type change struct {
	kind     string
	revision uint64
	event    Event
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, era: 1, kinds: make(map[string]map[string]Object), notify: make(chan struct{}), callCounts: make(map[string]int),
	}
}

// SetFaults replaces the faults. Waiting watches are aborted if the store is now down
// or unresponsive.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Put creates or replaces an object without a revision check and regardless of faults.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
	return nil
}

// Remove deletes an object regardless of faults.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact drops the history. Watches, also waiting ones, of changes after an older
// revision than the current one get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.revision++
	s.notifyWatchers()
}

// Copy is the store's content at a moment.
type Copy struct {
	revision, compacted uint64
	kinds               map[string]map[string]Object
	history             []change
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, s.compacted, cloneKinds(s.kinds), slices.Clone(s.history)}
}

// Restore replaces the content by a copy and begins a new era. What was written since
// the copy is lost, and its revisions are given out again. Waiting watches are aborted.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compacted = c.revision, c.compacted
	s.kinds, s.history = cloneKinds(c.kinds), slices.Clone(c.history)
	s.notifyWatchers()
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	cloned := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		cloned[kind] = maps.Clone(objects)
	}
	return cloned
}

// CallCounts returns the number of calls by method and kind, such as "GET config".
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.callCounts))
	for name, n := range s.callCounts {
		counts[name] = n
	}
	return counts
}

// notifyWatchers wakes all waiting watches. The lock must be held.
func (s *Store) notifyWatchers() {
	close(s.notify)
	s.notify = make(chan struct{})
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]Object)
		s.kinds[kind] = objects
	}
	old, existed := objects[name]
	if existed && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if existed {
		o.Metadata.Created, o.Status = old.Metadata.Created, old.Status
	}
	objects[name] = o
	s.appendEvent(kind, Event{Object: o})
	return o
}

// putStatus replaces the status of an object, which raises its revision.
func (s *Store) putStatus(kind string, o Object, status json.RawMessage) Object {
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, status
	s.kinds[kind][o.Metadata.Name] = o
	s.appendEvent(kind, Event{Object: o})
	return o
}

// Object returns an object, or false if there is none.
func (s *Store) Object(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.appendEvent(kind, Event{Object: o, Deleted: true})
	return true
}

func (s *Store) appendEvent(kind string, e Event) {
	s.history = append(s.history, change{kind, s.revision, e})
	s.notifyWatchers()
}

// list returns a page of a kind's objects whose names follow after, sorted by name.
func (s *Store) list(kind, after string, size int) (page []Object, hasMore bool) {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if len(page) == size {
			return page, true
		}
		page = append(page, s.kinds[kind][name])
	}
	return page, false
}

// eventsSince returns a kind's changes after a revision.
func (s *Store) eventsSince(kind string, revision uint64) (events []Event) {
	for _, c := range s.history {
		if c.kind == kind && c.revision > revision {
			events = append(events, c.event)
		}
	}
	return events
}
