// Package links knows whether this node can reach targets at all. A failed connection
// says nothing of its target if no other target can be reached either: the node has then
// lost its links, while the other nodes may have theirs.
package links

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	// sampleSize is how many targets are tried at the same time after one alone has failed,
	// before the links count as lost: several targets may be down. A sound one costs one
	// connection.
	sampleSize = 4
	// minTargets is the least number of targets that must fail for the links to count as
	// lost.
	minTargets = 2
	// connectTimeout bounds one attempt to connect: two round trips between regions, and
	// the time that a busy target takes to accept.
	connectTimeout = 400 * time.Millisecond
	// suspectInterval is the minimum time between two checks for mere suspicions.
	suspectInterval = 250 * time.Millisecond
	// probeInterval is the time between two checks while the links are lost.
	probeInterval = 500 * time.Millisecond
	// requestQueue is how many callers of Verify may wait for a check to begin.
	requestQueue = 256
)

// Options configures a Monitor.
type Options struct {
	// Service is the service of the targets, empty for all.
	Service string
	// Targets returns the targets that are in use.
	Targets func() []*catalog.Target
	// Connect opens a connection to a target.
	Connect func(ctx context.Context, to upstream.Address) error
	// OnLost and OnRegained are called when the links are lost or back.
	OnLost, OnRegained func()
	Logger             *log.Logger
}

// Monitor checks whether this node has links to some targets. Its methods may be called by any
// goroutine.
type Monitor struct {
	options  Options
	lost     atomic.Bool
	requests chan chan bool
	suspects chan struct{}
	done     chan struct{}
	// heard is when a byte last arrived from any of the targets, in nanoseconds since
	// started.
	heard   atomic.Int64
	started time.Time
}

// NewMonitor returns a monitor that takes the links to work until Run has found otherwise.
func NewMonitor(options Options) *Monitor {
	return &Monitor{
		options: options, requests: make(chan chan bool, requestQueue), suspects: make(chan struct{}, 1), done: make(chan struct{}),
		started: time.Now(),
	}
}

// Linked reports whether the links worked at the last check.
func (m *Monitor) Linked() bool { return !m.lost.Load() }

func (m *Monitor) recordHeard() { m.heard.Store(int64(time.Since(m.started))) }

// heardSince reports whether a byte has arrived from any of the targets since a time.
func (m *Monitor) heardSince(since time.Time) bool {
	return m.heard.Load() > int64(since.Sub(m.started))
}

// Suspect has the links checked soon, because a target could not be reached.
func (m *Monitor) Suspect() {
	select {
	case m.suspects <- struct{}{}:
	default:
	}
}

// Verify reports whether this node reaches any target, by a check that begins after the
// call. It returns false if that is not known before ctx ends.
func (m *Monitor) Verify(ctx context.Context) bool {
	reply := make(chan bool, 1)
	select {
	case m.requests <- reply:
	case <-m.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case linked := <-reply:
		return linked
	case <-m.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Run checks the links when asked to, and at intervals while they are lost, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.done)
	var checked time.Time
	for {
		replies, ok := m.await(ctx, checked)
		if !ok {
			return
		}
		linked := m.check(ctx)
		checked = time.Now()
		for _, r := range replies {
			r <- linked
		}
	}
}

// await waits until a check is due, and returns who waits for it. It returns false if ctx
// ended.
func (m *Monitor) await(ctx context.Context, checked time.Time) (replies []chan bool, ok bool) {
	var due <-chan time.Time
	if m.lost.Load() {
		due = time.After(time.Until(checked.Add(probeInterval)))
	}
	for {
		select {
		case r := <-m.requests:
			replies = append(replies, r)
			for len(m.requests) > 0 {
				replies = append(replies, <-m.requests)
			}
			return replies, true
		case <-m.suspects:
			due = time.After(time.Until(checked.Add(suspectInterval)))
		case <-due:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// check tries targets and records whether one of them could be reached.
func (m *Monitor) check(ctx context.Context) bool {
	targets := usable(m.options.Targets())
	if len(targets) < minTargets {
		return m.record(true, 0)
	}
	if m.reachesAny(ctx, targets[:1]) {
		return m.record(true, 1)
	}
	others := targets[1:min(1+sampleSize, len(targets))]
	return m.record(!m.lost.Load() && m.reachesAny(ctx, others) || ctx.Err() != nil, 1+len(others))
}

// usable returns the targets that stay, or all if there are too few, in random order.
func usable(targets []*catalog.Target) []*catalog.Target {
	var staying []*catalog.Target
	for _, t := range targets {
		if !t.Draining {
			staying = append(staying, t)
		}
	}
	if len(staying) < minTargets {
		staying = append(staying[:0], targets...)
	}
	rand.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	return staying
}

// reachesAny reports whether one of some targets accepts a connection. It does not wait
// for the others.
func (m *Monitor) reachesAny(ctx context.Context, targets []*catalog.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- m.options.Connect(ctx, upstream.Address{ID: t.ID, Host: t.Address}) }()
	}
	for range targets {
		if <-results == nil {
			return true
		}
	}
	return false
}

// record records the outcome of a check and returns it.
func (m *Monitor) record(linked bool, tried int) bool {
	if m.lost.Swap(!linked) == !linked {
		return linked
	}
	if linked {
		m.options.Logger.Info().Str("event", "links_regained").Str("service", m.options.Service).Int("targets_tried", tried).Msg("")
		m.options.OnRegained()
	} else {
		m.options.Logger.Warn().Str("event", "links_lost").Str("service", m.options.Service).Int("targets_tried", tried).Msg("")
		m.options.OnLost()
	}
	return linked
}
