package datastore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// The older copy may show an earlier life of a target that started again under its id.
func TestOlderCopyDoesNotBringBackAnEarlierLifeOfATarget(t *testing.T) {
	earlier := &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 5}
	later := &catalog.Target{ID: "i-2", Service: "s", Started: 900, Sequence: 2}
	for name, leave := range map[string]func(*fakeStore[*catalog.Target]){
		"the later one drains": func(s *fakeStore[*catalog.Target]) {
			s.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 900, Sequence: 3, Draining: true})
		},
		"the later one has left": func(s *fakeStore[*catalog.Target]) { s.remove("i-2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFixture(t)
				f.targets.put("i-2", earlier)
				time.Sleep(time.Second)
				older := f.targets.copy()
				f.targets.put("i-2", later)
				time.Sleep(time.Second)
				leave(f.targets)
				time.Sleep(time.Second)
				is.True(!f.usable("i-2"))
				f.targets.restore(older)
				for range 20 {
					time.Sleep(200 * time.Millisecond)
					is.True(!f.usable("i-2"))
				}
			})
		})
	}
}

// (which is no event), and the older copy shows one of these writes.
func TestTargetWhoseRemovalToldNoLastStateDoesNotComeBackFromTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 5})
		time.Sleep(time.Second)
		f.targets.rewrite("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 6})
		older := f.targets.copy()
		f.targets.set(func() { f.targets.compacted = 1 << 30 })
		f.targets.remove("i-2")
		time.Sleep(4 * time.Second)
		f.targets.set(func() { f.targets.compacted = 0 })
		time.Sleep(2 * time.Second)
		is.True(!f.has("i-2"))
		f.targets.restore(older)
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			is.True(!f.usable("i-2"))
		}
	})
}

// One entry of another writer, with a count that is far too high, must cost only itself.
func TestOneEntryWithAWrongCountDoesNotHideTheTargetForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 5})
		time.Sleep(time.Second)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 1 << 40, Draining: true})
		time.Sleep(time.Second)
		for i := range uint64(60) {
			f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 6 + i})
			time.Sleep(time.Second)
		}
		is.True(f.usable("i-2"))
	})
}
