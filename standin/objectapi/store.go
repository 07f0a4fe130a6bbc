package objectapi

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
)

// MaxValueBytes is the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Errors of conditional updates.
var (
	ErrNotFound = errors.New("platform: object does not exist")
	ErrConflict = errors.New("platform: version does not match")
)

// Object is one stored value as the API lists it.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is a set of objects and the cursor up to which it is complete.
type Listing struct {
	Cursor  uint64   `json:"cursor"`
	Objects []Object `json:"objects"`
}

// entry is an object with the cursor of its last change. A deleted object
// keeps its entry, so that watches report the deletion.
type entry struct {
	value   []byte
	changed uint64
	deleted bool
}

// store keeps objects in memory. Versions are drawn from one counter, so that
// no version of an object ever comes again.
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
	return Object{Key: key, Version: e.changed, Value: e.value}, nil
}

// put writes the value if the object's version is expect; zero stands for an
// object that does not exist.
func (s *store) put(key string, value []byte, expect uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version(key) != expect {
		return 0, ErrConflict
	}
	s.change(key, entry{value: value})
	return s.cursor, nil
}

func (s *store) remove(key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.version(key)
	if have == 0 {
		return ErrNotFound
	}
	if have != expect {
		return ErrConflict
	}
	s.change(key, entry{deleted: true})
	return nil
}

func (s *store) version(key string) uint64 {
	e, ok := s.entries[key]
	if !ok || e.deleted {
		return 0
	}
	return e.changed
}

func (s *store) change(key string, e entry) {
	s.cursor++
	e.changed = s.cursor
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the objects that exist under prefix.
func (s *store) list(prefix string) Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.since(prefix, 0)
	l.Objects = slices.DeleteFunc(l.Objects, func(o Object) bool { return o.Version == 0 })
	return l
}

// watch returns the objects that changed after cursor, and waits for the
// first one until the context ends.
func (s *store) watch(ctx context.Context, prefix string, cursor uint64) Listing {
	for {
		s.mu.Lock()
		l := s.since(prefix, cursor)
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

func (s *store) since(prefix string, cursor uint64) Listing {
	l := Listing{Cursor: s.cursor, Objects: []Object{}}
	for key, e := range s.entries {
		if e.changed <= cursor || !strings.HasPrefix(key, prefix) {
			continue
		}
		o := Object{Key: key, Version: e.changed, Value: e.value}
		if e.deleted {
			o.Version = 0
		}
		l.Objects = append(l.Objects, o)
	}
	slices.SortFunc(l.Objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
	return l
}
