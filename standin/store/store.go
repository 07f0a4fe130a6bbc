// Package store stands in for the platform's metadata store: objects by kind
// and name with revisions, conditional writes, paged lists and watches. It
// brings about outages, slow, lost and late answers, throttling, refusals of
// single callers and a history that is gone.
package store

import (
	"encoding/json"
	"sort"
	"sync"
	"time"
)

// Object is one entry of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the part of an object that the store keeps.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// Event is one change.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Faults are the failures that the store brings about. The zero value is a
// healthy store.
type Faults struct {
	// Down answers all calls with 503, Throttled with 429; Silent never answers.
	Down, Throttled, Silent bool
	// LoseWrites does the writes and gives no answer; LateWrites does them after
	// the time.
	LoseWrites bool
	LateWrites time.Duration
	// Delay is added to each answer.
	Delay time.Duration
}

// Store keeps the objects. Its methods may be called by any goroutine.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	history  []change
	// compacted is the last revision whose changes are no longer known.
	compacted uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

type change struct {
	kind     string
	revision uint64
	event    Event
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetFaults changes what fails from now on; watches that wait are cut off.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Put writes an object as its owner would.
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

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact forgets all changes so far and cuts the watches that wait.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.revision++
	s.wake()
}

// Calls returns how often each call was made.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.calls))
	for name, n := range s.calls {
		copied[name] = n
	}
	return copied
}

// wake ends the waits; the lock must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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
		o.Metadata.Created = old.Metadata.Created
	}
	objects[name] = o
	s.note(kind, Event{Object: o})
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.note(kind, Event{Object: o, Deleted: true})
	return true
}

func (s *Store) note(kind string, e Event) {
	s.history = append(s.history, change{kind, s.revision, e})
	s.wake()
}

// list returns a page of a kind's objects after a name.
func (s *Store) list(kind, after string, size int) (page []Object, more bool) {
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

// since returns a kind's changes after a revision.
func (s *Store) since(kind string, revision uint64) (events []Event) {
	for _, c := range s.history {
		if c.kind == kind && c.revision > revision {
			events = append(events, c.event)
		}
	}
	return events
}
