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

// Grant is leave to send one request to one target. Its methods are called by
// one goroutine; Done must be called once.
type Grant struct {
	Target  *catalog.Target
	manager *Manager
	work    *Work
	choice  choice
	sent    time.Time
	// first is when the first event came.
	first  time.Time
	pauses pauses
}

// Expected returns the predicted time to the first event or answer.
func (g *Grant) Expected() time.Duration { return g.choice.expected }

// Seen returns what was believed to be outstanding at the target, and the time
// of one step there, when it was chosen.
func (g *Grant) Seen() (Load, time.Duration) { return g.choice.load, g.choice.step }

// Event records that an event of the stream has arrived.
func (g *Grant) Event(now time.Time) {
	g.pauses.add(now)
	if g.first.IsZero() {
		g.first = now
		g.manager.submit(firstEvent{g, now.Sub(g.sent)})
	}
	if g.pauses.count == pauseSpan {
		g.manager.submit(paced{g.choice.target, g.work.Service, g.pauses})
	}
}

// Done records how the request ended.
func (g *Grant) Done(r Result) {
	g.manager.submit(ended{g, r})
}

// firstEvent is the first event of a stream.
type firstEvent struct {
	grant *Grant
	after time.Duration
}

func (e firstEvent) apply(m *Manager, now time.Time) {
	p := m.pools[e.grant.work.Service]
	t := e.grant.choice.target
	if p == nil || p.engine == nil {
		return
	}
	t.advance(now, p.engine)
	t.wasRead(e.grant.work)
	p.engine.learnRead(t, e.grant.choice.load.PromptTokens, e.grant.work.PromptTokens, e.after)
	t.health.answered()
	m.publish(t)
	m.assign(p, now)
}

// paced is a stream that has shown its engine's speed.
type paced struct {
	target  *target
	service string
	pauses  pauses
}

func (e paced) apply(m *Manager, now time.Time) {
	if p := m.pools[e.service]; p != nil && p.engine != nil {
		e.target.advance(now, p.engine)
		p.engine.learnStep(e.target, e.pauses)
	}
}

// ended is the end of a request at its target.
type ended struct {
	grant  *Grant
	result Result
}

func (e ended) apply(m *Manager, now time.Time) {
	e.grant.end(now, e.result)
}

// end takes the request off its target, learns from it, and serves those who
// wait.
func (g *Grant) end(now time.Time, r Result) {
	t := g.choice.target
	p := g.manager.pool(g.work.Service)
	t.own.Requests--
	t.wasRead(g.work)
	t.noteFree(now)
	if p.engine != nil {
		t.advance(now, p.engine)
		p.engine.learnStep(t, g.pauses)
		p.engine.learnStretch(t, g.pauses)
		if r == Answered {
			p.engine.learnLength(g.work.Route, g.work.PromptTokens, float64(g.pauses.count+1)*p.engine.eventTokens)
		}
	}
	switch r {
	case Answered:
		t.health.answered()
	case Unreachable, Broken:
		t.health.failed(now)
	}
	g.manager.publish(t)
	g.manager.assign(p, now)
}
