package resume

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

// present holds which names belong to a key now.
type present map[string]map[string]bool

func (p present) add(key, name string) {
	if p[key] == nil {
		p[key] = make(map[string]bool)
	}
	p[key][name] = true
}

// sightings holds which names belong to a key, or did within the retention, and since when
// they no longer do.
type sightings map[string]map[string]clock.Instant

// notGone marks a name that belongs to its key.
const notGone = clock.Instant(math.MaxInt64)

// update replaces what belongs to each key.
func (s sightings) update(current present, now clock.Instant, retention time.Duration) {
	for key, names := range s {
		for name, gone := range names {
			switch {
			case gone == notGone && !current[key][name]:
				names[name] = now
			case gone != notGone && now.Sub(gone) > retention:
				delete(names, name)
			}
		}
		if len(names) == 0 {
			delete(s, key)
		}
	}
	for key, names := range current {
		if s[key] == nil {
			s[key] = make(map[string]clock.Instant)
		}
		for name := range names {
			s[key][name] = notGone
		}
	}
}

// merge adds names that others have seen. Those that are not known count as gone from now
// on.
func (s sightings) merge(names map[string][]string, now clock.Instant) {
	for key, list := range names {
		if s[key] == nil {
			s[key] = make(map[string]clock.Instant)
		}
		for _, name := range list {
			if _, known := s[key][name]; !known {
				s[key][name] = now
			}
		}
	}
}

// names returns the names of each key.
func (s sightings) names() map[string][]string {
	all := make(map[string][]string, len(s))
	for key, names := range s {
		all[key] = slices.Collect(maps.Keys(names))
	}
	return all
}
