// Package balance decides which target serves a request and in which order
// requests wait. Its decisions are functions of what is known of the targets'
// load, and need no network.
package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Work is one request that needs a target.
type Work struct {
	ID      string
	Service string
	// Tier is the request's rank; 0 is the most important.
	Tier int
	// Rank orders requests of the same tier: that of their route, where the tier is
	// the team's.
	Rank int
	// PromptTokens have to be read before the first event; 0 on plain services.
	PromptTokens float64
	// HintTokens is the caller's estimate of the answer's length, 0 if it has
	// none.
	HintTokens float64
	// Route names requests whose answers are alike in length.
	Route   string
	Arrived time.Time
	// Goal is when the answer, or a stream's first event, stops being on time.
	Goal time.Time
	// End is when the caller or the route gives up.
	End time.Time
	// Patience is when the caller leaves if no event has come.
	Patience time.Time
	// Tried are the targets that the request was sent to before.
	Tried []string
}

// Load is what is outstanding at a target.
type Load struct {
	// Requests counts requests that were sent and have not ended.
	Requests int
	// PromptTokens were sent and are not read yet, as far as is known.
	PromptTokens float64
}

// target is what is known of one target.
type target struct {
	*catalog.Target
	own Load
	// reading are this node's requests whose prompts are being read.
	reading map[*Work]*prompt
	// remote is what others have outstanding, by node or zone.
	remote map[string]told
	// read is when the prompt tokens were last reduced by what the engine reads.
	read time.Time
	// full is whether all slots were taken when last looked at, freed when that
	// ended.
	full  bool
	freed time.Time
	// pace is the learned speed.
	pace pace
	// health is the record of failures.
	health health
}

// load returns what all nodes have outstanding at the target.
func (t *target) load() Load {
	total := t.own
	for _, l := range t.remote {
		total.Requests += l.Requests
		total.PromptTokens += l.PromptTokens
	}
	return total
}

// told is the load of another node or zone.
type told struct {
	Load
	// prompts is what PromptTokens were when they were told.
	prompts float64
}

// noteFree records when a slot becomes free.
func (t *target) noteFree(now time.Time) {
	full := t.load().Requests >= t.Slots
	if t.full && !full {
		t.freed = now
	}
	t.full = full
}

// prompt is a prompt that is being read.
type prompt struct {
	tokens, left float64
}

// unreadShare of a prompt counts as unread until its first event has come,
// whatever time has passed: predictions of the reading time are too short as
// often as too long.
const unreadShare = 0.25

// send adds a request of this node.
func (t *target) send(w *Work, now time.Time) {
	t.own.Requests++
	t.reading[w] = &prompt{w.PromptTokens, w.PromptTokens}
	t.sumPrompts()
	t.noteFree(now)
}

// read notes that a request's prompt has been read.
func (t *target) wasRead(w *Work) {
	delete(t.reading, w)
	t.sumPrompts()
}

func (t *target) sumPrompts() {
	t.own.PromptTokens = 0
	for _, p := range t.reading {
		t.own.PromptTokens += p.left
	}
}

// advance takes off what the engine has read since the last call.
func (t *target) advance(now time.Time, engine *engine) {
	elapsed := now.Sub(t.read)
	t.read = now
	total := t.load().PromptTokens
	if elapsed <= 0 || engine == nil || total <= 0 {
		return
	}
	left := max(0, 1-elapsed.Seconds()*engine.readRate(t)/total)
	for _, p := range t.reading {
		p.left = max(p.left*left, p.tokens*unreadShare)
	}
	t.sumPrompts()
	for source, l := range t.remote {
		l.PromptTokens = max(l.PromptTokens*left, l.prompts*unreadShare)
		t.remote[source] = l
	}
}
