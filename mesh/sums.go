package mesh

import (
	"maps"
	"sync"
)

// TargetUse is what is outstanding at a target, and what was learned of it.
type TargetUse struct {
	Requests     int
	PromptTokens int
	// StepMicros is the learned time of one step in microseconds, 0 if unknown.
	StepMicros int
}

// TeamUse is what was booked against a team's limit.
type TeamUse struct {
	// Booked counts since the start of the counter.
	Booked uint64
	// Level is what the teller believes to be left.
	Level int64
}

// changes are the sums that changed after a version.
type changes struct {
	targets map[string]TargetUse
	teams   map[string]TeamUse
	version uint64
}

func (c changes) empty() bool { return len(c.targets) == 0 && len(c.teams) == 0 }

// sums holds the latest value of each sum and the version of its last change,
// so that each link can send what changed since its own last update. Its
// methods may be called by any goroutine.
type sums struct {
	mu      sync.Mutex
	version uint64
	targets map[string]versioned[TargetUse]
	teams   map[string]versioned[TeamUse]
}

type versioned[T any] struct {
	value   T
	version uint64
}

func newSums() *sums {
	return &sums{targets: make(map[string]versioned[TargetUse]), teams: make(map[string]versioned[TeamUse])}
}

func (s *sums) setTarget(id string, u TargetUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.targets[id]; ok && old.value == u {
		return
	}
	s.version++
	s.targets[id] = versioned[TargetUse]{u, s.version}
}

// addTeam adds to a team's counter.
func (s *sums) addTeam(name string, amount uint64, level int64) {
	if amount == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.teams[name] = versioned[TeamUse]{TeamUse{s.teams[name].value.Booked + amount, level}, s.version}
}

// since returns what changed after a version.
func (s *sums) since(version uint64) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := changes{version: s.version}
	if s.version == version {
		return c
	}
	for id, v := range s.targets {
		if v.version > version {
			if c.targets == nil {
				c.targets = make(map[string]TargetUse)
			}
			c.targets[id] = v.value
		}
	}
	for name, v := range s.teams {
		if v.version > version {
			if c.teams == nil {
				c.teams = make(map[string]TeamUse)
			}
			c.teams[name] = v.value
		}
	}
	return c
}

// heard is the latest report of another node or zone.
type heard struct {
	targets map[string]TargetUse
	teams   map[string]uint64
}

func newHeard() *heard {
	return &heard{targets: make(map[string]TargetUse), teams: make(map[string]uint64)}
}

// take merges a report and returns how much each team booked since the last.
func (h *heard) take(c changes) map[string]uint64 {
	booked := make(map[string]uint64, len(c.teams))
	for name, total := range c.teams {
		if before, ok := h.teams[name]; ok && total.Booked > before {
			booked[name] = total.Booked - before
		} else if !ok {
			booked[name] = total.Booked
		}
		h.teams[name] = total.Booked
	}
	maps.Copy(h.targets, c.targets)
	return booked
}
