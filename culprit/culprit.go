// Package culprit finds what the requests that crash their targets have in common,
// so that no further target gets such a request. Its evidence is the same on all
// nodes; each node draws its conclusions alone, and its decisions need no network.
package culprit

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// quarantineCrashes is the number of crashes from which requests are no longer
	// sent. After one crash less they are not sent to a second target.
	quarantineCrashes = 3
	// crashSpacing is the time within which several crashes count once: targets that
	// end at the same moment have another cause in common.
	crashSpacing = 100 * time.Millisecond
	// firstQuarantine is how long requests are refused after the last of
	// quarantineCrashes crashes; the time doubles with each further crash. They are then
	// sent again, and the next crash renews the quarantine.
	firstQuarantine = 2 * time.Minute
	// evidenceTime is how long a crash counts; it exceeds the longest quarantine.
	evidenceTime = 2 * time.Hour
)

// Feature is a property that requests share: a part of a prompt, or the whole request.
type Feature uint64

// Crash is the crash of a target that had begun to answer a request, or was about to.
type Crash struct {
	// Target identifies the instance.
	Target   uint64
	Features []Feature
	At       clock.Instant
}

// key identifies a crash and a request on all nodes, whose clocks differ.
func (c Crash) key() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, c.Target)
	for _, f := range c.Features {
		b = binary.LittleEndian.AppendUint64(b, uint64(f))
	}
	return xxhash.Sum64(b)
}

// Survival is an answer to a request with a feature, at a target that did not crash.
type Survival struct {
	Feature Feature
	At      clock.Instant
}

// State is what is concluded of a request.
type State uint8

// The states of a request, in increasing order of suspicion.
const (
	Clear State = iota
	Suspect
	Quarantined
)

var stateNames = [...]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Verdict is the state of a request and the evidence for it.
type Verdict struct {
	State State
	// Feature is the feature that the crashed requests share with this one, and Crashes
	// the number of crashes that count.
	Feature Feature
	Crashes int
	// RetryAfter is when a quarantine ends.
	RetryAfter time.Duration
}

// record is the evidence on one feature.
type record struct {
	// crashes are those since the last survival, in order of time.
	crashes    []Crash
	survivedAt clock.Instant
}

const (
	// maxTargetsPerFeature bounds the targets whose crashes are kept of one feature, and
	// maxRequestsPerTarget the requests that were at each.
	maxTargetsPerFeature = 8
	maxRequestsPerTarget = 32
)

// addCrash adds a crash. Which crashes are kept does not depend on the order in which they
// are added.
func (r *record) addCrash(c Crash) {
	if c.At <= r.survivedAt {
		return
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b Crash) int { return int(a.At - b.At) })
	r.crashes = slices.Insert(r.crashes, i, c)
	ofTarget := func(other Crash) bool { return other.Target == c.Target }
	if n := countIf(r.crashes, ofTarget); n > maxRequestsPerTarget {
		r.dropLargestKey(c.Target)
	}
	if r.targets() > maxTargetsPerFeature {
		oldest := r.crashes[0].Target
		r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Target == oldest })
	}
}

// dropLargestKey drops one of the crashes of a target.
func (r *record) dropLargestKey(target uint64) {
	drop, largest := -1, uint64(0)
	for i, c := range r.crashes {
		if key := c.key(); c.Target == target && (drop < 0 || key > largest) {
			drop, largest = i, key
		}
	}
	r.crashes = slices.Delete(r.crashes, drop, drop+1)
}

// targets returns the number of targets that crashed.
func (r *record) targets() int {
	seen := make(map[uint64]bool, maxTargetsPerFeature)
	for _, c := range r.crashes {
		seen[c.Target] = true
	}
	return len(seen)
}

func countIf(crashes []Crash, matches func(Crash) bool) (n int) {
	for _, c := range crashes {
		if matches(c) {
			n++
		}
	}
	return n
}

func (r *record) survive(at clock.Instant) {
	r.survivedAt = max(r.survivedAt, at)
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.At <= at })
}

// count returns the number of crashes that count: of different targets, and not at the
// same moment.
func (r *record) count(now clock.Instant) int {
	n := 0
	var last clock.Instant
	seen := make(map[uint64]bool, len(r.crashes))
	for _, c := range r.crashes {
		if seen[c.Target] || now.Sub(c.At) > evidenceTime || n > 0 && c.At.Sub(last) < crashSpacing {
			continue
		}
		seen[c.Target] = true
		last = c.At
		n++
	}
	return n
}
