package datastore_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
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
	// latency is the duration of a call to the fake store.
	latency = 20 * time.Millisecond
)

var errDown = errors.New("store is down")

// fakeStore is a source of one kind of objects with simulated failures.
type fakeStore[T any] struct {
	mu sync.Mutex
	fakeState[T]
	// era rises with each call of restore.
	era uint64
	// values are all values ever put; the raw form of one is its index.
	values []T
	// compacted is the oldest revision from which changes can be watched.
	compacted uint64
	down      bool
	// silent makes calls get no answer at all.
	silent  bool
	changed chan struct{}
	// cut is the error of a watch that waits when the store is restored.
	cut error
	// watches counts the calls of Watch, lists those of List.
	watches, lists int
}

// fakeState is what is lost when a fakeStore is restored.
type fakeState[T any] struct {
	revision uint64
	items    map[string]datastore.Change[T]
	log      []entry[T]
}

type entry[T any] struct {
	revision uint64
	change   datastore.Change[T]
}

func newFakeStore[T any]() *fakeStore[T] {
	return &fakeStore[T]{
		fakeState: fakeState[T]{revision: 1, items: make(map[string]datastore.Change[T])}, changed: make(chan struct{}), era: 1, cut: errDown,
	}
}

func (s *fakeStore[T]) put(name string, value T) {
	s.change(datastore.Change[T]{Name: name, Value: value})
}
func (s *fakeStore[T]) remove(name string) { s.change(datastore.Change[T]{Name: name, Removed: true}) }

func (s *fakeStore[T]) change(c datastore.Change[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	switch {
	case c.Removed:
		last := s.items[c.Name]
		c.Value, c.Raw = last.Value, last.Raw
		delete(s.items, c.Name)
	case c.Err == nil:
		c.Raw = []byte(strconv.Itoa(len(s.values)))
		s.values = append(s.values, c.Value)
		s.items[c.Name] = c
	}
	s.log = append(s.log, entry[T]{s.revision, c})
	s.wakeWatches()
}

func (s *fakeStore[T]) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns the current state, for restore.
func (s *fakeStore[T]) copy() fakeState[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fakeState[T]{s.revision, maps.Clone(s.items), slices.Clone(s.log)}
}

// restore makes the store come back from a copy.
func (s *fakeStore[T]) restore(c fakeState[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fakeState = fakeState[T]{c.revision, maps.Clone(c.items), slices.Clone(c.log)}
	s.era++
	s.wakeWatches()
}

func (s *fakeStore[T]) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Decode implements datastore.Source. The raw form of an item is its index in values.
func (s *fakeStore[T]) Decode(_ string, raw []byte) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero T
	index, err := strconv.Atoi(string(raw))
	if err != nil {
		return zero, err
	}
	return s.values[index], nil
}

// call simulates the latency and the failure of a call.
func (s *fakeStore[T]) call(ctx context.Context) error {
	time.Sleep(latency)
	return s.checkFailure(ctx)
}

// checkFailure returns the simulated failure, if any. It applies both to a new call
// and to the end of a wait.
func (s *fakeStore[T]) checkFailure(ctx context.Context) error {
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

func (s *fakeStore[T]) List(ctx context.Context) ([]datastore.Change[T], datastore.Position, error) {
	s.set(func() { s.lists++ })
	if err := s.call(ctx); err != nil {
		return nil, datastore.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.items)), datastore.Position{Era: s.era, Revision: s.revision}, nil
}

func (s *fakeStore[T]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]datastore.Change[T], datastore.Position, error) {
	era := uint64(0)
	s.set(func() { s.watches++ })
	if err := s.call(ctx); err != nil {
		return nil, datastore.Position{}, err
	}
	s.set(func() { era = s.era })
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		changed, now, silent := s.changed, datastore.Position{Era: s.era, Revision: s.revision}, s.silent
		gone := after < s.compacted || after > s.revision
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
			return nil, datastore.Position{}, ctx.Err()
		case now.Era != era:
			return nil, datastore.Position{}, s.cut
		case gone:
			return nil, datastore.Position{}, datastore.ErrHistoryGone
		case len(found) > 0:
			return found, now, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if err := s.checkFailure(ctx); err != nil {
				return nil, datastore.Position{}, err
			}
			return nil, now, nil
		case <-ctx.Done():
			return nil, datastore.Position{}, ctx.Err()
		}
	}
}

// fixture is a manager over fake stores in virtual time.
type fixture struct {
	configs  *fakeStore[*catalog.Config]
	targets  *fakeStore[*catalog.Target]
	nodes    *fakeStore[datastore.Node]
	manager  *datastore.Manager
	snapshot datastore.Snapshot

	mu   sync.Mutex
	seen map[string]bool
}

func virtualNow() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

func startFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		configs: newFakeStore[*catalog.Config](),
		targets: newFakeStore[*catalog.Target](),
		nodes:   newFakeStore[datastore.Node](),
	}
	f.configs.put("main", &catalog.Config{Version: 3})
	f.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s"})
	f.start(t, nil)
	return f
}

// startPeer starts another node that reads the same stores; edit may change its
// options.
func (f *fixture) startPeer(t *testing.T, edit func(*datastore.Options)) *fixture {
	t.Helper()
	peer := &fixture{configs: f.configs, targets: f.targets, nodes: f.nodes}
	peer.start(t, edit)
	return peer
}

func (f *fixture) start(t *testing.T, edit func(*datastore.Options)) {
	t.Helper()
	options := datastore.Options{
		Sources: datastore.Sources{Configurations: f.configs, Targets: f.targets, Nodes: f.nodes},
		SnapshotReader: datastore.SnapshotReader{
			Fetch: func(context.Context, string, bool) (datastore.Snapshot, error) { return f.snapshot, nil },
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
			f.mu.Lock()
			defer f.mu.Unlock()
			f.seen = make(map[string]bool)
			for _, t := range list {
				f.seen[t.ID] = !t.Draining
			}
		},
		OnNodes: func(map[string]datastore.Node) {},
	}
	if edit != nil {
		edit(&options)
	}
	f.manager = datastore.NewManager(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.manager.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (f *fixture) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.seen[id]
	return ok
}

func (f *fixture) version() uint64 {
	if table := f.manager.Table(); table != nil {
		return table.Config.Version
	}
	return 0
}
