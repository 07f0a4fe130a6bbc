// Package owner gives requests their targets from one place in each availability
// zone. The node that owns the zone counts what is outstanding at the targets and
// keeps the queue; the other nodes of the zone ask it and send their requests
// themselves. While the owner does not answer, a node decides alone from what it
// has heard: slower, because several nodes may choose the same free slot.
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
	"github.com/primrosemoor/primrosemoor/peer"
)

const (
	// checkInterval is how often the owner is looked up, and how often an owner
	// shows that it is alive while it is asked.
	checkInterval = 50 * time.Millisecond
	// silentAfter is the time without a word after which an owner that is asked
	// counts as failed: several of its signs of life, and more than a node pauses
	// whose processor share comes in slices of a tenth of a second.
	silentAfter = 300 * time.Millisecond
	// redialInterval is the time between two attempts to reach an owner.
	redialInterval = 200 * time.Millisecond
	// connectTimeout bounds the opening of a link within the zone.
	connectTimeout = 400 * time.Millisecond
	// maxDeclined bounds the grants that a node declines for one request, because
	// it knows that the target leaves.
	maxDeclined = 3
)

// Balancer is this node's own.
type Balancer interface {
	Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error)
	Adopt(w *balance.Work, target string, read bool) balance.Reporter
}

// Members tells who owns this node's zone.
type Members interface {
	Owner() datastore.Node
	// Hears reports whether a node is heard of.
	Hears(n datastore.Node) bool
}

// Targets tells what this node knows of a target.
type Targets interface {
	// Target returns what this node knows of a target, nil if it never heard of it.
	// One that has left counts as draining.
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

// Manager finds targets through the owner of this node's zone, and answers other
// nodes while this one owns it. Its methods may be called by any goroutine.
type Manager struct {
	options Options

	mu sync.Mutex
	// link is the one to the present owner, nil while there is none.
	link *link
	// demoted are links to former owners that still have requests.
	demoted []*link
	// dialing is set while a link is opened; next is when one may be again.
	dialing bool
	next    time.Time
}

// NewManager returns a manager that decides alone until it runs.
func NewManager(options Options) *Manager {
	return &Manager{options: options}
}

// Run keeps a link to the owner until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.check(ctx, &running, now)
		case <-ctx.Done():
			m.closeAll()
			return
		}
	}
}

// check follows changes of the owner, ends links that have failed or are not
// needed any more, and opens the one that is.
func (m *Manager) check(ctx context.Context, running *sync.WaitGroup, now time.Time) {
	owner := m.options.Members.Owner()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link != nil && (m.link.to != owner.Name || m.link.ended()) {
		m.link.release()
		m.demoted = append(m.demoted, m.link)
		m.link = nil
	}
	m.demoted = slices.DeleteFunc(m.demoted, func(l *link) bool {
		if l.ended() {
			return true
		}
		if l.idle() || !m.options.Members.Hears(datastore.Node{Name: l.to, Zone: owner.Zone}) {
			l.fail(errNotOwner)
			return true
		}
		return false
	})
	for _, l := range append(m.demoted, m.link) {
		if l != nil && l.silent(now) {
			l.fail(errSilent)
		}
	}
	if m.link != nil || m.dialing || owner.Name == m.options.Self || now.Before(m.next) {
		return
	}
	m.dialing, m.next = true, now.Add(redialInterval)
	running.Go(func() { m.connect(ctx, owner) })
}

// connect opens a link to the owner and serves it until it ends.
func (m *Manager) connect(ctx context.Context, owner datastore.Node) {
	dial, cancel := context.WithTimeout(ctx, connectTimeout)
	l, err := open(dial, m.options.Pool, owner, m.options.Balancer)
	cancel()
	m.mu.Lock()
	m.dialing = false
	if err == nil {
		m.link = l
	}
	m.mu.Unlock()
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
	for _, l := range append(m.demoted, m.link) {
		if l != nil {
			l.fail(context.Canceled)
		}
	}
}

// current returns the link to the owner, nil if this node is to decide itself.
func (m *Manager) current() *link {
	owner := m.options.Members.Owner().Name
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link == nil || m.link.to != owner {
		return nil
	}
	return m.link
}

// Linked reports whether this node asks another one, the owner of its zone.
func (m *Manager) Linked() bool { return m.current() != nil }

// Acquire waits for a target. The error is a *balance.Refusal, or the cause of
// ctx.
func (m *Manager) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	declined := 0
	for declined < maxDeclined {
		l := m.current()
		if l == nil {
			break
		}
		granted, err := l.ask(ctx, w)
		if errors.Is(err, errMoved) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if granted == nil {
			break
		}
		if target := m.agreed(granted.target); target != nil {
			return balance.NewGrant(target, granted.seen, granted), nil
		}
		granted.Ended(balance.Unsent, balance.Sample{})
		w = without(w, granted.target.ID)
		declined++
	}
	return m.options.Balancer.Acquire(ctx, w)
}

// agreed returns the target that the owner chose, or nil if this node knows that it
// leaves. A target that started after the one this node knows is a new one.
func (m *Manager) agreed(chosen *catalog.Target) *catalog.Target {
	known := m.options.Targets.Target(chosen.ID)
	switch {
	case known == nil || known.Started < chosen.Started:
		return chosen
	case known.Draining:
		return nil
	default:
		return known
	}
}

// without returns the work with one target more that is not to be chosen.
func without(w *balance.Work, target string) *balance.Work {
	c := *w
	c.Tried = append(slices.Clone(w.Tried), target)
	return &c
}
