package datastore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

// contactTime is the time after which a node whose connections fell silent, while new ones
// work, must know again what the store shows.
const contactTime = 4 * time.Second

// silentSource is a source whose watches under way can lose their answers.
type silentSource[T any] struct {
	datastore.Source[T]
	mu      sync.Mutex
	running map[*bool]bool
}

func newSilentSource[T any](s datastore.Source[T]) *silentSource[T] {
	return &silentSource[T]{Source: s, running: make(map[*bool]bool)}
}

// silence takes the answers of all watches that are under way.
func (s *silentSource[T]) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for silent := range s.running {
		*silent = true
	}
}

// Watch implements datastore.Source.
func (s *silentSource[T]) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]datastore.Change[T], datastore.Position, error) {
	silent := new(bool)
	s.mu.Lock()
	s.running[silent] = true
	s.mu.Unlock()
	changes, at, err := s.Source.Watch(ctx, revision, wait)
	s.mu.Lock()
	delete(s.running, silent)
	lost := *silent
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, datastore.Position{}, ctx.Err()
	}
	return changes, at, err
}

// takes reports whether a target takes new requests as far as the node knows.
func (f *fixture) takes(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[id]
}

// A watch whose connection has fallen silent is given up in time, whenever that happens.
func TestTargetThatDrainsIsKnownInTimeAfterConnectionsFellSilent(t *testing.T) {
	for _, running := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(running), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fixture{configs: newFakeStore[*catalog.Config](), targets: newFakeStore[*catalog.Target](), nodes: newFakeStore[datastore.Node]()}
				f.configs.put("main", &catalog.Config{Version: 3})
				f.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s"})
				f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s"})
				targets, configs := newSilentSource(f.targets), newSilentSource(f.configs)
				f.start(t, func(o *datastore.Options) {
					o.Sources.Targets, o.Sources.Configurations = targets, configs
				})
				time.Sleep(10*time.Second + running)
				is.True(f.takes("i-2"))
				targets.silence()
				configs.silence()
				time.Sleep(time.Second)
				f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Draining: true})
				time.Sleep(contactTime - time.Second)
				is.True(!f.takes("i-2"))
			})
		})
	}
}
