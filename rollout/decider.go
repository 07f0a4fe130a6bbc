package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
)

const (
	// decideInterval is the time between two checks whether a phase ends. No check costs a
	// call to the store.
	decideInterval = 100 * time.Millisecond
	// readerDelay is how long a node must have been the one that reads the store for all
	// before it follows the orders: a node that starts takes itself for that one at first.
	readerDelay = time.Second
	// watchWait is how long a watch of the orders waits for changes.
	watchWait = 20 * time.Second
	// writeTimeout bounds a write of a status, and writeRetry is the time after one that
	// failed.
	writeTimeout = time.Second
	writeRetry   = 500 * time.Millisecond
)

// ErrChanged is returned by a write of a status on a revision that is not the current one.
var ErrChanged = errors.New("rollout: the order was changed by another writer")

// Decider follows the orders in the store while this node reads it for all nodes, and decides
// on the phases. Others take over once its lease has expired.
type Decider struct {
	Manager *Manager
	Source  datastore.Source[Object]
	// Write writes a status on a revision of an order's object and returns the object. With
	// ErrChanged that is the current one.
	Write func(ctx context.Context, name string, s Status, revision uint64) (Object, error)
	// Reads reports whether this node reads the store for all nodes.
	Reads func() bool
	// Running returns how many requests run at targets of a service that do not have the
	// version.
	Running func(service, version string) int
	Logger  *log.Logger

	// objects are the orders in the store by name, and leases those of their deciders. Only
	// Run and what it starts use them.
	objects map[string]Object
	leases  map[string]lease
	// listed is set once the store has named all orders since this node became the reader.
	listed bool
	// readsSince is when this node became the reader, 0 if it is not.
	readsSince clock.Instant
	retryAt    clock.Instant
	updates    chan map[string]Object
	stopFollow context.CancelFunc
}

// Run follows the orders and decides until ctx ends.
func (d *Decider) Run(ctx context.Context) {
	d.updates = make(chan map[string]Object)
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case objects := <-d.updates:
			d.apply(objects)
		case <-tick.C:
			d.checkReader(ctx)
		case <-ctx.Done():
			return
		}
		if d.stopFollow == nil {
			continue
		}
		d.Manager.confirm(d.listed, d.objects)
		for name := range d.objects {
			d.decide(ctx, name)
		}
	}
}

// checkReader begins or ends to follow the orders.
func (d *Decider) checkReader(ctx context.Context) {
	now := d.Manager.options.Now()
	switch reads := d.Reads(); {
	case !reads && d.stopFollow != nil:
		d.stopFollow()
		d.stopFollow, d.objects, d.leases, d.listed, d.readsSince = nil, nil, nil, false, 0
	case !reads:
		d.readsSince = 0
	case d.readsSince == 0:
		d.readsSince = now
	case d.stopFollow == nil && now.Sub(d.readsSince) >= readerDelay:
		d.follow(ctx)
	}
}

func (d *Decider) follow(ctx context.Context) {
	ctx, d.stopFollow = context.WithCancel(ctx)
	d.leases = make(map[string]lease)
	f := datastore.NewFollower(d.Source, "rollouts", d.Logger, d.Manager.options.Now)
	f.Wait = func() time.Duration { return watchWait }
	f.Apply = func(u datastore.Update[Object]) {
		if !u.Changed {
			return
		}
		select {
		case d.updates <- u.Items:
		case <-ctx.Done():
		}
	}
	go f.Run(ctx)
}

// apply applies the orders that the store holds.
func (d *Decider) apply(objects map[string]Object) {
	before := d.objects
	d.objects, d.listed = make(map[string]Object, len(objects)), true
	for name, o := range objects {
		if known, ok := before[name]; ok && known.Revision > o.Revision {
			o = known // This node has written it since.
		}
		d.keep(name, o)
	}
}

// keep records an order and the lease of its decider.
func (d *Decider) keep(name string, o Object) {
	d.objects[name] = o
	if o.Status != nil && d.leases[name].revision != o.Revision {
		d.leases[name] = lease{o.Status.Decider, o.Status.Lease, d.Manager.options.Now(), o.Revision}
	}
	d.Manager.observeObject(o)
}

// decide writes the status of an order if its phase ends or the lease is due.
func (d *Decider) decide(ctx context.Context, name string) {
	now, o, l := d.Manager.options.Now(), d.objects[name], d.leases[name]
	if o.Phase().Ended() || now < d.retryAt || !l.mayDecide(d.Manager.options.Process, now) {
		return
	}
	p, ok := d.Manager.progress(o.Order)
	if !ok {
		// A later order of an era of the store that has ended is dropped after removalDelay.
		d.Manager.observeObject(o)
		return
	}
	if p.Phase == Shifting {
		p.OldRunning = d.Running(o.Service, o.Target)
	}
	next := p.Next()
	if next == o.Phase() && !l.renewDue(d.Manager.options.Process, now) {
		return
	}
	status := Status{
		Phase: next, Target: o.Target, Order: o.Order.Revision, Duration: o.Duration, Decider: d.Manager.options.Process,
		Lease: leaseOf(o.Duration), Elapsed: p.Elapsed, Written: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := d.Write(ctx, name, status, o.Revision)
	if err != nil {
		d.retryAt = d.Manager.options.Now().Add(writeRetry)
		d.Logger.Warn().Str("event", "rollout_write_failed").Str("service", o.Service).Str("phase", next.String()).
			Uint64("revision", o.Revision).Err(err).Msg("")
	}
	if err == nil || errors.Is(err, ErrChanged) && written.Service != "" {
		d.keep(name, written)
	}
}

// observeObject applies an order as the store holds it.
func (m *Manager) observeObject(o Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, elapsed := m.options.Now(), time.Duration(0)
	if o.Status != nil {
		elapsed = o.Status.Elapsed
		if s := m.services[o.Service]; s == nil || s.rollout == nil || s.rollout.Revision != o.Order.Revision {
			// No node has told the time since the write, so that only the clocks know it. They
			// may be wrong.
			elapsed += min(max(0, time.Since(o.Status.Written)), o.Duration/2)
		}
	}
	m.observe(o.Order, o.Phase(), elapsed, false, now)
}

// confirm records that this node, which reads the store for all, knows the orders: those in
// the store or, while that has not answered since it became the reader, those that the
// nodes have told each other.
func (m *Manager) confirm(listed bool, objects map[string]Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !listed && !m.known {
		return
	}
	now := m.options.Now()
	m.recordKnown(now)
	inStore := make(map[uint64]bool, len(objects))
	for _, o := range objects {
		inStore[o.Order.Revision] = true
	}
	for _, s := range m.services {
		if s.rollout != nil && (!listed || inStore[s.rollout.Revision]) {
			s.rollout.heardAt = now
		}
	}
}

// recordKnown records when this node knew all orders. The lock must be held.
func (m *Manager) recordKnown(at clock.Instant) {
	isFirst := !m.known
	m.known, m.knownAt = true, max(m.knownAt, at)
	if isFirst {
		m.announce() // Requests that wait may go to other versions now.
	}
}

// progress returns what the next phase of an order depends on; ok is false if this node knows
// of a later order for the service.
func (m *Manager) progress(o Order) (p Progress, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[o.Service]
	if s == nil || s.rollout == nil || s.rollout.Revision != o.Revision {
		return Progress{}, false
	}
	now, r := m.options.Now(), s.rollout
	p = Progress{
		Phase: r.phase, Elapsed: now.Sub(r.began), InPhase: now.Sub(r.phaseSince), Duration: r.Duration,
		Bad: r.bad, Evidence: m.total(r).Evidence(TrialShare(m.options.Bound)),
	}
	for name, v := range s.versions {
		if name == r.Target {
			p.NewTargets += v.targets
		} else {
			p.OldTargets += v.targets
		}
	}
	return p, true
}
