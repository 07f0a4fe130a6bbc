package balance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/fairshare"
)

const (
	// eventQueueSize is how many events may wait for the manager's goroutine.
	eventQueueSize = 1024
	// tickInterval is how often waiting requests are reconsidered without an
	// event.
	tickInterval = 10 * time.Millisecond
)

// Reasons of refusals that do not depend on the targets' load.
const (
	ReasonNoTarget  = "no_target"
	ReasonNoVersion = "no_target_of_version"
	ReasonStopping  = "stopping"
	// ReasonNoFreeSlot is that of a request that must not wait.
	ReasonNoFreeSlot = "no_free_slot"
)

// Refusal is the error for a request that gets no target.
type Refusal struct {
	Reason string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no target can serve the request: %s; retry after %v", r.Reason, r.RetryAfter)
}

// Options configures a Manager.
type Options struct {
	Node string
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Drain is the time after which a target that leaves must get no requests.
	Drain  time.Duration
	Logger *log.Logger
	// Publish is called on each change of this node's use of a target.
	Publish func(target string, own Use)
	// PublishSend is called for each request that is sent to a target with a limit.
	PublishSend func(target string)
	// PublishQueue is called on each change of the number of requests of a tier
	// that wait at this node and can still meet their goal.
	PublishQueue func(service string, tier, waiting int)
	// FairShares makes teams of the same tier share the capacity of a service fairly while
	// requests wait. PublishShare is then called with the work of each of them, a few times a
	// second, while requests wait and for some seconds afterwards; nil if no other node needs it.
	FairShares   bool
	PublishShare func(service string, k fairshare.Key, u fairshare.Use)
}

// Manager owns this node's view of the targets' load. Its methods may be called
// by any goroutine.
type Manager struct {
	options  Options
	events   chan event
	done     chan struct{}
	location location
	pools    map[string]*pool
	// remote holds the loads reported by other nodes and zones, by source and
	// target.
	remote       map[string]map[string]Use
	remoteQueues remoteQueues
	// changed holds the pools that changed since their requests were last
	// assigned.
	changed map[*pool]bool
	// limited holds the targets with a limit that was stated to this node, and brittle
	// those that have said to it that they are.
	limited, brittle targetSet
	// signals holds what targets have asked of this node.
	signals signalRecords
	// heardShare is the share of the nodes that this node hears, itself included.
	heardShare float64
}

// event changes the manager's state; it is applied by the manager's goroutine.
type event interface {
	apply(m *Manager, now time.Time)
}

// NewManager returns a manager without targets.
func NewManager(options Options) *Manager {
	return &Manager{
		options:      options,
		events:       make(chan event, eventQueueSize),
		done:         make(chan struct{}),
		location:     location{zone: options.Zone, regions: options.Regions},
		pools:        make(map[string]*pool),
		remote:       make(map[string]map[string]Use),
		remoteQueues: newRemoteQueues(options.Node, options.Regions),
		changed:      make(map[*pool]bool),
		heardShare:   1,
	}
}

// Run applies events until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	limitCheck := time.NewTicker(limitCheckInterval)
	defer limitCheck.Stop()
	for {
		// An idle node is not woken by the tickers.
		var due, limitsDue <-chan time.Time
		if m.anyWaiting() {
			due = tick.C
		}
		if m.limited.any() || m.brittle.any() {
			limitsDue = limitCheck.C
		}
		select {
		case e := <-m.events:
			m.applyEvents(e)
		case now := <-due:
			m.assignAll(now)
		case now := <-limitsDue:
			m.expireLimits(now)
			m.expireBrittle(now)
		case <-ctx.Done():
			return
		}
	}
}

// applyEvents applies an event and those queued behind it, and then assigns
// targets to waiting requests, so that events that arrive together cost one
// assignment.
func (m *Manager) applyEvents(e event) {
	now := time.Now()
	e.apply(m, now)
	for waiting := true; waiting; {
		select {
		case e := <-m.events:
			e.apply(m, now)
		default:
			waiting = false
		}
	}
	for p := range m.changed {
		delete(m.changed, p)
		m.assign(p, now)
	}
}

// markChanged marks a pool whose waiting requests may get a target now.
func (m *Manager) markChanged(p *pool) { m.changed[p] = true }

// submit sends an event to the manager's goroutine; once that has ended, events
// are dropped.
func (m *Manager) submit(e event) {
	select {
	case m.events <- e:
	case <-m.done:
	}
}

// anyWaiting reports whether a request waits for a target, or has until shortly before.
func (m *Manager) anyWaiting() bool {
	for _, p := range m.pools {
		if len(p.waiting) > 0 || p.sharing.publishes() {
			return true
		}
	}
	return false
}

// assignAll refuses requests that have waited too long, and assigns slots whose
// reserve time has passed.
func (m *Manager) assignAll(now time.Time) {
	for _, p := range m.pools {
		if len(p.waiting) > 0 {
			m.assign(p, now)
		} else {
			m.publishShares(p, now)
		}
	}
}

func (m *Manager) assign(p *pool, now time.Time) {
	p.assign(now, m.location, m.heardShare, &m.remoteQueues, assignCallbacks{
		assigned: func(w *waiter, c choice) {
			w.reply <- decision{choice: c}
			m.publish(c.target)
			if c.target.limit(now) > 0 {
				m.options.PublishSend(c.target.ID)
			}
		},
		refused: func(w *waiter, r *Refusal) { m.logRefused(p, w, r, now) },
	})
	for tier, waiting := range p.countOnTime(now) {
		if p.publishedWaiting[tier] != waiting {
			p.publishedWaiting[tier] = waiting
			m.options.PublishQueue(p.name, tier, waiting)
		}
	}
	m.publishShares(p, now)
}

// publish reports this node's use of a target to the other nodes.
func (m *Manager) publish(t *target) {
	m.options.Publish(t.ID, Use{Load: t.own, Step: seconds(t.speed.step), Limit: t.rate.own(time.Now()), Brittle: t.brittle.own(time.Now()), Report: t.reports.Observed()})
}

func (m *Manager) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{name: service, targets: make(map[string]*target), publishedWaiting: make(map[int]int)}
		if m.options.FairShares {
			p.sharing = newSharing()
		}
		m.pools[service] = p
	}
	return p
}

// Acquire waits for a target. The error is a *Refusal, or the cause of ctx.
func (m *Manager) Acquire(ctx context.Context, w *Work) (*Grant, error) {
	reply := make(chan decision, 1)
	wait := &waiter{work: w, reply: reply}
	m.submit(acquireRequested{wait})
	select {
	case d := <-reply:
		return m.newGrant(w, d)
	case <-m.done:
		return nil, &Refusal{Reason: ReasonStopping, RetryAfter: stoppingRetryAfter}
	case <-ctx.Done():
		m.submit(acquireCancelled{wait})
		return nil, context.Cause(ctx)
	}
}

func (m *Manager) newGrant(w *Work, d decision) (*Grant, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return NewGrant(d.choice.config, d.choice.prediction(), &inFlightRequest{m, w, d.choice.target, d.choice.load, d.choice.pace, d.choice.granted}), nil
}

// ApplyTargets replaces the targets and services by those of a configuration.
func (m *Manager) ApplyTargets(targets []*catalog.Target, services map[string]*catalog.Service) {
	m.submit(targetsChanged{targets, services})
}

// acquireRequested adds a request that waits for a target.
type acquireRequested struct{ waiter *waiter }

func (e acquireRequested) apply(m *Manager, now time.Time) {
	p := m.pool(e.waiter.work.Service)
	if r := p.unservable(e.waiter.work); r != nil {
		e.waiter.reply <- decision{refusal: r}
		return
	}
	if p.engine != nil {
		p.engine.learnSlotSeconds(e.waiter.work)
	}
	p.waiting = append(p.waiting, e.waiter)
	m.markChanged(p)
}

// unservable returns the refusal of a request for which no target is known, or nil. A
// target that is down may be back in time; one that leaves is not.
func (p *pool) unservable(w *Work) *Refusal {
	if len(p.targets) == 0 {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter}
	}
	if w.Version == "" && w.Only == "" && len(w.Barred) == 0 {
		return nil
	}
	for _, t := range p.targets {
		if !t.leaves() && w.Allows(t.Target) {
			return nil
		}
	}
	return &Refusal{Reason: ReasonNoVersion, RetryAfter: noTargetRetryAfter}
}

// stoppingRetryAfter is short because the caller's next attempt can reach
// another node at once.
const stoppingRetryAfter = 50 * time.Millisecond

// noTargetRetryAfter is the time after which a service without targets may have
// got one.
const noTargetRetryAfter = time.Second

// acquireCancelled removes a request whose caller no longer waits. If the
// request got a target in the meantime, its slot is released.
type acquireCancelled struct{ waiter *waiter }

func (e acquireCancelled) apply(m *Manager, now time.Time) {
	p := m.pool(e.waiter.work.Service)
	for i, w := range p.waiting {
		if w == e.waiter {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			m.markChanged(p)
			return
		}
	}
	select {
	case d := <-e.waiter.reply:
		if d.refusal == nil {
			requestEnded{request: &inFlightRequest{m, e.waiter.work, d.choice.target, d.choice.load, d.choice.pace, d.choice.granted}, result: Unsent}.apply(m, now)
		}
	default:
	}
}

// targetsChanged is a new list of targets and services.
type targetsChanged struct {
	targets  []*catalog.Target
	services map[string]*catalog.Service
}

func (e targetsChanged) apply(m *Manager, now time.Time) {
	lists := make(map[string][]*catalog.Target)
	for _, t := range e.targets {
		lists[t.Service] = append(lists[t.Service], t)
	}
	for name := range m.pools {
		if _, ok := lists[name]; !ok {
			lists[name] = nil
		}
	}
	for name, list := range lists {
		p := m.pool(name)
		if s := e.services[name]; s != nil {
			p.setEngine(s.Engine)
		}
		for _, t := range p.setTargets(list, now) {
			m.restoreRemoteLoads(t)
			m.restoreSignals(t, now)
		}
		p.refuseUnservable()
		m.markChanged(p)
		if e.services[name] == nil && p.unused() {
			delete(m.pools, name)
		}
	}
	m.forgetSignals(now)
}

// needsOtherTargets reports whether some targets of the service are of no use to the
// request, because it needs a certain version or target: then it takes no slot of theirs.
func (p *pool) needsOtherTargets(w *Work) bool {
	for _, t := range p.targets {
		if w.Version != "" && t.Version != w.Version || w.Only != "" && t.ID != w.Only {
			return true
		}
	}
	return false
}

// refuseUnservable refuses the waiting requests for which no target is left, as those that
// arrive now are refused. They can still be served by another service, if a change of the
// configuration has moved their route.
func (p *pool) refuseUnservable() {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		r := p.unservable(w.work)
		if r != nil {
			w.reply <- decision{refusal: r}
		}
		return r != nil
	})
}

// setEngine applies the engine settings of a service; c is nil for a plain
// service.
func (p *pool) setEngine(c *catalog.Engine) {
	if c == nil {
		p.engine = nil
		return
	}
	if p.engine == nil {
		p.engine = newEngine()
	}
	p.engine.slots = c.Slots
	p.engine.cacheTokens = float64(c.CacheTokens)
	p.engine.eventTokens = float64(c.EventTokens)
}
