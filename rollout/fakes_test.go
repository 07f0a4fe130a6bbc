package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
)

// fakeStore holds orders, with conditional writes and watches.
type fakeStore struct {
	mu      sync.Mutex
	down    bool
	objects map[string]Object
	at      uint64
	changed chan struct{}
	writes  []Phase
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]Object), changed: make(chan struct{})}
}

func (s *fakeStore) put(o Object) Object {
	s.at++
	o.Revision = s.at
	if o.Status == nil {
		o.Order.Revision = s.at
	}
	s.objects[o.Service] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *fakeStore) Decode(string, []byte) (Object, error) { return Object{}, nil }

func (s *fakeStore) changes() (list []datastore.Change[Object]) {
	for name, o := range s.objects {
		list = append(list, datastore.Change[Object]{Name: name, Value: o})
	}
	return list
}

func (s *fakeStore) List(context.Context) ([]datastore.Change[Object], datastore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, datastore.Position{}, context.DeadlineExceeded
	}
	return s.changes(), datastore.Position{Revision: s.at + 1}, nil
}

func (s *fakeStore) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]datastore.Change[Object], datastore.Position, error) {
	for timeout := time.After(wait); ; {
		s.mu.Lock()
		down, at, changed, list := s.down, s.at, s.changed, s.changes()
		s.mu.Unlock()
		if down {
			return nil, datastore.Position{}, context.DeadlineExceeded
		}
		if at+1 > revision {
			return list, datastore.Position{Revision: at + 1}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, datastore.Position{Revision: at + 1}, nil
		case <-ctx.Done():
			return nil, datastore.Position{}, ctx.Err()
		}
	}
}

func (s *fakeStore) write(_ context.Context, name string, status Status, revision uint64) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	switch {
	case s.down:
		return Object{}, context.DeadlineExceeded
	case o.Revision != revision:
		return o, ErrChanged
	}
	s.writes = append(s.writes, status.Phase)
	o.Status = &status
	return s.put(o), nil
}

func (s *fakeStore) phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects["s"].Phase()
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
