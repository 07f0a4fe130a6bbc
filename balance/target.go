// Package balance chooses the target that serves a request and orders waiting
// requests. Its decisions are functions of the known load of the targets, and
// need no network.
package balance

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/loadreport"
)

// Work is one request that needs a target.
type Work struct {
	ID      string
	Service string
	// Tier is the request's priority; 0 is the most important.
	Tier int
	// Rank orders requests of the same tier: it is the tier of their route, which
	// differs from Tier if the team sets its own.
	Rank int
	// Team is who sent the request; empty if unknown.
	Team string
	// PromptTokens is the length of the prompt, which is prefilled before the
	// first event; 0 for plain services.
	PromptTokens float64
	// EstimatedOutputTokens is the caller's estimate of the response's length, 0
	// if it has none.
	EstimatedOutputTokens float64
	// Route groups requests whose responses are similar in length.
	Route   string
	Arrived time.Time
	// Goal is the time after which the response, or a stream's first event, is no
	// longer on time.
	Goal time.Time
	// End is the request's time limit, after which the caller or the route gives
	// up.
	End time.Time
	// Patience is when the caller leaves if no event has arrived.
	Patience time.Time
	// Tried lists the targets that the request was sent to before.
	Tried []string
	// Version is the software version that the target must have, because targets of that
	// version have produced the beginning of the stream; empty for any.
	Version string
	// Barred lists versions that the target must not have, because a rollout sends them nothing.
	Barred []string
	// Only is the one target that the request may be sent to; empty for any. Owners do not
	// learn of it.
	Only string
	// Node is the node that sends the request; empty for this node.
	Node string
	// NoWait is set for a second copy of a slow request. It is refused at once unless a slot
	// is free and nothing waits for the service.
	NoWait bool
	// MaxInUse is the share of the service's slots in use above which such a copy is
	// refused; 0 stands for maxInUseForCopies.
	MaxInUse float64
}

// Allows reports whether the request may go to a target, whatever the state of that.
func (w *Work) Allows(t *catalog.Target) bool {
	return (w.Version == "" || w.Version == t.Version) && (w.Only == "" || w.Only == t.ID) && !slices.Contains(w.Barred, t.Version) && !slices.Contains(w.Tried, t.ID)
}

// Load is the number of requests and prompt tokens in flight at a target.
type Load struct {
	// Requests counts requests that were sent and have not ended.
	Requests int
	// PromptTokens estimates how many prompt tokens were sent and are not
	// prefilled yet.
	PromptTokens float64
	// MemoryTokens are the tokens of those requests, prompts and expected output, at
	// engines whose memory is stated.
	MemoryTokens float64
}

// target holds the state of one target.
type target struct {
	*catalog.Target
	own Load
	// prefilling holds this node's requests whose prompts are being prefilled.
	prefilling map[*Work]*pendingPrompt
	// memory holds the tokens that count for each of this node's requests.
	memory map[*Work]float64
	// remote holds the loads from other nodes and zones.
	remote map[string]remoteLoad
	// prefillUpdatedAt is when the pending prompt tokens were last reduced by the
	// engine's progress.
	prefillUpdatedAt time.Time
	// full says whether all slots were taken at the last update; freedAt is when
	// the target last stopped being full.
	full    bool
	freedAt time.Time
	speed   engineSpeed
	health  health
	rate    rateLimit
	brittle brittleness
	// reports is what the target reports of its load.
	reports loadreport.Target
	// recentRequests are the known requests at the target in the last moments.
	recentRequests recentPeak
	// leaving is set once the target has said that it leaves, and lastArrival is when the
	// last request arrived that it may get nevertheless.
	leaving     bool
	lastArrival time.Time
	// pauses holds the pauses that the target asked for, by node.
	pauses map[string]*pause
}

// leaves reports whether the target leaves, as the store lists it or as it has said.
func (t *target) leaves() bool { return t.Draining || t.leaving }

// load returns the load from all nodes.
func (t *target) load() Load {
	total := t.own
	for _, l := range t.remote {
		total.Requests += l.Requests
		total.PromptTokens += l.PromptTokens
		total.MemoryTokens += l.MemoryTokens
	}
	return total
}

// remoteLoad is the load from another node or zone.
type remoteLoad struct {
	Load
	// reportedPromptTokens is the value of PromptTokens in the report.
	reportedPromptTokens float64
	// limit is the limit that the target stated there, 0 for none, and brittle whether it
	// said there that it is.
	limit   float64
	brittle bool
}

// updateFreed records when a full target gets a free slot.
func (t *target) updateFreed(now time.Time) {
	requests := t.load().Requests
	t.recentRequests.set(requests, now)
	full := requests >= t.Slots
	if t.full && !full {
		t.freedAt = now
	}
	t.full = full
}

// pendingPrompt is a prompt that is being prefilled, or a request that has not been
// answered yet.
type pendingPrompt struct {
	tokens, remaining float64
	// dueAt is when the first event or the answer should have come, with time to
	// spare.
	dueAt time.Time
}

const (
	// overdueFactor scales the predicted time to the first event, and overdueMargin
	// is added to it, to give the time after which a request is overdue.
	overdueFactor = 3
	overdueMargin = 700 * time.Millisecond
)

// overdue reports whether a request of this node is waiting for longer than it
// should: the target may stand still.
func (t *target) overdue(now time.Time) bool {
	for w := range t.prefilling {
		if t.isOverdue(w, now) {
			return true
		}
	}
	return false
}

// isOverdue reports whether a request of this node is waiting for longer than it
// should.
func (t *target) isOverdue(w *Work, now time.Time) bool {
	p := t.prefilling[w]
	return p != nil && now.After(p.dueAt)
}

// neverOverdue lets the requests of a node that are waiting wait for as long as they do.
func (t *target) neverOverdue(node string) {
	for w, p := range t.prefilling {
		if w.Node == node {
			p.dueAt = w.End
		}
	}
}

// mostlyOverdue reports whether more than half of the targets have an overdue
// request.
func (p *pool) mostlyOverdue(now time.Time) bool {
	overdue, all := 0, 0
	for _, t := range p.targets {
		if t.leaves() {
			continue
		}
		all++
		if t.overdue(now) {
			overdue++
		}
	}
	return 2*overdue > all
}

// minPendingShare is the share of a prompt that counts as pending until its
// first event has arrived, whatever time has passed: predictions of the prefill
// time are too short as often as too long.
const minPendingShare = 0.25

// addRequest adds a request of this node, whose first event or answer is expected
// after a time.
func (t *target) addRequest(w *Work, now time.Time, expected time.Duration) {
	t.own.Requests++
	t.rate.spend(now, true)
	t.beginTrial(w)
	dueAt := now.Add(overdueFactor*expected + overdueMargin)
	t.prefilling[w] = &pendingPrompt{tokens: w.PromptTokens, remaining: w.PromptTokens, dueAt: dueAt}
	t.updatePromptTokens()
	t.updateFreed(now)
}

// finishPrefill records that a request's prompt has been prefilled.
func (t *target) finishPrefill(w *Work) {
	delete(t.prefilling, w)
	t.updatePromptTokens()
}

func (t *target) updatePromptTokens() {
	t.own.PromptTokens = 0
	for _, p := range t.prefilling {
		t.own.PromptTokens += p.remaining
	}
}

// advancePrefill reduces the pending prompts by what the engine has prefilled
// since the last call.
func (t *target) advancePrefill(now time.Time, engine *engine) {
	elapsed := now.Sub(t.prefillUpdatedAt)
	t.prefillUpdatedAt = now
	total := t.load().PromptTokens
	if elapsed <= 0 || engine == nil || total <= 0 {
		return
	}
	remainingShare := max(0, 1-elapsed.Seconds()*engine.prefillRate(t)/t.reports.Factor(now, 0)/total)
	for _, p := range t.prefilling {
		p.remaining = max(p.remaining*remainingShare, p.tokens*minPendingShare)
	}
	t.updatePromptTokens()
	for source, l := range t.remote {
		l.PromptTokens = max(l.PromptTokens*remainingShare, l.reportedPromptTokens*minPendingShare)
		t.remote[source] = l
	}
}
