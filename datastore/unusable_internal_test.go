package datastore

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/logging"
)

// Whatever is listed and changes in whatever order, the items in use, and those of a
// node that takes them from this one, are the sound ones.
func TestOnlySoundItemsAreUsedAndPassedOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := NewFollower[int](nil, "items", logging.Discard(), func() clock.Instant { return 1 })
		reader.Apply = func(Update[int]) {}
		var passedOn history
		sound := make(map[string]int)
		revision := uint64(unlistedRevision)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			complete := step == 0 || rapid.IntRange(0, 4).Draw(t, "list") == 0
			if complete {
				clear(sound)
			}
			changes := rapid.SliceOfN(rapid.Custom(drawChange), 0, 6).Draw(t, "changes")
			for _, c := range changes {
				if c.Removed || c.Err != nil {
					delete(sound, c.Name)
				} else {
					sound[c.Name] = c.Value
				}
			}
			revision++
			changes = reader.screen(changes, complete)
			if complete || reader.items == nil {
				reader.items = make(map[string]int)
			}
			reader.merge(changes)
			reader.history.apply(newDelta(changes, Position{Revision: revision}, complete), 1)
			if rapid.Bool().Draw(t, "relay") {
				relay(t, &reader.history, &passedOn)
			}
		}
		relay(t, &reader.history, &passedOn)
		if !maps.Equal(reader.items, sound) {
			t.Fatalf("in use are %v instead of %v", reader.items, sound)
		}
		names := slices.Sorted(maps.Keys(sound))
		if got := slices.Sorted(maps.Keys(passedOn.contents)); !slices.Equal(got, names) {
			t.Fatalf("passed on are %v instead of %v", got, names)
		}
	})
}

// drawChange draws a change of one of a few items. A list holds no removals and each
// name once, but the result must not depend on it.
func drawChange(t *rapid.T) Change[int] {
	c := Change[int]{Name: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "name")}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c.Removed = true
	case 1:
		c.Err = errors.New("odd")
	default:
		c.Value = rapid.IntRange(1, 9).Draw(t, "value")
		c.Raw = strconv.AppendInt(nil, int64(c.Value), 10)
	}
	return c
}

// relay passes on what changed from one history to another.
func relay(t *rapid.T, from, to *history) {
	d, _, ok := from.since(newer(to.current(), Position{Revision: unlistedRevision}), 1)
	if !ok {
		t.Fatal("nothing can be passed on")
	}
	to.apply(d, 1)
}
