package datastore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// again as draining and leaves must not be usable again.
func TestRetainedTargetThatDrainsAndLeavesIsNotUsableAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		older := f.targets.copy()
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 1})
		time.Sleep(time.Second)
		f.targets.restore(older)
		time.Sleep(400 * time.Millisecond)
		is.True(f.usable("i-2"))
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 2, Draining: true})
		time.Sleep(500 * time.Millisecond)
		is.True(f.has("i-2") && !f.usable("i-2"))
		f.targets.remove("i-2")
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.True(!f.usable("i-2"))
		}
	})
}
