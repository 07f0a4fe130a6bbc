package hedge

import (
	"maps"
	"sync"
	"time"
)

// Outcome is what became of a copy.
type Outcome string

// The outcomes of copies.
const (
	// Sent counts every copy that was sent; the other outcomes count how these ended.
	Sent Outcome = "sent"
	// Won means that the copy's response was used and the first one cancelled.
	Won Outcome = "won"
	// Cancelled means that the first target has responded, or that the request has ended.
	Cancelled Outcome = "cancelled"
	// Failed means that the copy's target refused it or sent no usable response.
	Failed Outcome = "failed"
)

// Options configures a Manager.
type Options struct {
	// MaxShare is the share of the requests of a service that may be sent a second time.
	MaxShare float64
	// AllowRetry takes a copy from the retry budget, which holds over all nodes, or reports
	// that it has no room for one.
	AllowRetry func(service string) bool
	// Count records what became of a copy in the metrics.
	Count func(service, outcome string)
}

// Manager learns the times of responses and counts requests and copies of this node. Since no
// node sends more copies than the share of its own requests, neither do all nodes together.
// Its methods are safe for concurrent use.
type Manager struct {
	options Options

	mu       sync.Mutex
	maxShare float64
	services map[string]*usageWindow
	routes   map[routeKey]*times
}

// forgetAfter is how long the times of a route that no request uses are kept at least. They
// are dropped when another route is used for the first time.
const forgetAfter = 10 * time.Minute

type routeKey struct{ service, route string }

// NewManager returns a Manager that knows no times yet.
func NewManager(options Options) *Manager {
	return &Manager{
		options: options, maxShare: options.MaxShare,
		services: make(map[string]*usageWindow), routes: make(map[routeKey]*times),
	}
}

// SetMaxShare changes the share of the requests that may be sent a second time.
func (m *Manager) SetMaxShare(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxShare = share
}

// RecordRequest counts a request that is sent to its first target.
func (m *Manager) RecordRequest(service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.maxShare <= 0 {
		return
	}
	m.window(service, now).add(now, Usage{Requests: 1})
}

// RecordTime records the time from sending a request to its first event or its response. For
// a request that was given up before, it is the time until then, provided that this exceeds
// the delay: without the slowest, the delay would sink with each copy that wins.
func (m *Manager) RecordTime(service, route string, d time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.maxShare <= 0 {
		return
	}
	key := routeKey{service, route}
	t := m.routes[key]
	if t == nil {
		maps.DeleteFunc(m.routes, func(_ routeKey, other *times) bool { return now.Sub(other.last) > forgetAfter })
		t = &times{began: now}
		m.routes[key] = t
	}
	t.add(now, d)
}

// Delay returns how long a request of a route waits for its first event or its response
// before a copy is sent, or false if none is.
func (m *Manager) Delay(service, route string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.routes[routeKey{service, route}]
	if m.maxShare <= 0 || t == nil {
		return 0, false
	}
	return t.slow()
}

// Decide decides whether a copy of a request may be sent now.
func (m *Manager) Decide(service string, now time.Time) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Decide(m.window(service, now).usage(now), m.maxShare)
}

// Take counts a copy that is about to be sent, in the limit and in the retry budget, or
// returns why it must not be sent.
func (m *Manager) Take(service string, now time.Time) (Reason, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.window(service, now)
	if v := Decide(w.usage(now), m.maxShare); !v.Send {
		return v.Reason, false
	}
	if !m.options.AllowRetry(service) {
		return ReasonRetries, false
	}
	w.add(now, Usage{Copies: 1})
	return "", true
}

// RecordRefusal records that no target was granted to a copy.
func (m *Manager) RecordRefusal(service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.window(service, now).refusedAt = now
}

// Count records what became of a copy.
func (m *Manager) Count(service string, o Outcome) { m.options.Count(service, string(o)) }

func (m *Manager) window(service string, now time.Time) *usageWindow {
	w := m.services[service]
	if w == nil {
		maps.DeleteFunc(m.services, func(_ string, other *usageWindow) bool { return other.usage(now) == (Usage{}) })
		w = &usageWindow{}
		m.services[service] = w
	}
	return w
}

const (
	// windowLength is how long requests count for copies. A node with two requests a second
	// may send three copies in it at a share of 0.05.
	windowLength = 30 * time.Second
	windowSlots  = 30
)

// usageWindow is a sliding sum over windowLength.
type usageWindow struct {
	start time.Time
	last  int64
	slots [windowSlots]Usage
	sum   Usage
	// refusedAt is when a copy was last refused a target.
	refusedAt time.Time
}

func (w *usageWindow) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start) / (windowLength / windowSlots))
	for range min(slot-w.last, windowSlots) {
		w.last++
		s := &w.slots[w.last%windowSlots]
		w.sum.Requests -= s.Requests
		w.sum.Copies -= s.Copies
		*s = Usage{}
	}
	w.last = max(slot, w.last)
}

func (w *usageWindow) add(now time.Time, u Usage) {
	w.advance(now)
	s := &w.slots[w.last%windowSlots]
	s.Requests += u.Requests
	s.Copies += u.Copies
	w.sum.Requests += u.Requests
	w.sum.Copies += u.Copies
}

func (w *usageWindow) usage(now time.Time) Usage {
	w.advance(now)
	u := w.sum
	u.Refused = !w.refusedAt.IsZero() && now.Sub(w.refusedAt) < refusalPause
	return u
}
