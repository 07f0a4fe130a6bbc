package datastore_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/logging"
)

const (
	revocation = 5 * time.Second
	// latency of a call to the fake store.
	latency = 20 * time.Millisecond
)

var errDown = errors.New("store is down")

// fakeStore is one kind of objects, with the failures of a store.
type fakeStore[T any] struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]T
	log      []entry[T]
	// compacted is the oldest revision whose changes are known.
	compacted uint64
	down      bool
	// silent calls get no answer at all.
	silent  bool
	changed chan struct{}
	// watches counts the calls that wait for changes.
	watches int
}

type entry[T any] struct {
	revision uint64
	change   datastore.Change[T]
}

func newFakeStore[T any]() *fakeStore[T] {
	return &fakeStore[T]{revision: 1, items: make(map[string]T), changed: make(chan struct{})}
}

func (s *fakeStore[T]) put(name string, value T) {
	s.change(datastore.Change[T]{Name: name, Value: value})
}
func (s *fakeStore[T]) remove(name string) { s.change(datastore.Change[T]{Name: name, Removed: true}) }

func (s *fakeStore[T]) change(c datastore.Change[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if c.Removed {
		delete(s.items, c.Name)
	} else if c.Err == nil {
		s.items[c.Name] = c.Value
	}
	s.log = append(s.log, entry[T]{s.revision, c})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore[T]) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore[T]) fails(ctx context.Context) error {
	time.Sleep(latency)
	return s.stillThere(ctx)
}

// stillThere fails the end of a wait like a new call.
func (s *fakeStore[T]) stillThere(ctx context.Context) error {
	s.mu.Lock()
	down, silent := s.down, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errDown
	}
	return nil
}

func (s *fakeStore[T]) List(ctx context.Context) ([]datastore.Change[T], uint64, error) {
	if err := s.fails(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []datastore.Change[T]
	for name, value := range s.items {
		items = append(items, datastore.Change[T]{Name: name, Value: value})
	}
	return items, s.revision, nil
}

func (s *fakeStore[T]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]datastore.Change[T], uint64, error) {
	s.set(func() { s.watches++ })
	if err := s.fails(ctx); err != nil {
		return nil, 0, err
	}
	over := time.After(wait)
	for {
		s.mu.Lock()
		changed, now, compacted, silent := s.changed, s.revision, s.compacted, s.silent
		var found []datastore.Change[T]
		for _, e := range s.log {
			if e.revision > after {
				found = append(found, e.change)
			}
		}
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case after < compacted:
			return nil, 0, datastore.ErrHistoryGone
		case len(found) > 0:
			return found, now, nil
		}
		select {
		case <-changed:
		case <-over:
			if err := s.stillThere(ctx); err != nil {
				return nil, 0, err
			}
			return nil, now, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// world is a manager over fake stores in virtual time.
type world struct {
	configs *fakeStore[*catalog.Config]
	targets *fakeStore[*catalog.Target]
	nodes   *fakeStore[datastore.Node]
	manager *datastore.Manager
	passed  datastore.Passed

	mu   sync.Mutex
	seen map[string]bool
}

func virtualNow() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

func startWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		configs: newFakeStore[*catalog.Config](),
		targets: newFakeStore[*catalog.Target](),
		nodes:   newFakeStore[datastore.Node](),
	}
	w.configs.put("main", &catalog.Config{Version: 3})
	w.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s"})
	w.manager = datastore.NewManager(datastore.Options{
		Sources: datastore.Sources{Configurations: w.configs, Targets: w.targets, Nodes: w.nodes},
		Relay: datastore.Relay{
			Fetch: func(context.Context, string) (datastore.Passed, error) { return w.passed, nil },
			DecodeConfig: func(raw []byte) (*catalog.Config, error) {
				return &catalog.Config{Version: uint64(raw[0]), Raw: raw}, nil
			},
			DecodeTarget: func(id string, _ []byte) (*catalog.Target, error) {
				return &catalog.Target{ID: id, Service: "s"}, nil
			},
		},
		Revocation: revocation,
		Logger:     logging.Discard(),
		Now:        virtualNow,
		OnTargets: func(list []*catalog.Target, _ map[string]*catalog.Service) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.seen = make(map[string]bool)
			for _, t := range list {
				w.seen[t.ID] = !t.Draining
			}
		},
		OnNodes: func(map[string]datastore.Node) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.manager.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func (w *world) has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.seen[id]
	return ok
}

func (w *world) version() uint64 {
	if table := w.manager.Table(); table != nil {
		return table.Config.Version
	}
	return 0
}
