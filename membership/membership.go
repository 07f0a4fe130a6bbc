// Package membership finds out which nodes serve. Each node sends heartbeats
// to its availability zone's reporter, which keeps two objects of the object
// API: the zone's report, written when its members change, and a small
// summary, written once each report interval, that shows the zone to be alive.
// Reporters read the other zones' objects and pass them on in their replies,
// so that the other nodes need not read the object API. Any member takes over
// as reporter by conditional update. The view is a hint: nodes may briefly
// differ, and what must not happen twice is settled elsewhere.
package membership

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	defaultHeartbeatInterval = 400 * time.Millisecond
	defaultSuspectAfter      = 1200 * time.Millisecond
	defaultReportInterval    = time.Second
	defaultIsolatedAfter     = 10 * time.Second
)

// Peers sends heartbeats to other nodes.
type Peers interface {
	Heartbeat(ctx context.Context, address string, heartbeat *schema.Heartbeat) (*schema.HeartbeatReply, error)
}

// Options configures a Manager.
type Options struct {
	// Self is this node as the others shall see it.
	Self     *schema.Member
	Store    objects.Store
	Peers    Peers
	Settings *schema.MembershipSettings
	// Seeds are peer addresses that a new node asks while the object API is
	// unreachable; may be empty.
	Seeds []string
	// Logger may be nil.
	Logger *log.Logger
}

// Manager keeps this node's view of the members. One goroutine, Run, owns its
// state; the other methods may be called from any goroutine.
type Manager struct {
	store  objects.Store
	peers  Peers
	logger *log.Logger
	seeds  []string
	timing timing

	events  chan event
	stopped chan struct{}
	io      sync.WaitGroup

	published atomic.Pointer[published]
	liveness  liveness

	subscribersMu sync.Mutex
	subscribers   []func([]*schema.Member)

	// The Run goroutine owns what follows.
	ctx   context.Context
	state *state
}

// published is what other goroutines read.
type published struct {
	members     []*schema.Member
	leavingVMs  []string
	minRevision uint64
	newest      Holder
	reporter    string
	isolated    bool
}

// timing holds the settings as durations.
type timing struct {
	heartbeat time.Duration
	suspect   time.Duration
	report    time.Duration
	isolated  time.Duration
}

// event is one input of the Run goroutine.
type event interface {
	apply(m *Manager)
}

// New returns a Manager without members. It keeps a copy of options.Self.
func New(options Options) *Manager {
	m := &Manager{
		store:   options.Store,
		peers:   options.Peers,
		logger:  options.Logger,
		seeds:   options.Seeds,
		timing:  newTiming(options.Settings),
		events:  make(chan event),
		stopped: make(chan struct{}),
	}
	if m.logger == nil {
		m.logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	m.published.Store(&published{})
	m.state = newState(proto.CloneOf(options.Self))
	return m
}

func newTiming(s *schema.MembershipSettings) timing {
	return timing{
		heartbeat: orDefault(s.GetHeartbeatInterval().AsDuration(), defaultHeartbeatInterval),
		suspect:   orDefault(s.GetSuspectAfter().AsDuration(), defaultSuspectAfter),
		report:    orDefault(s.GetReportInterval().AsDuration(), defaultReportInterval),
		isolated:  orDefault(s.GetIsolatedAfter().AsDuration(), defaultIsolatedAfter),
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// Run serves until ctx ends, and returns its error. It must be called once.
func (m *Manager) Run(ctx context.Context) error {
	m.ctx = objects.WithPriority(ctx, objects.PriorityReport)
	defer m.io.Wait()
	defer close(m.stopped)
	m.state.started = time.Now()
	m.state.contact = time.Now()
	m.liveness.tick(time.Now())
	ticker := time.NewTicker(m.timing.heartbeat)
	defer ticker.Stop()
	m.tick(time.Now())
	for {
		select {
		case e := <-m.events:
			e.apply(m)
		case <-ticker.C:
			m.tick(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Members returns the members in order of their names. The slice and its
// elements must not be changed.
func (m *Manager) Members() []*schema.Member {
	return m.published.Load().members
}

// LeavingVMs returns the VMs that the platform lists as leaving.
func (m *Manager) LeavingVMs() []string {
	return m.published.Load().leavingVMs
}

// MinRevision returns the lowest configuration revision in force at any
// member, as far as this node was told.
func (m *Manager) MinRevision() uint64 {
	return m.published.Load().minRevision
}

// Reporter returns the node that this node takes for its zone's reporter.
func (m *Manager) Reporter() string {
	return m.published.Load().reporter
}

// Isolated reports whether this node has reached neither the object API nor a
// peer for the time set as isolated_after.
func (m *Manager) Isolated() bool {
	return m.published.Load().isolated
}

// Current reports whether the view may be acted upon. It is false in a process
// that was paused for longer than suspect_after, from its first instruction
// after the pause until it has heard from a peer or the object API again, or
// has tried for suspect_after. Callers check it immediately before an act.
func (m *Manager) Current() bool {
	return m.liveness.current(time.Now(), m.timing.suspect)
}

// Subscribe makes f receive the members now and after each change. It is
// called from one goroutine at a time and must not block.
func (m *Manager) Subscribe(f func([]*schema.Member)) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	f(m.Members())
}

// SetState announces a state of service.
func (m *Manager) SetState(s schema.MemberState) {
	m.send(stateEvent{s})
}

// SetRevision announces the configuration revision in force at this node.
func (m *Manager) SetRevision(revision uint64) {
	m.send(revisionEvent{revision})
}

// HandleHeartbeat answers a heartbeat from another node.
func (m *Manager) HandleHeartbeat(ctx context.Context, from peer.Identity, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	e := heardEvent{from: from, heartbeat: h, reply: make(chan *schema.HeartbeatReply, 1)}
	select {
	case m.events <- e:
		return <-e.reply, nil
	case <-m.stopped:
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_DRAINING,
			"the membership of this node has stopped", "ask another node of the zone")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// send posts an event without waiting for the Run goroutine, which may not
// have started yet.
func (m *Manager) send(e event) {
	go func() {
		select {
		case m.events <- e:
		case <-m.stopped:
		}
	}()
}

// start runs work beside the Run goroutine and posts its event.
func (m *Manager) start(work func(ctx context.Context) event) {
	ctx := m.ctx
	m.io.Go(func() {
		e := work(ctx)
		select {
		case m.events <- e:
		case <-m.stopped:
		}
	})
}
