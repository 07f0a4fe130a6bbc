package quota

import (
	"sync"
	"time"
)

// RetryLimits bounds the retries on another target within a window, over all
// nodes: Ratio times the requests, plus Extra.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// ratioShare is the fraction of the ratio that is used. The requests of two
	// counting windows may allow the retries of one span of a window's length, so
	// each may allow only half.
	ratioShare = 0.5
	// extraShare is the fraction that a node uses of its share of Extra, because a
	// node that restarts within a window has lost its count.
	extraShare = 0.5
)

// Retries is this node's share of the retry budget, counted per service.
type Retries struct {
	mu       sync.Mutex
	limits   RetryLimits
	nodes    int
	services map[string]*serviceRetries
}

// serviceRetries counts the first attempts and the retries of one service.
type serviceRetries struct {
	first, retries window
}

// NewRetries returns a Retries that uses nothing of limits.Extra until SetNodes
// has set how many nodes share it.
func NewRetries(limits RetryLimits) *Retries {
	return &Retries{limits: limits, services: make(map[string]*serviceRetries)}
}

// ApplyLimits sets the limits. The counts are kept if the window is unchanged.
func (r *Retries) ApplyLimits(limits RetryLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limits.Window != r.limits.Window {
		clear(r.services)
	}
	r.limits = limits
}

// SetNodes sets how many nodes share the budget's Extra; 0 means unknown.
func (r *Retries) SetNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// RecordFirstAttempt implements gateway.RetryBudget.
func (r *Retries) RecordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).first.add(time.Now(), 1)
}

// AllowRetry implements gateway.RetryBudget.
func (r *Retries) AllowRetry(service string) bool { return r.allow(service, 1) }

// hedgeShare is the fraction of the budget that second copies of slow requests may fill: a
// retry saves a request that would be lost otherwise, a copy only makes one faster.
const hedgeShare = 0.5

// AllowHedge takes a second copy of a slow request from the budget, or reports that more than
// hedgeShare of it is used.
func (r *Retries) AllowHedge(service string) bool { return r.allow(service, hedgeShare) }

// allow takes a send from a share of the budget, or reports that this is exhausted.
func (r *Retries) allow(service string, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	now := time.Now()
	s.first.advance(now)
	s.retries.advance(now)
	allowed := ratioShare * r.limits.Ratio * s.first.sum
	if r.nodes > 0 {
		allowed += extraShare * r.limits.Extra / float64(r.nodes)
	}
	if s.retries.sum+1 > share*allowed {
		return false
	}
	s.retries.add(now, 1)
	return true
}

func (r *Retries) service(name string) *serviceRetries {
	s := r.services[name]
	if s == nil {
		now := time.Now()
		s = &serviceRetries{first: newWindow(r.limits.Window, now), retries: newWindow(r.limits.Window, now)}
		r.services[name] = s
	}
	return s
}
