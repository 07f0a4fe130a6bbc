package culprit

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/clock"
)

// Manager holds this node's evidence and gets that of other nodes. Its methods are
// safe for concurrent use.
type Manager struct {
	logger    *log.Logger
	onChanged func()
	// suspicious is set while there is any evidence, so that requests are not judged
	// without.
	suspicious atomic.Bool

	mu       sync.Mutex
	evidence *evidence
	history  *history
	watches  map[*watch]struct{}
	doubtful doubtful
}

// watch is a request that a target has not survived yet.
type watch struct {
	features []Feature
	cancel   func()
}

// New returns a manager without evidence. onChanged is called after new evidence is
// known, which other nodes do not have yet.
func New(onChanged func(), logger *log.Logger) *Manager {
	return &Manager{logger: logger, onChanged: onChanged, evidence: newEvidence(), history: newHistory(), watches: make(map[*watch]struct{})}
}

// Judge returns the verdict on a request.
func (m *Manager) Judge(features []Feature) Verdict {
	if !m.suspicious.Load() {
		return Verdict{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evidence.judge(features, clock.Now())
}

// Watch calls cancel if the request is quarantined before stop is called.
func (m *Manager) Watch(features []Feature, cancel func()) (stop func()) {
	w := &watch{features, cancel}
	m.mu.Lock()
	m.watches[w] = struct{}{}
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		delete(m.watches, w)
		m.mu.Unlock()
	}
}

// RecordCrash records that a target crashed with a request that it had begun to answer
// at the most.
func (m *Manager) RecordCrash(c Crash) {
	m.Apply([]Crash{c}, nil)
}

// RecordBreak records a target that broke off a request as it does when it crashes, which
// this node could not confirm. It counts once another request has shown the crash.
func (m *Manager) RecordBreak(c Crash) {
	m.mu.Lock()
	crashed := m.doubtful.add(c)
	m.mu.Unlock()
	if crashed {
		m.RecordCrash(c)
	}
}

// RecordSurvival records that a target has answered a request, or goes on answering it.
func (m *Manager) RecordSurvival(features []Feature) {
	if !m.suspicious.Load() {
		return
	}
	now := clock.Now()
	m.mu.Lock()
	var survivals []Survival
	for _, f := range m.evidence.open(features) {
		survivals = append(survivals, Survival{f, now})
	}
	m.mu.Unlock()
	if len(survivals) > 0 {
		m.Apply(nil, survivals)
	}
}

// Since returns the evidence that was added after a version, and the version that
// includes it.
func (m *Manager) Since(version uint64) (crashes []Crash, survivals []Survival, current uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.since(version)
}

// Apply adds evidence and passes on what is new.
func (m *Manager) Apply(crashes []Crash, survivals []Survival) {
	m.mu.Lock()
	changed := false
	for _, c := range crashes {
		if !m.history.addCrash(c) {
			continue
		}
		changed = true
		m.addCrash(c)
		for _, shown := range m.doubtful.confirm(c) {
			if m.history.addCrash(shown) {
				m.addCrash(shown)
			}
		}
	}
	for _, s := range survivals {
		if m.history.addSurvival(s) {
			m.evidence.addSurvival(s)
			changed = true
		}
	}
	if changed {
		m.suspicious.Store(true)
		m.cancelQuarantined()
	}
	m.mu.Unlock()
	if changed {
		m.onChanged()
	}
}

func (m *Manager) addCrash(c Crash) {
	m.evidence.addCrash(c)
	m.logCrash(c)
}

// cancelQuarantined cancels the watched requests that are quarantined by now. The lock
// must be held.
func (m *Manager) cancelQuarantined() {
	now := clock.Now()
	for w := range m.watches {
		if m.evidence.judge(w.features, now).State == Quarantined {
			delete(m.watches, w)
			w.cancel()
		}
	}
}

// logCrash logs a crash and what is concluded from it.
func (m *Manager) logCrash(c Crash) {
	now := clock.Now()
	v := m.evidence.judge(c.Features, now)
	m.logger.Warn().Str("event", "target_crashed").Str("target_hash", strconv.FormatUint(c.Target, 16)).
		Dur("ago", now.Sub(c.At)).Str("features", FormatFeatures(c.Features)).Str("verdict", v.State.String()).
		Str("shared", strconv.FormatUint(uint64(v.Feature), 16)).Int("crashes", v.Crashes).Msg("")
}

// FormatFeatures returns features in hexadecimal, separated by commas.
func FormatFeatures(features []Feature) string {
	var b []byte
	for i, f := range features {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(f), 16)
	}
	return string(b)
}
