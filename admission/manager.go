package admission

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// Siblings reaches the other group owners of a service.
type Siblings interface {
	UpdateFloor(ctx context.Context, node string, u *schema.FloorUpdate) (*schema.FloorAck, error)
}

// Metrics counts what the owner does. Its methods must not block.
type Metrics interface {
	// PermitAnswered counts one answer: "granted", "redirected" or the error's
	// kind.
	PermitAnswered(service string, tier uint32, answer string, waited time.Duration)
}

// Options configures a Manager.
type Options struct {
	Node     string
	Region   string
	Settings *schema.SchedulingSettings
	Siblings Siblings
	// Screen may be nil.
	Screen Screen
	Logger *log.Logger
	// Metrics may be nil.
	Metrics Metrics
}

const eventBuffer = 256

// Manager runs an Owner in one goroutine. Its other methods may be called
// from any goroutine and send that one events.
type Manager struct {
	options Options
	owner   *Owner
	events  chan event
	stopped chan struct{}
}

// event runs in the control goroutine.
type event func(now time.Time)

// New returns a Manager; it serves once Run is called.
func New(options Options) *Manager {
	m := &Manager{
		options: options,
		events:  make(chan event, eventBuffer),
		stopped: make(chan struct{}),
	}
	m.owner = NewOwner(OwnerOptions{
		Node:        options.Node,
		Settings:    options.Settings,
		FirstNumber: rand.Uint64(),
		SendFloor:   m.sendFloor,
		FloorMoved:  m.logFloor,
		Screen:      options.Screen,
		Explain:     true,
	})
	return m
}

// Run owns the control state until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.owner.Drain()
			return nil
		case e := <-m.events:
			e(time.Now())
		case now := <-ticker.C:
			m.owner.Tick(now)
		}
	}
}

// send passes an event to the control goroutine; it reports false after the
// end of Run.
func (m *Manager) send(e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.stopped:
		return false
	}
}

// call sends an event and waits until it has run; it reports false after the
// end of Run.
func (m *Manager) call(e event) bool {
	done := make(chan struct{})
	sent := m.send(func(now time.Time) {
		e(now)
		close(done)
	})
	if !sent {
		return false
	}
	select {
	case <-done:
		return true
	case <-m.stopped:
		return false
	}
}

// ApplyTopology takes over a new topology.
func (m *Manager) ApplyTopology(s *topology.Snapshot) {
	m.send(func(now time.Time) { m.owner.Apply(now, s) })
}

// answer is the outcome of one Acquire.
type answer struct {
	reply *schema.PermitReply
	err   error
}

// Acquire waits for a permit, a redirect or a refusal. A refusal is a typed
// error of kind overloaded, deadline, no-target, not-owner, draining or
// quarantined, with outcome not-run. When ctx ends, the request is taken out
// of the queue or its permit released, and ctx's error is returned.
func (m *Manager) Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.PermitReply, error) {
	answers := make(chan answer, 1)
	start := time.Now()
	w := NewWaiter(start, r, func(reply *schema.PermitReply, err error) {
		answers <- answer{reply, err}
	})
	if !m.send(func(now time.Time) { m.owner.Enqueue(now, w) }) {
		return nil, errDraining()
	}
	select {
	case a := <-answers:
		m.record(r, a, time.Since(start))
		return a.reply, a.err
	case <-ctx.Done():
		m.send(func(now time.Time) { m.owner.Cancel(now, w) })
		return nil, ctx.Err()
	case <-m.stopped:
		return nil, errDraining()
	}
}

// Return takes a permit back. Late and repeated returns do no harm.
func (m *Manager) Return(r *schema.PermitReturn) {
	m.send(func(now time.Time) { m.owner.Return(now, r) })
}

// HandleFloor answers a sibling owner's floor update.
func (m *Manager) HandleFloor(ctx context.Context, from string, u *schema.FloorUpdate) (*schema.FloorAck, error) {
	var ack *schema.FloorAck
	if !m.call(func(now time.Time) { ack = m.owner.Floor(now, from, u) }) {
		return nil, errDraining()
	}
	return ack, ctx.Err()
}

// Status describes the owned groups; it is nil after the end of Run.
func (m *Manager) Status() []*schema.GroupStatus {
	var groups []*schema.GroupStatus
	m.call(func(time.Time) { groups = m.owner.Status() })
	return groups
}

// Counts returns totals since the start.
func (m *Manager) Counts() Counts {
	var counts Counts
	m.call(func(time.Time) { counts = m.owner.Counts() })
	return counts
}

// Drain refuses all waiters and later requests as draining, so that their
// entries ask the next owner. Permits in use may still be returned.
func (m *Manager) Drain() {
	m.call(func(time.Time) { m.owner.Drain() })
}

// sendFloor runs in the control goroutine; the exchange does not.
func (m *Manager) sendFloor(sent time.Time, node string, u *schema.FloorUpdate) {
	if m.options.Siblings == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), floorTimeout)
		defer cancel()
		ack, err := m.options.Siblings.UpdateFloor(ctx, node, u)
		if err != nil {
			ack = nil
		}
		m.send(func(now time.Time) { m.owner.FloorAnswered(now, sent, node, u.GetService(), ack) })
	}()
}

func (m *Manager) logFloor(service string, floor uint32) {
	if m.options.Logger != nil {
		m.options.Logger.Warn().Str("event", "shed_floor").Str("service", service).Uint32("floor", floor).Msg("")
	}
}

// record logs and counts one answer.
func (m *Manager) record(r *schema.PermitRequest, a answer, waited time.Duration) {
	name := answerName(a)
	if m.options.Metrics != nil {
		m.options.Metrics.PermitAnswered(r.GetService(), r.GetTier(), name, waited)
	}
	if m.options.Logger == nil {
		return
	}
	entry := m.options.Logger.Info().Str("event", "permit").Str("answer", name).
		Str("request", r.GetRequestId()).Str("team", r.GetTeam()).Str("service", r.GetService()).
		Str("model", r.GetModel()).Uint32("tier", r.GetTier()).Str("group", r.GetGroup()).
		Dur("waited", waited)
	if p := a.reply.GetPermit(); p != nil {
		entry = entry.Str("permit", strconv.FormatUint(p.GetNumber(), 16)).Str("decision", p.GetDecision())
	}
	entry.Msg("")
}
