package balance

import (
	"cmp"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Result is how a request ended at its target.
type Result uint8

// The results of a request at its target.
const (
	// Answered means that the request got a complete response.
	Answered Result = iota
	// Failed means that the response reported a failure of the target.
	Failed
	// Unsent means that the request was granted a target but not sent.
	Unsent
	// Abandoned means that the caller gave up or the time limit passed.
	Abandoned
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Unreachable means that no connection to the target could be made.
	Unreachable
	// Broken means that the response ended early or was not a valid response.
	Broken
	// Stalled means that the target was silent and another one has taken over.
	Stalled
	// Superseded means that the response was not needed, because that of another target
	// was used.
	Superseded
	// Unreported means that the node which sent the request fell silent or had no link,
	// which says nothing of the target.
	Unreported
	// Overtaken means that a second copy of the request at another target was faster.
	Overtaken
)

var resultNames = [...]string{
	Answered: "answered", Failed: "failed", Unsent: "unsent", Abandoned: "abandoned", Rejected: "rejected",
	Unreachable: "unreachable", Broken: "broken", Stalled: "stalled", Superseded: "superseded", Unreported: "unreported",
	Overtaken: "overtaken",
}

// String returns the result's name in log lines.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "unknown" // Of a node of another release.
	}
	return resultNames[r]
}

// Sample holds the timing of a stream's events, from which the speed of its
// engine is estimated.
type Sample struct {
	// Gaps counts the gaps between events.
	Gaps int
	// ShortestSpan is the shortest duration of gapsPerSample consecutive gaps; 0 if
	// there were fewer.
	ShortestSpan time.Duration
	// Total is the duration of all gaps.
	Total time.Duration
}

// Reporter receives the progress of a request that was granted a target. Its
// methods are called by one goroutine at a time, Ended last.
type Reporter interface {
	// FirstEvent reports the time from sending to the first event.
	FirstEvent(after time.Duration)
	// SpeedSampled reports the first sample of the engine's speed.
	SpeedSampled(s Sample)
	// Ended reports how the request ended and releases its slot.
	Ended(r Result, s Sample)
}

// Prediction holds the predictions on which the choice of a target was based.
type Prediction struct {
	// Expected is the predicted time to the first event or to the response.
	Expected time.Duration
	// Load is the estimated load of the target.
	Load Load
	// Step is the step time of the target; 0 if the service has no engines.
	Step time.Duration
	// Pace is the factor by which the target was slower than learned, as it reported, 0 if
	// unknown, and Extra counts the requests that others were reported to have there.
	Pace  float64
	Extra int
}

// Grant is the permission to send one request to one target. Its methods are
// called by one goroutine; Done must be called once.
type Grant struct {
	Target             *catalog.Target
	Prediction         Prediction
	reporter           Reporter
	sentAt             time.Time
	firstEventReported bool
	gaps               eventGaps
}

// NewGrant returns the permission to send a request to a target now.
func NewGrant(target *catalog.Target, prediction Prediction, reporter Reporter) *Grant {
	return &Grant{Target: target, Prediction: prediction, reporter: reporter, sentAt: time.Now()}
}

// Reporter returns the receiver of the request's progress, for a caller that
// has another node send the request.
func (g *Grant) Reporter() Reporter { return g.reporter }

// Event records the arrival of an event of the stream.
func (g *Grant) Event(now time.Time) {
	g.gaps.add(now)
	if !g.firstEventReported {
		g.firstEventReported = true
		g.reporter.FirstEvent(now.Sub(g.sentAt))
	}
	if g.gaps.count == gapsPerSample {
		g.reporter.SpeedSampled(g.gaps.sample())
	}
}

// Done records how the request ended.
func (g *Grant) Done(r Result) {
	g.reporter.Ended(r, g.gaps.sample())
}

// inFlightRequest is a request that counts towards the load of one of the
// manager's targets. Its target and load belong to the manager's goroutine.
type inFlightRequest struct {
	manager *Manager
	work    *Work
	target  *target
	// load is the load of the target when it was chosen, and pace the factor by which it
	// was slower than learned; 0 if unknown.
	load Load
	pace float64
	// granted is the work that this node counted as granted to the team.
	granted grantedWork
}

// FirstEvent implements Reporter.
func (f *inFlightRequest) FirstEvent(after time.Duration) {
	f.manager.submit(firstEventReceived{f, after})
}

// SpeedSampled implements Reporter.
func (f *inFlightRequest) SpeedSampled(s Sample) { f.manager.submit(speedSampled{f, s}) }

// Ended implements Reporter.
func (f *inFlightRequest) Ended(r Result, s Sample) { f.manager.submit(requestEnded{f, r, s}) }

// firstEventReceived reports the first event of a stream.
type firstEventReceived struct {
	request *inFlightRequest
	after   time.Duration
}

func (e firstEventReceived) apply(m *Manager, now time.Time) {
	p, t := m.pools[e.request.work.Service], e.request.target
	if p == nil || p.engine == nil || t == nil {
		return
	}
	t.advancePrefill(now, p.engine)
	t.finishPrefill(e.request.work)
	p.engine.learnPrefill(t, e.request.load.PromptTokens, e.request.work.PromptTokens, e.request.atLearnedPace(e.after))
	t.health.recordSuccess()
	t.endTrial(e.request.work, true, now)
	m.publish(t)
	m.markChanged(p)
}

// speedSampled reports the first sample of an engine's speed from a stream.
type speedSampled struct {
	request *inFlightRequest
	sample  Sample
}

func (e speedSampled) apply(m *Manager, now time.Time) {
	p, t := m.pools[e.request.work.Service], e.request.target
	if p != nil && p.engine != nil && t != nil {
		t.advancePrefill(now, p.engine)
		p.engine.learnSpeed(t, e.sample, now)
	}
}

// requestEnded reports the end of a request at its target.
type requestEnded struct {
	request *inFlightRequest
	result  Result
	sample  Sample
}

// apply releases the request's slot, updates the estimates, and has the waiting
// requests assigned.
func (e requestEnded) apply(m *Manager, now time.Time) {
	t := e.request.target
	if t == nil {
		return
	}
	p := m.pool(e.request.work.Service)
	t.own.Requests--
	overdue := t.isOverdue(e.request.work, now)
	t.finishPrefill(e.request.work)
	t.releaseMemory(e.request.work)
	t.updateFreed(now)
	t.endTrial(e.request.work, e.result == Answered || e.result == Failed, now)
	if p.engine != nil {
		t.advancePrefill(now, p.engine)
		p.engine.learnSpeed(t, e.sample, now)
		p.engine.learnSlowdown(t, t.atLearnedPace(e.sample, now))
		if e.result == Answered {
			p.engine.learnLengths(e.request.work.Route, e.request.work.PromptTokens, float64(e.sample.Gaps+1)*p.engine.eventTokens)
		}
	}
	if e.result == Unsent || e.result == Rejected || e.result == Unreachable {
		p.returnGrant(e.request.work, e.request.granted, now)
	}
	backoff := t.health.backoffUntil
	switch e.result {
	case Answered:
		t.health.recordSuccess()
		p.recordOutcome(t, e.request.work, false, now)
	case Failed:
		p.recordOutcome(t, e.request.work, true, now)
	case Rejected:
		t.brittle.recordRejection(now)
	case Unreachable, Broken:
		t.health.recordFailure(e.request.work.Node, now)
	case Abandoned:
		if overdue {
			t.health.recordFailure(e.request.work.Node, now)
		}
	case Stalled:
		t.health.recordSilence(e.request.work.Node, now)
	case Overtaken:
		t.health.recordOvertaken(now)
	}
	if t.health.backoffUntil.After(backoff) {
		m.logBackoff(t, e, now)
	}
	m.publish(t)
	m.markChanged(p)
}

// logBackoff logs that a target gets no requests for a time, and whose request showed that.
func (m *Manager) logBackoff(t *target, e requestEnded, now time.Time) {
	m.options.Logger.Info().Str("event", "target_backoff").Str("target", t.ID).Str("service", t.Service).
		Str("node", cmp.Or(e.request.work.Node, m.options.Node)).Str("request", e.request.work.ID).
		Str("result", e.result.String()).Int("failures", t.health.failures).Dur("lasts", t.health.backoffUntil.Sub(now)).Msg("")
}

// Adopt counts a request towards the load of a target that another node chose
// for it. firstEventSeen says whether its first event has arrived.
func (m *Manager) Adopt(w *Work, target string, firstEventSeen bool) Reporter {
	request := &inFlightRequest{manager: m, work: w}
	m.submit(requestAdopted{request, target, firstEventSeen})
	return request
}

// requestAdopted adds a request whose target another node chose.
type requestAdopted struct {
	request        *inFlightRequest
	id             string
	firstEventSeen bool
}

func (e requestAdopted) apply(m *Manager, now time.Time) {
	p := m.pool(e.request.work.Service)
	t := p.targets[e.id]
	if t == nil {
		return
	}
	e.request.target, e.request.load = t, t.load()
	expected := time.Duration(0)
	if p.engine != nil {
		expected = p.engine.timeToFirstEvent(t, e.request.load.PromptTokens, e.request.work.PromptTokens)
	}
	t.addRequest(e.request.work, now, expected)
	t.holdMemory(e.request.work, p.memoryTokens(e.request.work))
	if e.firstEventSeen {
		t.finishPrefill(e.request.work)
	}
	m.publish(t)
}
