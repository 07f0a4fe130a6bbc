package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Result is how a request ended at its target.
type Result uint8

// The results.
const (
	// Answered requests got a whole answer.
	Answered Result = iota
	// Failed requests got an answer that says that the target failed.
	Failed
	// Unsent requests were not sent after all.
	Unsent
	// Abandoned requests were given up by their caller or at their time limit.
	Abandoned
	// Rejected requests were not run, as the target said.
	Rejected
	// Unreachable targets could not be connected to.
	Unreachable
	// Broken answers ended early or were no answer.
	Broken
)

// Sample is what the events of a stream showed of its engine's speed.
type Sample struct {
	// Pauses counts the pauses between events.
	Pauses int
	// Shortest is the shortest time of pauseSpan pauses, 0 if there were fewer.
	Shortest time.Duration
	// Total is the time of all pauses.
	Total time.Duration
}

// Reporter is told how a request fares that has been granted a target. Its
// methods are called by one goroutine at a time, Ended last.
type Reporter interface {
	// First is the time from sending to the first event.
	First(after time.Duration)
	// Paced is the first sample of the engine's speed.
	Paced(s Sample)
	// Ended takes the request off its target.
	Ended(r Result, s Sample)
}

// Seen is what decided for a target.
type Seen struct {
	// Expected is the predicted time to the first event or answer.
	Expected time.Duration
	// Load is what was believed to be outstanding at the target.
	Load Load
	// Step is the time of one step there, 0 if the service has no engines.
	Step time.Duration
}

// Grant is leave to send one request to one target. Its methods are called by
// one goroutine; Done must be called once.
type Grant struct {
	Target   *catalog.Target
	Seen     Seen
	reporter Reporter
	sent     time.Time
	first    bool
	pauses   pauses
}

// NewGrant returns leave to send a request to a target now.
func NewGrant(target *catalog.Target, seen Seen, reporter Reporter) *Grant {
	return &Grant{Target: target, Seen: seen, reporter: reporter, sent: time.Now()}
}

// Reporter returns what is told of the request's fate, for a caller that sends
// it elsewhere.
func (g *Grant) Reporter() Reporter { return g.reporter }

// Event records that an event of the stream has arrived.
func (g *Grant) Event(now time.Time) {
	g.pauses.add(now)
	if !g.first {
		g.first = true
		g.reporter.First(now.Sub(g.sent))
	}
	if g.pauses.count == pauseSpan {
		g.reporter.Paced(g.pauses.sample())
	}
}

// Done records how the request ended.
func (g *Grant) Done(r Result) {
	g.reporter.Ended(r, g.pauses.sample())
}

// held is a request that counts at one of the manager's targets. Its target and
// load belong to the manager's goroutine.
type held struct {
	manager *Manager
	work    *Work
	target  *target
	// load was outstanding at the target when it was chosen.
	load Load
}

// First implements Reporter.
func (h *held) First(after time.Duration) { h.manager.submit(firstEvent{h, after}) }

// Paced implements Reporter.
func (h *held) Paced(s Sample) { h.manager.submit(paced{h, s}) }

// Ended implements Reporter.
func (h *held) Ended(r Result, s Sample) { h.manager.submit(ended{h, r, s}) }

// firstEvent is the first event of a stream.
type firstEvent struct {
	held  *held
	after time.Duration
}

func (e firstEvent) apply(m *Manager, now time.Time) {
	p, t := m.pools[e.held.work.Service], e.held.target
	if p == nil || p.engine == nil || t == nil {
		return
	}
	t.advance(now, p.engine)
	t.wasRead(e.held.work)
	p.engine.learnRead(t, e.held.load.PromptTokens, e.held.work.PromptTokens, e.after)
	t.health.answered()
	m.publish(t)
	m.touch(p)
}

// paced is a stream that has shown its engine's speed.
type paced struct {
	held   *held
	sample Sample
}

func (e paced) apply(m *Manager, now time.Time) {
	p, t := m.pools[e.held.work.Service], e.held.target
	if p != nil && p.engine != nil && t != nil {
		t.advance(now, p.engine)
		p.engine.learnStep(t, e.sample)
	}
}

// ended is the end of a request at its target.
type ended struct {
	held   *held
	result Result
	sample Sample
}

// apply takes the request off its target, learns from it, and serves those who
// wait.
func (e ended) apply(m *Manager, now time.Time) {
	t := e.held.target
	if t == nil {
		return
	}
	p := m.pool(e.held.work.Service)
	t.own.Requests--
	t.wasRead(e.held.work)
	t.noteFree(now)
	if p.engine != nil {
		t.advance(now, p.engine)
		p.engine.learnStep(t, e.sample)
		p.engine.learnStretch(t, e.sample)
		if e.result == Answered {
			p.engine.learnLength(e.held.work.Route, e.held.work.PromptTokens, float64(e.sample.Pauses+1)*p.engine.eventTokens)
		}
	}
	switch e.result {
	case Answered:
		t.health.answered()
	case Unreachable, Broken:
		t.health.failed(now)
	}
	m.publish(t)
	m.touch(p)
}

// Adopt counts a request at a target that another node chose for it. read says
// that its first event has come.
func (m *Manager) Adopt(w *Work, target string, read bool) Reporter {
	h := &held{manager: m, work: w}
	m.submit(adopted{h, target, read})
	return h
}

// adopted is a request that another node chose a target for.
type adopted struct {
	held *held
	id   string
	read bool
}

func (e adopted) apply(m *Manager, now time.Time) {
	p := m.pool(e.held.work.Service)
	t := p.targets[e.id]
	if t == nil {
		return
	}
	e.held.target, e.held.load = t, t.load()
	t.send(e.held.work, now)
	if e.read {
		t.wasRead(e.held.work)
	}
	m.publish(t)
}
