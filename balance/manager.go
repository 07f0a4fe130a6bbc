package balance

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const (
	// eventQueue is how many events may wait for the manager.
	eventQueue = 1024
	// tickInterval is how often waiting requests are looked at without an event.
	tickInterval = 10 * time.Millisecond
)

// Reasons of refusals that say nothing of the targets' load.
const (
	ReasonNoTarget = "no_target"
	ReasonStopping = "stopping"
)

// Refusal is a request that gets no target.
type Refusal struct {
	Reason string
	// RetryAfter is when the caller may come back.
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
	// Regions gives the region of each availability zone.
	Regions map[string]string
	Logger  *log.Logger
	// Publish is told of each change of what this node has outstanding at a
	// target, and the learned time of one step, 0 if unknown.
	Publish func(target string, own Load, step time.Duration)
	// PublishQueue is told of each change of how many requests of a tier wait
	// here and can still be on time.
	PublishQueue func(service string, tier, waiting int)
}

// Manager owns what this node believes of the targets' load. Its methods may
// be called by any goroutine.
type Manager struct {
	options Options
	events  chan event
	done    chan struct{}
	place   place
	pools   map[string]*pool
	// remote holds the loads that others told, by source and target.
	remote map[string]map[string]Load
	claims claims
	// touched are the pools that changed since their requests were last assigned.
	touched map[*pool]bool
}

// event changes the manager's state; it is applied by the manager's goroutine.
type event interface {
	apply(m *Manager, now time.Time)
}

// NewManager returns a manager without targets.
func NewManager(options Options) *Manager {
	return &Manager{
		options: options,
		events:  make(chan event, eventQueue),
		done:    make(chan struct{}),
		place:   place{zone: options.Zone, regions: options.Regions},
		pools:   make(map[string]*pool),
		remote:  make(map[string]map[string]Load),
		claims:  newClaims(options.Node, options.Regions),
		touched: make(map[*pool]bool),
	}
}

// Run applies events until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-m.events:
			m.take(e)
		case now := <-tick.C:
			m.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// take applies an event and those that wait behind it, and then gives targets to
// the requests that wait: events that come together cost one look at them.
func (m *Manager) take(e event) {
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
	for p := range m.touched {
		delete(m.touched, p)
		m.assign(p, now)
	}
}

// touch marks a pool whose requests may get a target now.
func (m *Manager) touch(p *pool) { m.touched[p] = true }

// submit hands an event to the goroutine that owns the state; after its end the
// event is dropped.
func (m *Manager) submit(e event) {
	select {
	case m.events <- e:
	case <-m.done:
	}
}

// tick refuses what waited too long and serves what has become possible.
func (m *Manager) tick(now time.Time) {
	for _, p := range m.pools {
		if len(p.waiting) > 0 {
			m.assign(p, now)
		}
	}
}

func (m *Manager) assign(p *pool, now time.Time) {
	p.assign(now, m.place, &m.claims, func(w *waiter, c choice) {
		w.reply <- decision{choice: c}
		m.publish(c.target)
	})
	for tier, waiting := range p.counted(now) {
		if p.published[tier] != waiting {
			p.published[tier] = waiting
			m.options.PublishQueue(p.name, tier, waiting)
		}
	}
}

// publish tells the other nodes what this one has outstanding at a target.
func (m *Manager) publish(t *target) {
	step := time.Duration(t.pace.step * float64(time.Second))
	m.options.Publish(t.ID, t.own, step)
}

func (m *Manager) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{name: service, targets: make(map[string]*target), published: make(map[int]int)}
		m.pools[service] = p
	}
	return p
}

// Acquire waits for a target. The error is a *Refusal, or the cause of ctx.
func (m *Manager) Acquire(ctx context.Context, w *Work) (*Grant, error) {
	reply := make(chan decision, 1)
	wait := &waiter{work: w, reply: reply}
	m.submit(submitted{wait})
	select {
	case d := <-reply:
		return m.answer(w, d)
	case <-m.done:
		return nil, &Refusal{Reason: ReasonStopping, RetryAfter: stoppingRetry}
	case <-ctx.Done():
		m.submit(withdrawn{wait})
		return nil, context.Cause(ctx)
	}
}

func (m *Manager) answer(w *Work, d decision) (*Grant, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return NewGrant(d.choice.chosen, d.choice.seen(), &held{m, w, d.choice.target, d.choice.load}), nil
}

// ApplyTargets takes over the targets and services of a configuration.
func (m *Manager) ApplyTargets(targets []*catalog.Target, services map[string]*catalog.Service) {
	m.submit(targetsChanged{targets, services})
}

// PoolStatus is the present state of one service.
type PoolStatus struct {
	Service string
	// Slots and Taken are those of the targets that may be used; Taken is what
	// all nodes have outstanding there.
	Slots, Taken int
	Targets      []TargetStatus
	// Waiting counts this node's requests that wait, by tier.
	Waiting map[int]int
}

// TargetStatus is the present state of one target.
type TargetStatus struct {
	ID       string
	Draining bool
	// Load is what all nodes have outstanding there.
	Load Load
}

// Status returns the present state of all services, or nil if ctx or the manager ends first.
func (m *Manager) Status(ctx context.Context) []PoolStatus {
	reply := make(chan []PoolStatus, 1)
	m.submit(statusAsked{reply})
	select {
	case s := <-reply:
		return s
	case <-m.done:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// statusAsked is a question for the present state.
type statusAsked struct{ reply chan []PoolStatus }

func (e statusAsked) apply(m *Manager, now time.Time) {
	var list []PoolStatus
	for _, p := range m.pools {
		s := PoolStatus{Service: p.name, Waiting: make(map[int]int)}
		for _, t := range p.targets {
			s.Targets = append(s.Targets, TargetStatus{ID: t.ID, Draining: t.Draining, Load: t.load()})
			if !t.Draining && !t.health.paused(now) {
				s.Slots += t.Slots
				s.Taken += t.load().Requests
			}
		}
		for _, w := range p.waiting {
			s.Waiting[w.work.Tier]++
		}
		list = append(list, s)
	}
	e.reply <- list
}

// submitted is a new request.
type submitted struct{ waiter *waiter }

func (e submitted) apply(m *Manager, now time.Time) {
	p := m.pool(e.waiter.work.Service)
	if len(p.targets) == 0 {
		e.waiter.reply <- decision{refusal: &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetry}}
		return
	}
	p.waiting = append(p.waiting, e.waiter)
	m.touch(p)
}

// stoppingRetry lets the caller's next attempt reach another node at once.
const stoppingRetry = 50 * time.Millisecond

// noTargetRetry is when a target of a service without any may have appeared.
const noTargetRetry = time.Second

// withdrawn is a request whose caller no longer waits. It may have got a
// target meanwhile, which is then given back.
type withdrawn struct{ waiter *waiter }

func (e withdrawn) apply(m *Manager, now time.Time) {
	p := m.pool(e.waiter.work.Service)
	for i, w := range p.waiting {
		if w == e.waiter {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			m.touch(p)
			return
		}
	}
	select {
	case d := <-e.waiter.reply:
		if d.refusal == nil {
			ended{held: &held{m, e.waiter.work, d.choice.target, d.choice.load}, result: Unsent}.apply(m, now)
		}
	default:
	}
}

// targetsChanged is a new list of targets.
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
			p.describe(s.Engine)
		}
		for _, t := range p.apply(list, now) {
			m.recall(t)
		}
		m.touch(p)
	}
}

// describe takes over what the configuration says of the engines.
func (p *pool) describe(c *catalog.Engine) {
	if c == nil {
		p.engine = nil
		return
	}
	if p.engine == nil {
		p.engine = newEngine()
	}
	p.engine.slots = c.Slots
	p.engine.eventTokens = float64(c.EventTokens)
}
