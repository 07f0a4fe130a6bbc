package datastore

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "500") }

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	is := is.New(t)
	ordered := []Position{{}, {0, 9}, {1, 5}, {1, 90}, {2, 1}, {2, 5}}
	for i, p := range ordered {
		for j, q := range ordered {
			switch got := p.Compare(q); {
			case i < j:
				is.Equal(got, -1)
			case i == j:
				is.Equal(got, 0)
			default:
				is.Equal(got, 1)
			}
		}
	}
}

func TestDeltaLeadsOnlyFromStatesThatItsChangesCover(t *testing.T) {
	from, to := Position{1, 10}, Position{1, 20}
	for _, c := range []struct {
		name  string
		delta Delta
		at    Position
		want  bool
	}{
		{"its start", Delta{From: from, Position: to}, from, true},
		{"within", Delta{From: from, Position: to}, Position{1, 15}, true},
		{"its end", Delta{From: from, Position: to}, to, true},
		{"before its start", Delta{From: from, Position: to}, Position{1, 9}, false},
		{"after its end", Delta{From: from, Position: to}, Position{1, 21}, false},
		{"before its start, all objects", Delta{Complete: true, Position: to}, Position{1, 9}, true},
		{"after its end, all objects", Delta{Complete: true, Position: to}, Position{1, 21}, false},
		{"start of a comparison", Delta{From: from, Position: to, Compared: true}, from, true},
		{"within a comparison", Delta{From: from, Position: to, Compared: true}, Position{1, 15}, false},
		{"other revision of the era that was lost", Delta{From: from, Position: Position{2, 8}, Compared: true}, Position{1, 12}, false},
		{"lower revision of the new era", Delta{From: from, Position: Position{2, 8}, Compared: true}, Position{2, 5}, false},
		{"later era", Delta{From: from, Position: to}, Position{2, 12}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.delta.leadsFrom(c.at), c.want) })
	}
}

// A history that listed the store again must not serve states between its two lists: an
// object may have changed and changed back in between.
func TestStatesBetweenTwoListsAreNotServed(t *testing.T) {
	for name, second := range map[string]Position{"in the same era": {1, 30}, "in a new era": {2, 12}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &history{}
			object := []Object{{Name: "o", Content: []byte("v0")}}
			h.apply(Delta{Position: Position{1, 10}, Complete: true, Objects: object}, 1)
			h.apply(Delta{Position: second, Complete: true, Objects: object}, 2)
			_, _, ok := h.since(Position{1, 20}, 0) // o is v1 there
			is.True(!ok)
			d, _, ok := h.since(Position{1, 10}, 0)
			is.True(ok && d.Compared)
			later := Position{second.Era, second.Revision + 1}
			h.apply(Delta{From: second, Position: later, Objects: []Object{{Name: "o", Content: []byte("v2")}}}, 3)
			d, _, ok = h.since(second, 0)
			is.True(ok && !d.Compared)
			is.Equal(len(d.Objects), 1)
			_, _, ok = h.since(Position{1, 20}, 0)
			is.True(!ok)
		})
	}
}

// A node that took a comparison from another node cannot serve the states within either.
func TestComparisonTakenFromAnotherNodeIsNotServedFromWithin(t *testing.T) {
	is := is.New(t)
	object := []Object{{Name: "o", Content: []byte("v0")}}
	reader, second := &history{}, &history{}
	for _, h := range []*history{reader, second} {
		h.apply(Delta{Position: Position{1, 10}, Complete: true, Objects: object}, 1)
	}
	reader.apply(Delta{Position: Position{2, 12}, Complete: true, Objects: object}, 2)
	d, _, ok := reader.since(second.position, 0)
	is.True(ok)
	second.take(d)
	is.Equal(second.position, Position{2, 12})
	_, _, ok = second.since(Position{1, 11}, 0) // o is v1 there
	is.True(!ok)
	d, _, ok = second.since(Position{1, 10}, 0)
	is.True(ok && d.Compared)
}

func TestGapsAreForgottenWithTheChanges(t *testing.T) {
	is := is.New(t)
	h := &history{}
	for era := range uint64(5000) {
		content := []byte{byte(era)}
		h.apply(Delta{Position: Position{era, 10}, Complete: true, Objects: []Object{{Name: "o", Content: content}}}, 1)
	}
	is.True(len(h.gaps) <= maxHistoryGaps)
	is.True(len(h.changes) <= maxHistoryChanges)
	_, _, ok := h.since(Position{4, 10}, 0)
	is.True(!ok)
	d, _, ok := h.since(Position{4998, 10}, 0)
	is.True(ok && d.Compared)
}

func TestGraceOfAnOutageIsPassedOn(t *testing.T) {
	is := is.New(t)
	h := &history{}
	now := clock.Instant(time.Hour)
	h.extendGrace(now.Add(2 * time.Second))
	h.apply(Delta{Position: Position{1, 10}, Complete: true}, now)
	d, _, ok := h.since(Position{1, 10}, now.Add(500*time.Millisecond))
	is.True(ok)
	is.Equal(d.Grace, 1500*time.Millisecond)
	d, _, _ = h.since(Position{1, 10}, now.Add(time.Minute))
	is.Equal(d.Grace, time.Duration(0))
}

// modelStore is a store whose states are all remembered by position.
type modelStore struct {
	at     Position
	items  map[string]string
	states map[Position]map[string]string
	events map[Position]Object
}

func (s *modelStore) record(o *Object) {
	s.states[s.at] = maps.Clone(s.items)
	if o != nil {
		s.events[s.at] = *o
	}
}

func (s *modelStore) write(name, value string) {
	s.at.Revision++
	o := Object{Name: name, Content: []byte(value), Removed: value == ""}
	if o.Removed {
		delete(s.items, name)
	} else {
		s.items[name] = value
	}
	s.record(&o)
}

// restore makes the store come back from its state at an older position of its era.
func (s *modelStore) restore(revision uint64) {
	s.items = maps.Clone(s.states[Position{s.at.Era, revision}])
	old := s.at.Era
	s.at = Position{old + 1, revision}
	for p, state := range maps.Clone(s.states) {
		if p.Era == old && p.Revision <= revision {
			s.states[Position{old + 1, p.Revision}] = state
			if o, ok := s.events[p]; ok {
				s.events[Position{old + 1, p.Revision}] = o
			}
		}
	}
	s.record(nil)
}

// list returns all objects, and watch what changed since a position of the same era.
func (s *modelStore) list() Delta {
	d := Delta{Position: s.at, Complete: true}
	for name, value := range s.items {
		d.Objects = append(d.Objects, Object{Name: name, Content: []byte(value)})
	}
	return d
}

func (s *modelStore) watch(from Position) Delta {
	d := Delta{From: from, Position: s.at}
	for r := from.Revision + 1; r <= s.at.Revision; r++ {
		d.Objects = append(d.Objects, s.events[Position{s.at.Era, r}])
	}
	return d
}

// take applies a delta as a follower does.
func (h *history) take(d Delta) {
	if d.leadsFrom(h.position) && d.Position != h.position && (h.contents != nil || d.Complete) {
		h.apply(d, 1)
	}
}

// However the store comes back from copies, and whichever node reads for which other one,
// each node has the state of the store at the position that it claims.
func TestNodesHaveTheStateOfTheirPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{at: Position{1, 1}, items: map[string]string{}, states: map[Position]map[string]string{}, events: map[Position]Object{}}
		s.record(nil)
		nodes := []*history{{}, {}, {}, {}}
		// asked is a delta on its way to a node, which may move meanwhile.
		asked := make([]*Delta, len(nodes))
		node := rapid.IntRange(0, len(nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.write(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.SampledFrom([]string{"", "0", "1"}).Draw(t, "value"))
			},
			"restore": func(t *rapid.T) {
				s.restore(rapid.Uint64Range(max(s.at.Revision, 5)-4, s.at.Revision).Draw(t, "revision"))
			},
			"list": func(t *rapid.T) { nodes[node.Draw(t, "node")].take(s.list()) },
			"watch": func(t *rapid.T) {
				if n := nodes[node.Draw(t, "node")]; n.contents != nil && n.position.Era == s.at.Era {
					n.take(s.watch(n.position))
				}
			},
			"ask": func(t *rapid.T) {
				asker, reader := node.Draw(t, "asker"), nodes[node.Draw(t, "reader")]
				at := nodes[asker].position
				if at == (Position{}) {
					at.Revision = unlistedRevision
				}
				if d, _, ok := reader.since(at, 0); ok {
					asked[asker] = &d
				}
			},
			"answer": func(t *rapid.T) {
				if i := node.Draw(t, "node"); asked[i] != nil {
					nodes[i].take(*asked[i])
				}
			},
			"": func(t *rapid.T) {
				for i, n := range nodes {
					if n.contents == nil {
						continue
					}
					want := s.states[n.position]
					if len(n.contents) != len(want) {
						t.Fatalf("node %d at %v has %d objects, the store had %d", i, n.position, len(n.contents), len(want))
					}
					for name, value := range want {
						if string(n.contents[name]) != value {
							t.Fatalf("node %d at %v has %s=%s, the store had %s", i, n.position, name, n.contents[name], value)
						}
					}
				}
			},
		})
	})
}
