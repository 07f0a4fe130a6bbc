package objectapi

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Errors returned by reads and conditional updates.
var (
	ErrNotFound = errors.New("platform: object does not exist")
	ErrConflict = errors.New("platform: version does not match")
)

// Object is one stored object as the API lists it. In the response to a watch,
// version zero means that the object was deleted.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is a set of objects that includes all changes up to Cursor.
type Listing struct {
	Cursor  uint64   `json:"cursor"`
	Objects []Object `json:"objects"`
}

// entry is an object with the cursor of its last change. The entry of a deleted
// object remains, so that watches report the deletion.
type entry struct {
	value      []byte
	lastChange uint64
	deleted    bool
}

// store keeps objects in memory. The versions of all objects come from one
// counter, so that an object that is deleted and created again never reuses a
// version.
type store struct {
	mu      sync.Mutex
	cursor  uint64
	entries map[string]entry
	changed chan struct{}
}

func newStore() *store {
	return &store{entries: make(map[string]entry), changed: make(chan struct{})}
}

func (s *store) get(key string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.deleted {
		return Object{}, ErrNotFound
	}
	return Object{Key: key, Version: e.lastChange, Value: e.value}, nil
}

// put writes the value if the object's current version is expected. Version zero
// means that the object does not exist.
func (s *store) put(key string, value []byte, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version(key) != expected {
		return 0, ErrConflict
	}
	s.apply(key, entry{value: value})
	return s.cursor, nil
}

func (s *store) remove(key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.version(key)
	if current == 0 {
		return ErrNotFound
	}
	if current != expected {
		return ErrConflict
	}
	s.apply(key, entry{deleted: true})
	return nil
}

func (s *store) version(key string) uint64 {
	e, ok := s.entries[key]
	if !ok || e.deleted {
		return 0
	}
	return e.lastChange
}

// apply stores the entry under the next version and wakes the watches. s.mu must
// be held.
func (s *store) apply(key string, e entry) {
	s.cursor++
	e.lastChange = s.cursor
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the existing objects whose keys begin with prefix.
func (s *store) list(prefix string) Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.changedSince(prefix, 0)
	l.Objects = slices.DeleteFunc(l.Objects, func(o Object) bool { return o.Version == 0 })
	return l
}

// watch returns the objects that changed after cursor. If there are none, it
// waits for a change until the context ends.
func (s *store) watch(ctx context.Context, prefix string, cursor uint64) Listing {
	for {
		s.mu.Lock()
		l := s.changedSince(prefix, cursor)
		changed := s.changed
		s.mu.Unlock()
		if len(l.Objects) > 0 {
			return l
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return l
		}
	}
}

// changedSince returns the objects, also deleted ones, that changed after
// cursor, sorted by key. s.mu must be held.
func (s *store) changedSince(prefix string, cursor uint64) Listing {
	l := Listing{Cursor: s.cursor, Objects: []Object{}}
	for key, e := range s.entries {
		if e.lastChange <= cursor || !strings.HasPrefix(key, prefix) {
			continue
		}
		o := Object{Key: key, Version: e.lastChange, Value: e.value}
		if e.deleted {
			o.Version = 0
		}
		l.Objects = append(l.Objects, o)
	}
	slices.SortFunc(l.Objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
	return l
}
