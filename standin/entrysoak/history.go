package entrysoak

import (
	"fmt"
	"sync"
	"time"
)

// request is one request of a caller with its response.
type request struct {
	id, route, key string
	node           string
	// resumes is the request whose stream this one takes up after an event; empty if none.
	resumes         string
	after           int
	sentAt, endedAt time.Time
	// writtenAt is when the last byte of the request was sent; zero means never.
	writtenAt time.Time
	// events is the number of events of a stream; 0 is eventsPerStream.
	events int
	// limit is the time limit of the request; 0 is that of its route.
	limit time.Duration
	// prompt and output are the tokens that the request names; 0 for none.
	prompt, output int
	// saysLeaving means that the response says that its worker leaves.
	saysLeaving bool
	// closes means that the node closes the connection after the response.
	closes bool
	status int
	body   string
	err    error
}

// disturbance is the period in which one part of the system, its subject, is
// disturbed. A planned disturbance, such as a graceful stop, must not affect callers.
type disturbance struct {
	kind, subject string
	planned       bool
	start, end    time.Time
}

// configVersion is a version of the configuration that the operator wrote.
type configVersion struct {
	version         int
	keys            []string
	sentAt, ackedAt time.Time
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
	// configs are the versions of the configuration in order.
	configs    []configVersion
	violations []string
	draining   map[string]bool
	serving    []serving
	// loaded is set if the nodes have more load than they can bear.
	loaded bool
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

func (h *history) addConfig(c configVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, c)
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
