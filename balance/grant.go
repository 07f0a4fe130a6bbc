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
	// first is when the first event came, last when the last one did.
	first    time.Time
	last     time.Time
	shortest time.Duration
}

// Expected returns the predicted time to the first event or answer.
func (g *Grant) Expected() time.Duration { return g.choice.expected }

// Event records that an event of the stream has arrived.
func (g *Grant) Event(now time.Time) {
	if g.first.IsZero() {
		g.first, g.last = now, now
		g.manager.events <- firstEvent{g, now.Sub(g.sent)}
		return
	}
	if pause := now.Sub(g.last); g.shortest == 0 || pause < g.shortest {
		g.shortest = pause
	}
	g.last = now
}

// Done records how the request ended.
func (g *Grant) Done(r Result) {
	g.manager.events <- ended{g, r}
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
	t.health.answered()
	m.publish(t)
	m.assign(p, now)
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
	if p.engine != nil {
		t.advance(now, p.engine)
		if g.first.IsZero() {
			t.own.PromptTokens = max(0, t.own.PromptTokens-g.work.PromptTokens)
		}
		if g.shortest > 0 {
			p.engine.learnStep(t, g.shortest)
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
