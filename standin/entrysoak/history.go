package entrysoak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// request is one request of a caller with its response.
type request struct {
	id, route, key  string
	node            string
	sentAt, endedAt time.Time
	status          int
	body            string
	err             error
}

// disturbance is the period in which one part of the system, its subject, is
// disturbed. A planned disturbance, such as a graceful stop, must not affect callers.
type disturbance struct {
	kind, subject string
	planned       bool
	start, end    time.Time
}

// ackedChange is a change of the configuration or of the targets that the store has
// acknowledged.
type ackedChange struct {
	at time.Time
	// Either a key was revoked or a worker began to drain.
	revokedKey, drainingWorker string
}

// history records the callers' requests, the disturbances, the acknowledged changes
// and the violations found so far.
type history struct {
	mu           sync.Mutex
	requests     []request
	disturbances []*disturbance
	acks         []ackedChange
	violations   []string
	draining     map[string]bool
}

func (h *history) addRequest(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// beginDisturbance records the start of a disturbance; the returned function records
// its end.
func (h *history) beginDisturbance(kind, subject string, planned bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &disturbance{kind: kind, subject: subject, planned: planned, start: time.Now()}
	h.disturbances = append(h.disturbances, t)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		t.end = time.Now()
	}
}

func (h *history) ack(a ackedChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.at = time.Now()
	h.acks = append(h.acks, a)
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// markDraining marks a worker as draining and reports whether it was not before.
func (h *history) markDraining(worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining == nil {
		h.draining = make(map[string]bool)
	}
	first := !h.draining[worker]
	h.draining[worker] = true
	return first
}

// endExpected reports whether a node's process is being killed or stopped on purpose,
// or was within the last reconnectTime.
func (h *history) endExpected(node string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.disturbances {
		ends := t.kind == "kill" || t.kind == "stop"
		if ends && t.subject == node && (t.end.IsZero() || time.Since(t.end) < reconnectTime) {
			return true
		}
	}
	return false
}

// noUnplannedSince reports whether there has been no unplanned disturbance since the
// given time.
func (h *history) noUnplannedSince(from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undisturbed(from, time.Now(), true)
}

// undisturbed reports whether there was no disturbance between two points in time.
// With ignorePlanned, planned disturbances do not count.
func (h *history) undisturbed(from, to time.Time, ignorePlanned bool) bool {
	for _, t := range h.disturbances {
		if ignorePlanned && t.planned {
			continue
		}
		if t.start.Before(to) && (t.end.IsZero() || t.end.After(from)) {
			return false
		}
	}
	return true
}

// completeStream returns the body of a stream that has all its events.
func completeStream() string {
	var b strings.Builder
	for id := 1; id <= eventsPerStream; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// check returns the violations of the promises in the history. ranOn holds the workers
// that ran each request, once per run.
func (h *history) check(ranOn map[string][]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.violations
	report := func(r request, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s, sent %s: ", r.route, r.id, r.node, r.sentAt.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	stream := completeStream()
	for _, r := range h.requests {
		runs := len(ranOn[r.id])
		if r.route == "book" || r.route == "draft" {
			if runs > 1 {
				report(r, "ran %d times", runs)
			}
			if runs > 0 && (r.status == 503 || r.status == 429) {
				report(r, "answered %d, but ran", r.status)
			}
		}
		want := "answer to " + r.id
		if r.route == "chat" || r.route == "draft" {
			want = stream
		}
		if r.status == 200 && r.err == nil && r.body != want {
			report(r, "complete response with an unexpected body: %q", r.body)
		}
		if r.status == 200 && r.err != nil && !strings.HasPrefix(want, r.body) {
			report(r, "partial response that is no prefix of the expected body: %q", r.body)
		}
		h.checkAcks(r, ranOn[r.id], report)
	}
	return violations
}

// checkAcks checks that one request respects the changes that were acknowledged before
// it was sent, and that it was not cut off without an unplanned disturbance.
func (h *history) checkAcks(r request, ranOn []string, report func(request, string, ...any)) {
	for _, a := range h.acks {
		elapsed := r.sentAt.Sub(a.at)
		if a.revokedKey == r.key && elapsed > revocation && len(ranOn) > 0 {
			report(r, "ran %v after its key was revoked", elapsed)
		}
		for _, worker := range ranOn {
			if worker == a.drainingWorker && elapsed > drain && h.undisturbed(a.at.Add(-reconnectTime), r.endedAt, false) {
				report(r, "reached %s %v after it began to drain", worker, elapsed)
			}
		}
	}
	if r.err != nil && len(ranOn) > 0 && h.undisturbed(r.sentAt.Add(-reconnectTime), r.endedAt, true) {
		report(r, "was cut off without an unplanned disturbance: %v", r.err)
	}
}
