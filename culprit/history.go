package culprit

import (
	"slices"

	"github.com/primrosemoor/primrosemoor/clock"
)

// maxEntries bounds the crashes and survivals that are passed on to a node that has
// just started, and maxEntryFeatures the features of these crashes.
const (
	maxEntries       = 1024
	maxEntryFeatures = 1 << 15
)

// entry is a crash or, if that is nil, a survival.
type entry struct {
	version  uint64
	crash    *Crash
	survival Survival
}

// history holds the evidence in the order in which this node learned it, so that each
// link can send what is new.
type history struct {
	version uint64
	entries []entry
	// crashes are the keys of the crashes in entries, survivals the newest instants of
	// survivals by feature.
	crashes   map[uint64]bool
	survivals map[Feature]clock.Instant
	// features is the number of features of the crashes in entries.
	features int
}

func newHistory() *history {
	return &history{crashes: make(map[uint64]bool), survivals: make(map[Feature]clock.Instant)}
}

// addCrash adds a crash. It reports whether the crash is new.
func (h *history) addCrash(c Crash) bool {
	key := c.key()
	if h.crashes[key] {
		return false
	}
	h.crashes[key] = true
	h.add(entry{crash: &c})
	return true
}

// addSurvival adds a survival. It reports whether it is newer than those of the same
// feature by more than the error of instants from other nodes.
func (h *history) addSurvival(s Survival) bool {
	if before, ok := h.survivals[s.Feature]; ok && s.At.Sub(before) < crashSpacing {
		return false
	}
	h.entries = slices.DeleteFunc(h.entries, func(e entry) bool { return e.crash == nil && e.survival.Feature == s.Feature })
	h.survivals[s.Feature] = s.At
	h.add(entry{survival: s})
	return true
}

func (h *history) add(e entry) {
	h.version++
	e.version = h.version
	h.entries = append(h.entries, e)
	if e.crash != nil {
		h.features += len(e.crash.Features)
	}
	for len(h.entries) > maxEntries || h.features > maxEntryFeatures {
		h.remove(h.entries[0])
		h.entries = slices.Delete(h.entries, 0, 1)
	}
}

func (h *history) remove(e entry) {
	if e.crash != nil {
		delete(h.crashes, e.crash.key())
		h.features -= len(e.crash.Features)
	} else {
		delete(h.survivals, e.survival.Feature)
	}
}

// since returns what was added after a version, and the version that includes it.
func (h *history) since(version uint64) (crashes []Crash, survivals []Survival, current uint64) {
	first, _ := slices.BinarySearchFunc(h.entries, version+1, func(e entry, v uint64) int { return int(e.version) - int(v) })
	for _, e := range h.entries[first:] {
		if e.crash != nil {
			crashes = append(crashes, *e.crash)
		} else {
			survivals = append(survivals, e.survival)
		}
	}
	return crashes, survivals, h.version
}
