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

// Peers sends floor updates to the other group owners of a service.
type Peers interface {
	UpdateFloor(ctx context.Context, node string, u *schema.FloorUpdate) (*schema.FloorAck, error)
}

// Metrics records the answers to permit requests. Its methods must not block.
type Metrics interface {
	// PermitAnswered counts one answer to a permit request: "granted",
	// "redirected" or the kind of the error.
	PermitAnswered(service string, tier uint32, answer string, waited time.Duration)
}

// Options configures a Manager.
type Options struct {
	Node     string
	Region   string
	Settings *schema.SchedulingSettings
	Peers    Peers
	// FingerprintScreener may be nil, which disables the check of fingerprints.
	FingerprintScreener FingerprintScreener
	Logger              *log.Logger
	// Metrics may be nil.
	Metrics Metrics
}

const eventBufferSize = 256

// Manager runs an Owner in the goroutine that calls Run, the control goroutine.
// Its other methods are safe for concurrent use and pass events to it.
type Manager struct {
	options Options
	owner   *Owner
	events  chan event
	stopped chan struct{}
}

// event runs in the control goroutine.
type event func(now time.Time)

// New returns a Manager. It serves requests once Run is called.
func New(options Options) *Manager {
	m := &Manager{
		options: options,
		events:  make(chan event, eventBufferSize),
		stopped: make(chan struct{}),
	}
	m.owner = NewOwner(OwnerOptions{
		Node:                options.Node,
		Settings:            options.Settings,
		PermitNumberBase:    rand.Uint64(),
		SendFloorUpdate:     m.sendFloorUpdate,
		OnFloorChange:       m.logFloorChange,
		FingerprintScreener: options.FingerprintScreener,
		Explain:             true,
	})
	return m
}

// Run processes events and ticks until ctx ends, then drains the owner. It
// always returns nil.
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

// send passes an event to the control goroutine. It returns false after Run has
// ended.
func (m *Manager) send(e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.stopped:
		return false
	}
}

// call sends an event and waits until it has run. It returns false after Run
// has ended.
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

// ApplyTopology replaces the topology.
func (m *Manager) ApplyTopology(s *topology.Snapshot) {
	m.send(func(now time.Time) { m.owner.Apply(now, s) })
}

// acquireResult is the result of one call of Acquire.
type acquireResult struct {
	reply *schema.PermitReply
	err   error
}

// Acquire waits for a permit, a redirect or a refusal. A refusal is a typed
// error of kind overloaded, deadline, no-target, not-owner, draining or
// quarantined, with outcome not-run. When ctx ends, Acquire removes the request
// from the queue or releases its permit, and returns the error of ctx.
func (m *Manager) Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.PermitReply, error) {
	results := make(chan acquireResult, 1)
	start := time.Now()
	w := NewWaiter(start, r, func(reply *schema.PermitReply, err error) {
		results <- acquireResult{reply, err}
	})
	if !m.send(func(now time.Time) { m.owner.Enqueue(now, w) }) {
		return nil, errDraining()
	}
	select {
	case result := <-results:
		m.recordAnswer(r, result, time.Since(start))
		return result.reply, result.err
	case <-ctx.Done():
		m.send(func(now time.Time) { m.owner.Cancel(now, w) })
		return nil, ctx.Err()
	case <-m.stopped:
		return nil, errDraining()
	}
}

// Return releases a permit. Late and repeated returns are ignored.
func (m *Manager) Return(r *schema.PermitReturn) {
	m.send(func(now time.Time) { m.owner.Return(now, r) })
}

// HandleFloorUpdate applies a sibling owner's floor update and returns the
// acknowledgement.
func (m *Manager) HandleFloorUpdate(ctx context.Context, from string, u *schema.FloorUpdate) (*schema.FloorAck, error) {
	var ack *schema.FloorAck
	if !m.call(func(now time.Time) { ack = m.owner.HandleFloorUpdate(now, from, u) }) {
		return nil, errDraining()
	}
	return ack, ctx.Err()
}

// Status returns the status of the owned groups, or nil after Run has ended.
func (m *Manager) Status() []*schema.GroupStatus {
	var groups []*schema.GroupStatus
	m.call(func(time.Time) { groups = m.owner.Status() })
	return groups
}

// Counts returns totals since the start, or zeros after Run has ended.
func (m *Manager) Counts() Counts {
	var counts Counts
	m.call(func(time.Time) { counts = m.owner.Counts() })
	return counts
}

// Drain refuses all waiting and later requests with an error of kind draining,
// so that their entry nodes ask the next owner. Permits in use may still be
// returned.
func (m *Manager) Drain() {
	m.call(func(time.Time) { m.owner.Drain() })
}

// sendFloorUpdate is called in the control goroutine. It exchanges the update
// in a goroutine of its own, so that it does not block.
func (m *Manager) sendFloorUpdate(sent time.Time, node string, u *schema.FloorUpdate) {
	if m.options.Peers == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), floorUpdateTimeout)
		defer cancel()
		ack, err := m.options.Peers.UpdateFloor(ctx, node, u)
		if err != nil {
			ack = nil
		}
		m.send(func(now time.Time) { m.owner.HandleFloorAck(now, sent, node, u.GetService(), ack) })
	}()
}

func (m *Manager) logFloorChange(service string, floor uint32) {
	if m.options.Logger != nil {
		m.options.Logger.Warn().Str("event", "shed_floor").Str("service", service).Uint32("floor", floor).Msg("")
	}
}

// recordAnswer logs and counts one answer.
func (m *Manager) recordAnswer(r *schema.PermitRequest, result acquireResult, waited time.Duration) {
	label := answerLabel(result)
	if m.options.Metrics != nil {
		m.options.Metrics.PermitAnswered(r.GetService(), r.GetTier(), label, waited)
	}
	if m.options.Logger == nil {
		return
	}
	event := m.options.Logger.Info().Str("event", "permit").Str("answer", label).
		Str("request", r.GetRequestId()).Str("team", r.GetTeam()).Str("service", r.GetService()).
		Str("model", r.GetModel()).Uint32("tier", r.GetTier()).Str("group", r.GetGroup()).
		Dur("waited", waited)
	if p := result.reply.GetPermit(); p != nil {
		event = event.Str("permit", strconv.FormatUint(p.GetNumber(), 16)).Str("decision", p.GetDecision())
	}
	event.Msg("")
}
