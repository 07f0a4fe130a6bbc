package resume

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
)

// holders maps addresses to what a node there answers; nil never answers.
type holders map[string]func(ID) Answer

func knows(id ID, o Origin) func(ID) Answer {
	return func(asked ID) Answer {
		if asked != id {
			return Answer{}
		}
		return Answer{Known: true, Origin: o}
	}
}

// knowsPossible answers with the origins that the route may have.
func knowsPossible(settled bool, origins ...Origin) func(ID) Answer {
	return func(ID) Answer { return Answer{Possible: origins, Settled: settled} }
}

func (h holders) finder(r *Registry, asked *atomic.Int64) *Finder {
	return &Finder{
		Registry: r,
		Store:    &fakeStore{registry: r},
		Holders: func() (addresses []string) {
			for address := range h {
				addresses = append(addresses, address)
			}
			return addresses
		},
		Ask: func(ctx context.Context, address string, id ID, _ string) (Answer, bool) {
			asked.Add(1)
			if answer := h[address]; answer != nil {
				return answer(id), true
			}
			<-ctx.Done()
			return Answer{}, false
		},
	}
}

// fakeStore is what the nodes keep in the store.
type fakeStore struct {
	registry *Registry
	down     bool
	possible Possible
	records  []Record
}

func (s *fakeStore) ReadPossible(context.Context) error {
	if s.down {
		return errors.New("down")
	}
	s.registry.SetListed(s.possible)
	return nil
}

func (s *fakeStore) ReadRecords(context.Context) error {
	if s.down {
		return errors.New("down")
	}
	s.registry.Adopt(s.records)
	return nil
}

func TestOriginIsFoundWhereverItIsKnown(t *testing.T) {
	id, other := Identify("first"), ID(1)
	nobody := knows(0, Origin{})
	for _, c := range []struct {
		name     string
		origins  []Origin
		recorded bool
		holders  holders
		source   Source
		origin   Origin
		within   time.Duration
	}{
		{"here", []Origin{v1, v2}, true, holders{"a": nil}, Recorded, v1, 0},
		{"at another node", []Origin{v1, v2}, false, holders{"a": nobody, "b": knows(id, v2), "c": nobody}, Asked, v2, 0},
		{"at another node beside silent ones", []Origin{v1, v2}, false, holders{"a": nil, "b": knows(id, v2), "c": nil}, Asked, v2, 0},
		{"nowhere, one possibility", []Origin{v1}, false, holders{"a": nobody}, Only, v1, 0},
		{"nowhere, one possibility, silent nodes", []Origin{v1}, false, holders{"a": nil}, Only, v1, askTimeout},
		{"nowhere, two possibilities", []Origin{v1, v2}, false, holders{"a": nobody, "b": knows(other, v1)}, Unknown, Origin{}, 0},
		{"nowhere, two possibilities, silent nodes", []Origin{v1, v2}, false, holders{"a": nil, "b": nil}, Unknown, Origin{}, askTimeout},
		{"nowhere, no other nodes", []Origin{v1, v2}, false, nil, Unknown, Origin{}, 0},
		{"nowhere, no targets", nil, false, nil, Unknown, Origin{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := NewRegistry(func() {})
				r.Update(chat("llm"), serving(c.origins...))
				if c.recorded {
					r.Record(id, v1)
				}
				began := time.Now()
				origin, source := c.holders.finder(r, new(atomic.Int64)).Find(t.Context(), "chat", "first")
				is.Equal(source, c.source)
				is.Equal(origin, c.origin)
				is.True(time.Since(began) <= c.within)
				time.Sleep(askTimeout) // Silent nodes are asked until then.
			})
		})
	}
}

// A node that sees one version may have just started, after the other one has left, or may
// have an old list of targets. What the store lists and records decides.
func TestNodeThatSeesOneVersionAsksTheStore(t *testing.T) {
	id := Identify("first")
	both, one := Possible{Versions: map[string][]string{"llm": {"v1", "v2"}}}, Possible{Versions: map[string][]string{"llm": {"v2"}}}
	for _, c := range []struct {
		name    string
		uptime  time.Duration
		store   fakeStore
		holders holders
		source  Source
		origin  Origin
	}{
		{"started, both versions listed", 0, fakeStore{possible: both}, nil, Unknown, Origin{}},
		{"started, both versions listed, recorded", 0, fakeStore{possible: both, records: []Record{{id, v1}}}, nil, Stored, v1},
		{"started, one version listed", 0, fakeStore{possible: one}, nil, Only, v2},
		{"started, one version listed, but recorded", 0, fakeStore{possible: one, records: []Record{{id, v1}}}, nil, Stored, v1},
		{"started, nothing was ever listed", 0, fakeStore{}, nil, Only, v2},
		{"started, store down", 0, fakeStore{down: true}, nil, Unknown, Origin{}},
		{"started, store down, a settled node knows of one", 0, fakeStore{down: true}, holders{"a": knowsPossible(true, v2)}, Only, v2},
		{"started, store down, another node has started, too", 0, fakeStore{down: true}, holders{"a": knowsPossible(false, v2)}, Unknown, Origin{}},
		{"long there, both versions listed", minRetention, fakeStore{possible: both}, nil, Unknown, Origin{}},
		{"long there, one version listed", minRetention, fakeStore{possible: one}, nil, Only, v2},
		{"long there, store down, alone", minRetention, fakeStore{down: true}, nil, Only, v2},
		{"long there, store down, nobody answers", minRetention, fakeStore{down: true}, holders{"a": nil}, Unknown, Origin{}},
		{"long there, store down, another node knows of both", minRetention, fakeStore{down: true}, holders{"a": knowsPossible(true, v2), "b": knowsPossible(true, v1, v2)}, Unknown, Origin{}},
		{"long there, store down, a settled node knows of one", minRetention, fakeStore{down: true}, holders{"a": knowsPossible(true, v2), "b": nil}, Only, v2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := NewRegistry(func() {})
				r.update(chat("llm"), serving(v2), clock.Now().Add(-c.uptime))
				f := c.holders.finder(r, new(atomic.Int64))
				c.store.registry = r
				f.Store = &c.store
				origin, source := f.Find(t.Context(), "chat", "first")
				is.Equal(source, c.source)
				is.Equal(origin, c.origin)
				time.Sleep(askTimeout)
			})
		})
	}
}

func TestCallerThatNamesNoAttemptIsServedWhileOneVersionIsPossible(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	var asked atomic.Int64
	f := holders{"a": knows(Identify(""), v2)}.finder(r, &asked)
	r.Update(chat("llm"), serving(v1))
	origin, source := f.Find(t.Context(), "chat", "")
	is.Equal(source, Only)
	is.Equal(origin, v1)
	r.Update(chat("llm"), serving(v1, v2))
	_, source = f.Find(t.Context(), "chat", "")
	is.Equal(source, Unknown)
	is.Equal(asked.Load(), int64(0))
}

// A node that has been there for long knows whether a stream may have begun elsewhere, and
// asks nobody. One that has just started does not know which versions have left.
func TestNodeThatKnowsTheOnlyOriginAsksNobody(t *testing.T) {
	for _, uptime := range []time.Duration{time.Second, minRetention} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(func() {})
			r.update(chat("llm"), serving(v1), clock.Now().Add(-uptime))
			var asked atomic.Int64
			f := holders{"a": knows(0, Origin{}), "b": nil}.finder(r, &asked)
			began := time.Now()
			_, source := f.Find(t.Context(), "chat", "first")
			is.Equal(source, Only)
			settled := uptime >= minRetention
			is.Equal(asked.Load() == 0, settled)
			is.Equal(time.Since(began) == 0, settled)
			time.Sleep(askTimeout)
		})
	}
}
