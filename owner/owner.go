// Package owner centralizes the choice of targets within each availability zone.
// The node that owns the zone counts the outstanding requests of the targets and
// keeps the queue; the other nodes of the zone request targets from it and send
// their requests to these targets themselves. While the owner does not answer, a
// node chooses targets from its own view of their load. Requests then take longer,
// because several nodes may choose the same free slot.
package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/peer"
)

const (
	// checkInterval is how often a node checks which node is the owner, and how
	// often an owner sends a heartbeat to a node that has pending requests.
	checkInterval = 50 * time.Millisecond
	// ownerTimeout is the time without any message after which an owner with
	// pending requests counts as failed. It spans several heartbeats, and exceeds
	// the pauses of a node whose CPU quota is granted in periods of 100 ms.
	ownerTimeout = 300 * time.Millisecond
	// redialInterval is the minimum time between two attempts to open a link.
	redialInterval = 200 * time.Millisecond
	// connectTimeout bounds an attempt to open a link; owners are in the same zone.
	connectTimeout = 400 * time.Millisecond
	// maxDeclined is how many grants a node declines for one request because the
	// granted target leaves or asks for a pause. The node then chooses a target itself.
	maxDeclined = 3
)

// Balancer chooses targets on this node.
type Balancer interface {
	Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error)
	Adopt(w *balance.Work, target string, prefillDone bool) balance.Reporter
	// RecordSignal records what a target asked of this node, and reports whether the
	// owner has to be told.
	RecordSignal(s balance.Signal) (isNew bool)
	// RecordLoad records the load that a target has just reported to this node, or to one
	// for which this node chooses targets.
	RecordLoad(target string, l loadreport.Load)
	// ForgiveFailures drops the failures of requests that a node sent to targets of a
	// service; the node is empty for this one, the service for all of them.
	ForgiveFailures(node, service string)
	// RecordRemoteSignal records what a target asked of another node.
	RecordRemoteSignal(node string, s balance.Signal)
	// Signals returns what targets have asked of this node and what still holds.
	Signals() []balance.Signal
	// MaySend reports whether this node may send a target a request that arrived at the
	// given time. It may not while a pause that the target asked for lasts, nor, once the
	// target leaves, if the request arrived too late.
	MaySend(t *catalog.Target, arrived time.Time) bool
	// Leaves reports whether a target has said that it leaves.
	Leaves(t *catalog.Target) bool
}

// Members is this node's view of the cluster membership.
type Members interface {
	// Owner returns the node that owns this node's zone.
	Owner() datastore.Node
	// IsReporting reports whether a node is reachable.
	IsReporting(n datastore.Node) bool
}

// Targets is this node's view of the targets.
type Targets interface {
	// Target returns the target with this id, or nil if it was never known. A target
	// that has left is returned as draining.
	Target(id string) *catalog.Target
}

// Options configures a Manager.
type Options struct {
	Self     string
	Balancer Balancer
	Members  Members
	Targets  Targets
	Pool     *peer.Pool
	Logger   *log.Logger
}

// Manager acquires targets from the owner of this node's zone, and serves the
// requests of other nodes while this node is the owner. Its methods are safe for
// concurrent use.
type Manager struct {
	options Options

	mu sync.Mutex
	// link is the link to the current owner, or nil.
	link *link
	// draining holds links to former owners that still have granted requests.
	draining []*link
	// dialing is set while a link is being opened; nextDial is the earliest time of
	// the next attempt.
	dialing  bool
	nextDial time.Time
}

// NewManager returns a manager that uses only this node's balancer until Run is
// called.
func NewManager(options Options) *Manager {
	return &Manager{options: options}
}

// Run maintains the link to the owner until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.updateLinks(ctx, &running, now)
		case <-ctx.Done():
			m.closeAll()
			return
		}
	}
}

// updateLinks drains the link to a former owner, closes links that have timed out
// or are no longer needed, and opens a link to the current owner.
func (m *Manager) updateLinks(ctx context.Context, running *sync.WaitGroup, now time.Time) {
	owner := m.options.Members.Owner()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link != nil && (m.link.ownerName != owner.Name || m.link.failed()) {
		m.link.drain()
		m.draining = append(m.draining, m.link)
		m.link = nil
	}
	m.draining = slices.DeleteFunc(m.draining, func(l *link) bool {
		if l.failed() {
			return true
		}
		if l.idle() || !m.options.Members.IsReporting(datastore.Node{Name: l.ownerName, Zone: owner.Zone}) {
			l.fail(errNotOwner)
			return true
		}
		return false
	})
	for _, l := range append(m.draining, m.link) {
		if l != nil && l.timedOut(now) {
			l.fail(errOwnerTimeout)
		}
	}
	if m.link != nil || m.dialing || owner.Name == m.options.Self || now.Before(m.nextDial) {
		return
	}
	m.dialing, m.nextDial = true, now.Add(redialInterval)
	running.Go(func() { m.runLink(ctx, owner) })
}

// runLink opens a link to the owner and runs it until it fails.
func (m *Manager) runLink(ctx context.Context, owner datastore.Node) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	l, err := openLink(dialCtx, m.options.Pool, owner, m.options.Balancer)
	cancel()
	m.mu.Lock()
	m.dialing = false
	if err == nil {
		m.link = l
	}
	m.mu.Unlock()
	if err == nil {
		// Signals that are recorded from now on are sent over the link.
		l.outbox.addSignals(m.options.Balancer.Signals()...)
	}
	if err != nil {
		m.options.Logger.Debug().Str("event", "owner_unreachable").Str("owner", owner.Name).Err(err).Msg("")
		return
	}
	err = l.run(ctx)
	if ctx.Err() == nil {
		m.options.Logger.Info().Str("event", "owner_link_ended").Str("owner", owner.Name).Err(err).Msg("")
	}
}

func (m *Manager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range append(m.draining, m.link) {
		if l != nil {
			l.fail(context.Canceled)
		}
	}
}

// currentLink returns the link to the current owner, or nil if there is none.
func (m *Manager) currentLink() *link {
	owner := m.options.Members.Owner().Name
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link == nil || m.link.ownerName != owner {
		return nil
	}
	return m.link
}

// latestLink returns the link that is open, or nil. Its node may be the owner again although
// another one seems to be at the moment.
func (m *Manager) latestLink() *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link
}

// Linked reports whether this node has a link to the current owner of its zone.
func (m *Manager) Linked() bool { return m.currentLink() != nil }

// Acquire waits for a target, chosen by the owner if this node has a link to it
// and by this node's balancer otherwise, or if only one may get the request. The error is a *balance.Refusal, or the
// cause of ctx.
func (m *Manager) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	declined := 0
	for declined < maxDeclined && w.Only == "" {
		l := m.currentLink()
		if l == nil {
			break
		}
		grant, err := l.acquire(ctx, w)
		if errors.Is(err, errOwnerChanged) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if grant == nil {
			break
		}
		if target := m.confirmTarget(grant.target, w); target != nil {
			return balance.NewGrant(target, grant.prediction, grant), nil
		}
		grant.Ended(balance.Unsent, balance.Sample{})
		w = excludeTarget(w, grant.target.ID)
		declined++
	}
	return m.options.Balancer.Acquire(ctx, w)
}

// RecordSignal records what a target asked of this node, here and at the owner.
func (m *Manager) RecordSignal(s balance.Signal) {
	isNew := m.options.Balancer.RecordSignal(s)
	if l := m.latestLink(); isNew && l != nil {
		l.outbox.addSignals(s)
	}
}

// RecordLoad records the load that a target has just reported to this node, here and with
// the next report on a request at the target at the owner.
func (m *Manager) RecordLoad(target string, l loadreport.Load) {
	m.options.Balancer.RecordLoad(target, l)
	if link := m.latestLink(); link != nil {
		link.recordLoad(target, l)
	}
}

// LinksLost says that this node has lost its links to all targets of a service. The
// failures of its requests then say nothing of these, here and at the owner.
func (m *Manager) LinksLost(service string) {
	m.options.Balancer.ForgiveFailures(thisNode, service)
	if l := m.latestLink(); l != nil {
		l.outbox.addLinksLost(service)
	}
}

// thisNode is the name of this node in calls of its own balancer.
const thisNode = ""

// MaySend reports whether this node may send a target a request that arrived at the given
// time. It may not while a pause that the target asked for lasts, nor, once the target
// leaves, if the request arrived too late.
func (m *Manager) MaySend(t *catalog.Target, arrived time.Time) bool {
	return m.options.Balancer.MaySend(t, arrived)
}

// Leaves reports whether a target is known to leave, or to have left: it has said so, or is
// listed as draining or no longer.
func (m *Manager) Leaves(t *catalog.Target) bool {
	known := m.options.Targets.Target(t.ID)
	return known != nil && known.Draining && known.Started == t.Started || m.options.Balancer.Leaves(t)
}

// confirmTarget returns the target that the owner chose, or nil if this node knows
// that it is draining, that the request cannot go there, or that it wants no request
// from this node. A target with the same
// ID and a later start time is a new target, which this node does not know yet.
func (m *Manager) confirmTarget(chosen *catalog.Target, w *balance.Work) *catalog.Target {
	known := m.options.Targets.Target(chosen.ID)
	switch {
	case known == nil || known.Started < chosen.Started:
		known = chosen
	case known.Draining:
		return nil
	}
	if !w.Allows(known) || !m.options.Balancer.MaySend(known, w.Arrived) {
		return nil
	}
	return known
}

// excludeTarget returns a copy of the work that must not go to the target.
func excludeTarget(w *balance.Work, target string) *balance.Work {
	c := *w
	c.Tried = append(slices.Clone(w.Tried), target)
	return &c
}
