// Package membership determines which nodes are in service. Each node sends
// heartbeats to its availability zone's reporter, which maintains two objects in
// the object API: the zone's report, written when its members change, and a
// small summary, written once each report interval, that shows that the zone is
// alive. Reporters read the other zones' objects and forward them in their
// replies, so that the other nodes need not read the object API. Any member can
// take over as reporter by a conditional update. The view is a hint: the views
// of nodes may differ briefly, and other packages guard what must not happen
// twice.
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
	// Self describes this node to the other members.
	Self     *schema.Member
	Store    objects.Store
	Peers    Peers
	Settings *schema.MembershipSettings
	// Seeds are peer addresses to which a new node sends heartbeats while it
	// cannot reach the object API; may be empty.
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

	events     chan event
	stopped    chan struct{}
	background sync.WaitGroup

	published     atomic.Pointer[publishedView]
	pauseDetector pauseDetector

	subscribersMu sync.Mutex
	subscribers   []func([]*schema.Member)

	// The fields below are used by the Run goroutine only.
	ctx   context.Context
	state *state
}

// publishedView is the part of the state that other goroutines read. It does not
// change once it is stored.
type publishedView struct {
	members     []*schema.Member
	leavingVMs  []string
	minRevision uint64
	newest      RevisionSource
	reporter    string
	isolated    bool
}

// timing holds the settings as durations.
type timing struct {
	heartbeatInterval time.Duration
	suspectAfter      time.Duration
	reportInterval    time.Duration
	isolatedAfter     time.Duration
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
	m.published.Store(&publishedView{})
	m.state = newState(proto.CloneOf(options.Self))
	return m
}

func newTiming(s *schema.MembershipSettings) timing {
	return timing{
		heartbeatInterval: orDefault(s.GetHeartbeatInterval().AsDuration(), defaultHeartbeatInterval),
		suspectAfter:      orDefault(s.GetSuspectAfter().AsDuration(), defaultSuspectAfter),
		reportInterval:    orDefault(s.GetReportInterval().AsDuration(), defaultReportInterval),
		isolatedAfter:     orDefault(s.GetIsolatedAfter().AsDuration(), defaultIsolatedAfter),
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// Run processes events until ctx is done and returns the error of ctx. It must
// be called once.
func (m *Manager) Run(ctx context.Context) error {
	m.ctx = objects.WithPriority(ctx, objects.PriorityReport)
	defer m.background.Wait()
	defer close(m.stopped)
	m.state.startedAt = time.Now()
	m.state.lastContact = time.Now()
	m.pauseDetector.tick(time.Now())
	ticker := time.NewTicker(m.timing.heartbeatInterval)
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

// Members returns the members sorted by node name. The slice and its elements
// must not be changed.
func (m *Manager) Members() []*schema.Member {
	return m.published.Load().members
}

// LeavingVMs returns the VMs that the platform lists as leaving.
func (m *Manager) LeavingVMs() []string {
	return m.published.Load().leavingVMs
}

// MinRevision returns the lowest configuration revision in force at any member,
// as far as this node knows.
func (m *Manager) MinRevision() uint64 {
	return m.published.Load().minRevision
}

// Reporter returns the node that this node considers its zone's reporter, or "".
func (m *Manager) Reporter() string {
	return m.published.Load().reporter
}

// Isolated reports whether this node has had no contact with the object API or a
// peer for longer than isolated_after.
func (m *Manager) Isolated() bool {
	return m.published.Load().isolated
}

// IsCurrent reports whether the view is recent enough to act on. In a process
// that was paused for longer than suspect_after, it returns false from the
// first instruction after the pause until a call to a peer or the object API
// succeeds or suspect_after has passed. Callers must check it immediately
// before each action that depends on the view.
func (m *Manager) IsCurrent() bool {
	return m.pauseDetector.current(time.Now(), m.timing.suspectAfter)
}

// Subscribe calls f with the members, now and after each change. f is called
// from one goroutine at a time and must not block.
func (m *Manager) Subscribe(f func([]*schema.Member)) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	f(m.Members())
}

// SetState announces a new state of this node.
func (m *Manager) SetState(s schema.MemberState) {
	m.post(stateEvent{s})
}

// SetRevision announces the configuration revision in force at this node.
func (m *Manager) SetRevision(revision uint64) {
	m.post(revisionEvent{revision})
}

// HandleHeartbeat answers a heartbeat from another node.
func (m *Manager) HandleHeartbeat(ctx context.Context, from peer.Identity, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	e := heartbeatReceivedEvent{from: from, heartbeat: h, reply: make(chan *schema.HeartbeatReply, 1)}
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

// post queues an event without waiting for the Run goroutine, which may not have
// started yet.
func (m *Manager) post(e event) {
	go func() {
		select {
		case m.events <- e:
		case <-m.stopped:
		}
	}()
}

// runAsync runs work in a goroutine of its own and passes its event to the Run
// goroutine.
func (m *Manager) runAsync(work func(ctx context.Context) event) {
	ctx := m.ctx
	m.background.Go(func() {
		e := work(ctx)
		select {
		case m.events <- e:
		case <-m.stopped:
		}
	})
}
