package quota

import (
	"sync"
	"time"
)

// RetryLimits bound the requests sent to a further target within a window, over
// all nodes: Ratio times the requests, plus Extra.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// ratioShare is the part of the ratio that is used: the window that ends with
	// a retry may reach over two of the windows in which retries are counted.
	ratioShare = 0.5
	// extraShare is the part of a node's share of the extra that is used: a node
	// that ends and starts anew within a window knows nothing of what it used.
	extraShare = 0.5
)

// Retries is one node's part of the retries of all services.
type Retries struct {
	mu       sync.Mutex
	limits   RetryLimits
	nodes    int
	services map[string]*retries
}

// retries counts the first and the further sends of one service.
type retries struct {
	first, further window
}

// NewRetries returns a Retries that uses nothing of the extra until it knows how
// many nodes share it.
func NewRetries(limits RetryLimits) *Retries {
	return &Retries{limits: limits, services: make(map[string]*retries)}
}

// ApplyLimits sets the limits. What was counted before is kept if the window is
// the same.
func (r *Retries) ApplyLimits(limits RetryLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limits.Window != r.limits.Window {
		clear(r.services)
	}
	r.limits = limits
}

// SetNodes sets how many nodes share the extra, 0 if that is not known.
func (r *Retries) SetNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// Sent implements gateway.RetryBudget.
func (r *Retries) Sent(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).first.add(time.Now(), 1)
}

// Again implements gateway.RetryBudget.
func (r *Retries) Again(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	now := time.Now()
	s.first.advance(now)
	s.further.advance(now)
	allowed := ratioShare * r.limits.Ratio * s.first.sum
	if r.nodes > 0 {
		allowed += extraShare * r.limits.Extra / float64(r.nodes)
	}
	if s.further.sum+1 > allowed {
		return false
	}
	s.further.add(now, 1)
	return true
}

func (r *Retries) service(name string) *retries {
	s := r.services[name]
	if s == nil {
		now := time.Now()
		s = &retries{first: newWindow(r.limits.Window, now), further: newWindow(r.limits.Window, now)}
		r.services[name] = s
	}
	return s
}
