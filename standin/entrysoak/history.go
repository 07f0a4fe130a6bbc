package entrysoak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a caller and what came of it.
type request struct {
	id, route, key string
	node           string
	sent, ended    time.Time
	status         int
	body           string
	err            error
}

// trouble is a disturbance of one thing, from its begin to its end. Planned
// trouble is what nodes have to bear without harm to callers.
type trouble struct {
	what, subject string
	planned       bool
	begin, end    time.Time
}

// acknowledged is a change of the configuration or of the targets that the store
// has taken.
type acknowledged struct {
	at time.Time
	// key was taken away, or worker began to leave.
	key, worker string
}

// history is what callers saw and what was done to the system.
type history struct {
	mu       sync.Mutex
	requests []request
	troubles []*trouble
	acks     []acknowledged
	found    []string
	leaving  map[string]bool
}

func (h *history) add(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// begin records trouble; the returned function ends it.
func (h *history) begin(what, subject string, planned bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &trouble{what: what, subject: subject, planned: planned, begin: time.Now()}
	h.troubles = append(h.troubles, t)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		t.end = time.Now()
	}
}

func (h *history) ack(a acknowledged) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.at = time.Now()
	h.acks = append(h.acks, a)
}

func (h *history) violation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.found = append(h.found, fmt.Sprintf(format, args...))
}

// once reports whether it is asked for the first time about a worker.
func (h *history) once(worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving == nil {
		h.leaving = make(map[string]bool)
	}
	first := !h.leaving[worker]
	h.leaving[worker] = true
	return first
}

// ended reports whether someone meant a node's process to end lately.
func (h *history) ended(node string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.troubles {
		meant := t.what == "kill" || t.what == "stop"
		if meant && t.subject == node && (t.end.IsZero() || time.Since(t.end) < contact) {
			return true
		}
	}
	return false
}

// calmSince reports whether there was planned trouble at most since an instant.
func (h *history) calmSince(from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calm(from, time.Now(), true)
}

// calm reports whether nothing disturbed the system between two instants. With
// planned, planned trouble does not count.
func (h *history) calm(from, to time.Time, planned bool) bool {
	for _, t := range h.troubles {
		if planned && t.planned {
			continue
		}
		if t.begin.Before(to) && (t.end.IsZero() || t.end.After(from)) {
			return false
		}
	}
	return true
}

// wholeStream is the body of a stream that has all its events.
func wholeStream() string {
	var b strings.Builder
	for id := 1; id <= lastEvent; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// check judges the history against the promises. ran holds the workers that ran
// each request.
func (h *history) check(ran map[string][]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.found
	bad := func(r request, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s %s at %s, sent %s: ", r.route, r.id, r.node, r.sent.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	whole := wholeStream()
	for _, r := range h.requests {
		runs := len(ran[r.id])
		if r.route == "book" || r.route == "draft" {
			if runs > 1 {
				bad(r, "ran %d times", runs)
			}
			if runs > 0 && (r.status == 503 || r.status == 429) {
				bad(r, "answered %d, but ran", r.status)
			}
		}
		want := "answer to " + r.id
		if r.route == "chat" || r.route == "draft" {
			want = whole
		}
		if r.status == 200 && r.err == nil && r.body != want {
			bad(r, "a whole answer of %q", r.body)
		}
		if r.status == 200 && r.err != nil && !strings.HasPrefix(want, r.body) {
			bad(r, "part of an answer: %q", r.body)
		}
		h.checkChanges(r, ran[r.id], bad)
	}
	return found
}

// checkChanges judges one request against the changes that were acknowledged
// before it was sent.
func (h *history) checkChanges(r request, ran []string, bad func(request, string, ...any)) {
	for _, a := range h.acks {
		after := r.sent.Sub(a.at)
		if a.key == r.key && after > revocation && len(ran) > 0 {
			bad(r, "ran %v after its key was taken away", after)
		}
		for _, worker := range ran {
			if worker == a.worker && after > drain && h.calm(a.at.Add(-contact), r.ended, false) {
				bad(r, "reached %s %v after it began to leave", worker, after)
			}
		}
	}
	if r.err != nil && len(ran) > 0 && h.calm(r.sent.Add(-contact), r.ended, true) {
		bad(r, "was cut although there was planned trouble at most: %v", r.err)
	}
}
