package mesh

import (
	"maps"
	"sync"
	"time"
)

// TargetUse is the outstanding work at a target, and its measured step time.
type TargetUse struct {
	Requests     int
	PromptTokens int
	// StepMicros is the measured duration of one step in microseconds, 0 if unknown.
	StepMicros int
	// LimitMillis is how many thousandths of a request a second the target says that
	// it takes, 0 for no limit.
	LimitMillis int
	// Brittle is set if the target says that it falls over when it has to turn a few
	// requests away.
	Brittle bool
	// MemoryTokens are the tokens of the outstanding requests, prompts and expected output.
	MemoryTokens int
	// Report is sent with the next change of another field.
	Report TargetReport
}

// lowestLimit returns the lower one of two limits, of which 0 is none.
func lowestLimit(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// TeamUse is what was booked against a team's limit.
type TeamUse struct {
	teamCounts
	// Level is the remaining amount as the reporting node estimates it, nil if
	// unknown.
	Level *int64
}

// Queue identifies the requests of a service and a tier that wait for a target.
type Queue struct {
	Service string
	Tier    int
}

// ShareKey identifies the work of a team in a tier of a service.
type ShareKey struct {
	Service, Team string
	Tier          int
}

// Share is that work, in thousandths of a second: what was granted lately, and what waits.
type Share struct {
	GrantedMillis, WaitingMillis int
}

// changes are the sums that changed after a version.
type changes struct {
	shares  map[ShareKey]Share
	targets map[string]TargetUse
	teams   map[string]TeamUse
	queues  map[Queue]int
	version uint64
}

func (c changes) empty() bool {
	return len(c.targets) == 0 && len(c.teams) == 0 && len(c.queues) == 0 && len(c.shares) == 0
}

// sums holds the latest value of each sum and the version of its last change, so
// that each link can send what changed since its own last update. Its methods may
// be called by any goroutine.
type sums struct {
	mu      sync.Mutex
	version uint64
	targets map[string]versioned[TargetUse]
	teams   map[string]versioned[TeamUse]
	queues  map[Queue]versioned[int]
	shares  map[ShareKey]versioned[Share]
}

// versioned is a value and the version of its last change.
type versioned[T any] struct {
	value   T
	version uint64
}

func newSums() *sums {
	return &sums{
		targets: make(map[string]versioned[TargetUse]),
		teams:   make(map[string]versioned[TeamUse]),
		queues:  make(map[Queue]versioned[int]),
		shares:  make(map[ShareKey]versioned[Share]),
	}
}

func (s *sums) setTarget(id string, u TargetUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.targets[id]
	u = u.keepReport(before.value)
	if u.withoutReport() != before.value.withoutReport() {
		s.version++
		before.version = s.version
	}
	s.targets[id] = versioned[TargetUse]{u, before.version}
}

func (s *sums) setQueue(q Queue, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(s, s.queues, q, waiting)
}

func (s *sums) setShare(k ShareKey, share Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(s, s.shares, k, share)
}

// set stores a value under a new version if it changed. s.mu must be held.
func set[K, V comparable](s *sums, m map[K]versioned[V], key K, value V) {
	if m[key].value == value {
		return
	}
	s.version++
	m[key] = versioned[V]{value, s.version}
}

// addTeam adds amounts to a team's counters and sets its level.
func (s *sums) addTeam(name string, counts teamCounts, level *int64) {
	if counts == (teamCounts{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.teams[name] = versioned[TeamUse]{TeamUse{s.teams[name].value.plus(counts), level}, s.version}
}

// totals returns what each team has booked and refunded, at the present version.
func (s *sums) totals() totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := totals{at: time.Now(), version: s.version, teams: make(map[string]teamCounts, len(s.teams))}
	for name, v := range s.teams {
		t.teams[name] = v.value.teamCounts
	}
	return t
}

// totals are what each team had booked and refunded at an instant, and the version of the sums then.
type totals struct {
	at      time.Time
	version uint64
	teams   map[string]teamCounts
}

// asOf returns the changes with the teams' counters as they were at earlier totals.
func (c changes) asOf(t totals) changes {
	teams := make(map[string]TeamUse)
	for name := range c.teams {
		if counts, ok := t.teams[name]; ok {
			teams[name] = TeamUse{teamCounts: counts}
		}
	}
	c.teams, c.version = teams, t.version
	return c
}

// since returns the sums that changed after a version.
func (s *sums) since(version uint64) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := changes{version: s.version}
	if s.version == version {
		return c
	}
	c.targets = changedSince(s.targets, version)
	c.teams = changedSince(s.teams, version)
	c.queues = changedSince(s.queues, version)
	c.shares = changedSince(s.shares, version)
	return c
}

// changedSince returns the entries that changed after a version.
func changedSince[K comparable, V any](m map[K]versioned[V], version uint64) map[K]V {
	var changed map[K]V
	for key, v := range m {
		if v.version <= version {
			continue
		}
		if changed == nil {
			changed = make(map[K]V)
		}
		changed[key] = v.value
	}
	return changed
}

// report is the latest state that another node or zone has reported.
type report struct {
	targets map[string]TargetUse
	teams   map[string]teamCounts
	queues  map[Queue]int
	shares  map[ShareKey]Share
}

func newReport() *report {
	return &report{
		targets: make(map[string]TargetUse), teams: make(map[string]teamCounts), queues: make(map[Queue]int), shares: make(map[ShareKey]Share),
	}
}

// bookedSince returns how much each team booked and refunded from this report to later
// totals of the same counters.
func (r *report) bookedSince(later map[string]teamCounts) map[string]teamCounts {
	booked := make(map[string]teamCounts)
	for name, total := range later {
		if since := total.since(r.teams[name]); since != (teamCounts{}) {
			booked[name] = since
		}
	}
	return booked
}

// raise raises the counters to at least the given totals.
func (r *report) raise(totals map[string]teamCounts) {
	for name, total := range totals {
		r.teams[name] = r.teams[name].plus(total.since(r.teams[name]))
	}
}

// merge applies changes and returns how much each team booked and refunded since the
// previous ones.
func (r *report) merge(c changes) map[string]teamCounts {
	totals := make(map[string]teamCounts, len(c.teams))
	for name, use := range c.teams {
		totals[name] = use.teamCounts
	}
	for id, use := range c.targets {
		r.targets[id] = use.keepReport(r.targets[id])
	}
	booked := r.bookedSince(totals)
	r.raise(totals)
	maps.Copy(r.queues, c.queues)
	maps.Copy(r.shares, c.shares)
	return booked
}
