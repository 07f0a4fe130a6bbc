package resume

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/schema"
)

// fakeObjects is a store whose writes can fail.
type fakeObjects struct {
	revision         uint64
	possible         Possible
	possibleRevision uint64
	segments         map[string][]Record
	revisions        map[string]uint64
	down             bool
	// late holds the writes of segments that get no answer, to be applied later.
	loseAnswers bool
	late        []func()
	// silent makes removals wait until their context ends.
	silent bool
	writes int
}

var errDown = fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, "down", "wait")

func newFakeObjects() *fakeObjects {
	return &fakeObjects{segments: make(map[string][]Record), revisions: make(map[string]uint64)}
}

func (o *fakeObjects) ReadPossible(context.Context) (Possible, uint64, error) {
	if o.down {
		return Possible{}, 0, errDown
	}
	return o.possible, o.possibleRevision, nil
}

func (o *fakeObjects) WritePossible(_ context.Context, p Possible, revision uint64) (uint64, error) {
	if o.down {
		return 0, errDown
	}
	o.writes++
	if revision != o.possibleRevision {
		return 0, ErrChanged
	}
	o.revision++
	o.possible, o.possibleRevision = p, o.revision
	return o.revision, nil
}

func (o *fakeObjects) WriteSegment(_ context.Context, name string, records []Record, revision uint64) (uint64, error) {
	if o.down {
		return 0, errDown
	}
	o.writes++
	apply := func() error {
		if revision != o.revisions[name] {
			return ErrChanged
		}
		o.revision++
		o.segments[name], o.revisions[name] = slices.Clone(records), o.revision
		return nil
	}
	if o.loseAnswers {
		o.late = append(o.late, func() { _ = apply() })
		return 0, fault.New(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, "lost", "read")
	}
	err := apply()
	return o.revision, err
}

func (o *fakeObjects) RemoveSegment(ctx context.Context, name string) error {
	if o.silent {
		<-ctx.Done()
		return errDown
	}
	delete(o.segments, name)
	delete(o.revisions, name)
	return nil
}

func (o *fakeObjects) Segments(context.Context) ([]Segment, error) {
	if o.down {
		return nil, errDown
	}
	var all []Segment
	for name, records := range o.segments {
		all = append(all, Segment{name, records})
	}
	slices.SortFunc(all, func(a, b Segment) int { return cmpText(a.Name, b.Name) })
	return all, nil
}

func cmpText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// testArchive is an archive of a node that writes its own records.
type testArchive struct {
	*Archive
	era      uint64
	dead     map[string]bool
	cleans   bool
	admitted int
	// at is the time of the latest step.
	at clock.Instant
}

func newTestArchive(o *fakeObjects, node string) *testArchive {
	a := &testArchive{era: 1, dead: make(map[string]bool), at: second(0)}
	a.Archive = (&Archive{
		Registry: NewRegistry(func() {}), Objects: o, Node: node, Logger: logging.Discard(),
		Nodes:  func() int { return 1 },
		Alive:  func(name string) bool { return !a.dead[name] },
		Writes: func() (bool, bool) { return true, false },
		Cleans: func() bool { return a.cleans }, Era: func() uint64 { return a.era },
		OnAdmitted: func() { a.admitted++ },
	}).Open()
	a.Registry.now = func() clock.Instant { return a.at }
	return a
}

// step does what is due at a time.
func (a *testArchive) step(ctx context.Context, now clock.Instant) {
	a.at = now
	a.Archive.step(ctx, now)
}

// run takes a step every 50 ms of a period.
func (a *testArchive) run(from, to float64) {
	for s := from; s <= to; s += 0.05 {
		a.step(context.Background(), second(s))
	}
}

func records(o *fakeObjects) map[ID]Origin {
	all := make(map[ID]Origin)
	segments, _ := o.Segments(context.Background())
	for _, s := range segments {
		for _, r := range s.Records {
			all[r.ID] = r.Origin
		}
	}
	return all
}

func TestStoreListsTheVersionsThatServe(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, Origin{"other", "v7"}), second(0))
	a.run(0, 2)
	is.Equal(o.possible.Versions, map[string][]string{"llm": {"v1"}}) // No stream leads to the other service.
	is.Equal(o.writes, 1)
	a.Registry.update(chat("llm"), serving(v1, v2), second(3))
	a.run(3, 3+listDelay.Seconds()-0.1)
	is.Equal(o.possible.Versions, map[string][]string{"llm": {"v1"}}) // Other nodes may not have seen it yet.
	a.run(3+listDelay.Seconds(), 6)
	is.Equal(o.possible.Versions, map[string][]string{"llm": {"v1", "v2"}})
	is.Equal(o.writes, 2)
	is.Equal(a.admitted, 1)
	a.Registry.update(chat("llm"), serving(v2), second(10))
	a.Registry.update(chat("llm"), serving(v2), second(10+minRetention.Seconds()-1))
	a.run(39, 40)
	is.Equal(o.possible.Versions, map[string][]string{"llm": {"v1", "v2"}})
	a.Registry.update(chat("llm"), serving(v2), second(10+minRetention.Seconds()+1))
	a.run(41, 43)
	is.Equal(o.possible.Versions, map[string][]string{"llm": {"v2"}})
}

func TestStoreListsTheServicesOfARouteThatMoved(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	other := Origin{"other", "v1"}
	a.Registry.update(chat("llm"), serving(v1, other), second(0))
	a.run(0, 2)
	is.Equal(len(o.possible.Routes), 0)
	a.Registry.update(chat("other"), serving(v1, other), second(3))
	a.run(3, 6)
	is.Equal(o.possible.Routes, map[string][]string{"chat": {"llm", "other"}})
	a.Registry.update(chat("other"), serving(v1, other), second(3+minRetention.Seconds()+1))
	a.run(35, 38)
	is.Equal(len(o.possible.Routes), 0)
}

// A version that another node has listed and that this node does not see is not dropped
// before the retention is over, however long this node has been there.
func TestNodeDoesNotDropWhatAnotherOneHasListed(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a, b := newTestArchive(o, "a"), newTestArchive(o, "b")
	a.Registry.update(chat("llm"), serving(v1), second(0))
	a.run(0, 50)
	b.Registry.update(chat("llm"), serving(v1, v2), second(50))
	b.run(50, 52)
	is.Equal(o.possible.Versions["llm"], []string{"v1", "v2"})
	a.Registry.update(chat("llm"), serving(v1, Origin{"llm", "v3"}), second(52))
	a.run(52, 54) // Its first write meets the other one's.
	a.run(54, 56)
	is.Equal(o.possible.Versions["llm"], []string{"v1", "v2", "v3"})
}

// Streams begin at a new version only once the store lists it, unless the service would
// lose most of its targets.
func TestNewVersionIsAdmittedOnceItIsListed(t *testing.T) {
	v3 := Origin{"llm", "v3"}
	for _, c := range []struct {
		name     string
		listed   []string
		serving  []Origin
		admitted int
	}{
		{"listed", []string{"v1", "v2"}, []Origin{v1, v1, v2}, 3},
		{"not listed", []string{"v1"}, []Origin{v1, v1, v2}, 2},
		{"half not listed", []string{"v1"}, []Origin{v1, v2}, 1},
		{"most not listed", []string{"v1"}, []Origin{v1, v2, v3}, 3},
		{"nothing listed", nil, []Origin{v1, v2}, 2},
		{"other ones listed", []string{"v3"}, []Origin{v1, v2}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(func() {})
			targets := serving(c.serving...)
			r.update(chat("llm"), targets, second(0))
			is.Equal(len(r.Admit(targets)), len(targets)) // The store was not read yet.
			r.setListed(Possible{Versions: map[string][]string{"llm": c.listed}}, second(0))
			is.Equal(len(r.Admit(targets)), c.admitted)
		})
	}
}

// The store may come back from a copy that lists another version: as many are withheld then,
// but other ones.
func TestOtherTargetsAreAdmittedWhenAnotherVersionIsListed(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1, v2), second(0))
	r.setListed(Possible{Versions: map[string][]string{"llm": {"v1"}}}, second(0))
	admitsOthers, _ := r.setListed(Possible{Versions: map[string][]string{"llm": {"v2"}}}, second(1))
	is.True(admitsOthers)
}

func TestRecordsAreWrittenWhileTheyAreAmbiguous(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1), second(0))
	a.run(0, 1)
	a.Registry.record(began(1, v1, second(1)))
	a.run(1, 2)
	is.Equal(len(o.segments), 0)
	a.Registry.update(chat("llm"), serving(v1, v2), second(3))
	a.step(t.Context(), second(3))
	is.Equal(records(o), map[ID]Origin{1: v1})
	a.Registry.record(began(2, v1, second(3.1)))
	a.Registry.record(began(2, v2, second(3.2))) // It was sent to another target.
	a.run(3.2, 4)
	is.Equal(records(o), map[ID]Origin{1: v1, 2: v2})
	is.Equal(len(o.segments), 1)
}

// A write without an answer may take effect later. It must not undo a later write.
func TestLateWriteDoesNotUndoALaterOne(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	a.run(0, 1)
	a.Registry.record(began(1, v1, second(1)))
	a.run(1, 2)
	o.loseAnswers = true
	a.Registry.record(began(2, v1, second(2)))
	a.run(2, 2.1)
	o.loseAnswers = false
	a.Registry.record(began(2, v2, second(2.2)))
	a.Registry.record(began(3, v2, second(2.2)))
	a.run(2.2, 4)
	for _, apply := range o.late {
		apply()
	}
	is.Equal(records(o), map[ID]Origin{1: v1, 2: v2, 3: v2})
}

func TestRecordsAreWrittenAgainAfterTheStoreCameBackFromACopy(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	a.run(0, 1)
	a.Registry.record(began(1, v1, second(1)))
	a.run(1, 2)
	clear(o.segments)
	clear(o.revisions)
	o.possible, o.possibleRevision = Possible{}, 0
	a.era = 2
	a.run(2, 4)
	is.Equal(records(o), map[ID]Origin{1: v1})
	is.Equal(o.possible.Versions["llm"], []string{"v1", "v2"})
}

// A read that began before a write may end after it.
func TestOlderAnswerDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1), second(0))
	a.run(0, 1)
	older, revision := o.possible, o.possibleRevision
	a.Registry.update(chat("llm"), serving(v1, v2), second(2))
	a.run(2, 4)
	a.apply(older, revision)
	is.Equal(a.Registry.Listed().Versions["llm"], []string{"v1", "v2"})
	is.True(a.Registry.Unlisted().isEmpty())
}

func TestRecordsAreWrittenOnceTheStoreIsBack(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	a.run(0, 1)
	o.down = true
	a.Registry.record(began(1, v1, second(1)))
	a.run(1, 5)
	is.Equal(len(o.segments), 0)
	o.down = false
	a.run(5, 6)
	is.Equal(records(o), map[ID]Origin{1: v1})
}

// The first event of a stream waits for its record, but not while the store is down, nor for
// one that need not be written.
func TestStreamSettlesOnceItsRecordIsWritten(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	a.Registry.SetWritten(0, true)
	a.Registry.record(began(1, v1, second(1)))
	settled := func(id ID, within time.Duration) bool {
		start := time.Now()
		a.Registry.Settle(t.Context(), id)
		return time.Since(start) < within
	}
	is.True(!settled(1, maxSettle)) // The store does not have it.
	is.True(settled(2, maxSettle))
	a.run(1, 1.1)
	is.True(settled(1, maxSettle))
	o.down = true
	a.Registry.record(began(3, v1, second(2)))
	a.run(2, 2.1)
	is.True(settled(3, maxSettle))
}

func TestSegmentsAreDividedAndRemoved(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	a := newTestArchive(o, "n")
	a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	for s := range 100 {
		a.Registry.record(began(ID(s), v1, second(float64(s))))
		a.run(float64(s), float64(s)+0.95)
	}
	// Segments of the last retention, and the open one.
	is.True(len(o.segments) >= int(minRetention/segmentTime))
	is.True(len(o.segments) <= int(minRetention/segmentTime)+2)
	held := records(o)
	for s := 100 - int(minRetention.Seconds()); s < 100; s++ {
		is.Equal(held[ID(s)], v1)
	}
}

// A removal that gets no answer does not keep records from being written.
func TestRemovalWithoutAnAnswerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newFakeObjects()
		a := newTestArchive(o, "n")
		a.Registry.update(chat("llm"), serving(v1, v2), second(0))
		a.Registry.record(began(1, v1, second(1)))
		a.run(1, 2)
		a.Registry.record(began(2, v1, second(20)))
		a.run(20, 21) // The first segment is closed.
		o.silent = true
		start := time.Now()
		a.step(t.Context(), second(21+minRetention.Seconds()))
		is.True(time.Since(start) <= 2*writeTimeout)
		o.silent = false
		a.Registry.record(began(3, v2, second(60)))
		a.run(60, 61)
		is.Equal(records(o)[3], v2)
	})
}

func TestSegmentsOfNodesThatEndedAreRemovedAfterTheRetention(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	ended, other := newTestArchive(o, "ended"), newTestArchive(o, "other")
	for _, a := range []*testArchive{ended, other} {
		a.Registry.update(chat("llm"), serving(v1, v2), second(0))
	}
	ended.Registry.record(began(1, v1, second(1)))
	ended.run(0, 2)
	other.cleans = true
	other.run(0, 100)
	is.Equal(records(o), map[ID]Origin{1: v1})
	other.dead["ended"] = true
	other.run(100, 100+minRetention.Seconds())
	is.Equal(records(o), map[ID]Origin{1: v1})
	other.run(100+minRetention.Seconds(), 100+3*minRetention.Seconds())
	is.Equal(len(records(o)), 0)
}

func TestNodeThatStartsAdoptsTheRecords(t *testing.T) {
	is := is.New(t)
	o := newFakeObjects()
	o.segments["a.1.00000000"] = []Record{{1, v1}, {2, v1}}
	o.segments["a.1.00000001"] = []Record{{2, v2}}
	a := newTestArchive(o, "b")
	a.Registry.Record(1, v2) // What this node knows itself stays.
	is.NoErr(a.ReadRecords(t.Context()))
	for id, want := range map[ID]Origin{1: v2, 2: v2} {
		got, _ := a.Registry.Lookup(id)
		is.Equal(got, want)
	}
	o.down = true
	is.True(errors.Is(a.ReadRecords(t.Context()), errDown))
}

// Whatever is lost of what a node keeps in memory, a stream that a caller has an event of is
// in the store.
func TestRecordsSurviveKillsAtAnyMoment(t *testing.T) {
	o := newFakeObjects()
	for life := range 20 {
		is := is.New(t)
		a := newTestArchive(o, fmt.Sprintf("n.%02d", life))
		start := float64(100 * life)
		a.Registry.update(chat("llm"), serving(v1, v2), second(start))
		is.NoErr(a.ReadPossible(t.Context()))
		a.Registry.SetWritten(0, true)
		at := second(start)
		for i := range 1 + life {
			id := ID(1000*life + i)
			at = at.Add(7 * time.Millisecond)
			a.Registry.record(began(id, []Origin{v1, v2}[i%2], at))
			a.step(t.Context(), at)
			a.Registry.mu.Lock()
			_, waits := a.Registry.unwritten.versions[id]
			a.Registry.mu.Unlock()
			_, stored := records(o)[id]
			is.True(waits || stored) // An event would be passed on before its record is written.
		}
	}
}
