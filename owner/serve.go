package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// session serves one other node. It does so even if this node does not consider
// itself the owner, because the other node's view may be newer.
type session struct {
	node     string
	balancer Balancer
	replies  *replyBuffer
	// asked holds a value after requests have arrived.
	asked chan struct{}

	mu sync.Mutex
	// pending holds the cancel functions of requests that wait for a target;
	// reporters holds the reporters of requests that have one, and targets these targets.
	// All are keyed by number.
	pending   map[uint64]context.CancelFunc
	reporters map[uint64]balance.Reporter
	targets   map[uint64]string
}

// Serve grants targets to one other node until its stream ends.
func (m *Manager) Serve(ctx context.Context, id peer.Identity, stream *peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		node: id.Node, balancer: m.options.Balancer, replies: newReplyBuffer(), asked: make(chan struct{}, 1),
		pending: make(map[uint64]context.CancelFunc), reporters: make(map[uint64]balance.Reporter),
		targets: make(map[uint64]string),
	}
	var running sync.WaitGroup
	running.Go(func() { s.sendReplies(ctx, stream) })
	call := &schema.OwnerCall{}
	var err error
	for err = stream.Receive(call); err == nil; err = stream.Receive(call) {
		s.handleCall(ctx, &running, call)
	}
	cancel()
	// A send that waits for the other node to read would otherwise not end.
	_ = stream.Close()
	running.Wait()
	s.abandonAll()
	return err
}

func (s *session) handleCall(ctx context.Context, running *sync.WaitGroup, call *schema.OwnerCall) {
	now := time.Now()
	for _, signal := range call.GetSignals() {
		s.balancer.RecordRemoteSignal(s.node, decodeSignal(signal))
	}
	for _, a := range call.GetAsks() {
		ctx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.pending[a.GetNumber()] = cancel
		s.mu.Unlock()
		number, work := a.GetNumber(), decodeWork(a, s.node, now)
		running.Go(func() { s.acquire(ctx, number, work) })
	}
	if len(call.GetAsks()) > 0 {
		select {
		case s.asked <- struct{}{}:
		default:
		}
	}
	for _, number := range call.GetWithdrawn() {
		s.withdraw(number)
	}
	for _, r := range call.GetReports() {
		s.handleReport(r)
	}
	s.forgive(call)
}

// forgive drops the failures that the other node says were its own.
func (s *session) forgive(call *schema.OwnerCall) {
	services := call.GetLinksLostServices()
	if call.GetLinksLost() && len(services) == 0 {
		services = []string{allServices}
	}
	for _, service := range services {
		s.balancer.ForgiveFailures(s.node, service)
	}
}

// allServices is the service of which a node says nothing more exact.
const allServices = ""

// acquire waits for a target and sends the grant or the refusal.
func (s *session) acquire(ctx context.Context, number uint64, w *balance.Work) {
	grant, err := s.balancer.Acquire(ctx, w)
	s.mu.Lock()
	cancel, waiting := s.pending[number]
	delete(s.pending, number)
	if waiting && err == nil {
		s.reporters[number], s.targets[number] = grant.Reporter(), grant.Target.ID
	}
	s.mu.Unlock()
	var refusal *balance.Refusal
	switch {
	case err == nil && waiting:
		s.replies.addGrant(encodeGrant(number, grant))
	case err == nil:
		grant.Done(balance.Unsent)
	case errors.As(err, &refusal) && waiting:
		s.replies.addRefusal(&schema.OwnerRefusal{
			Number: number, Reason: refusal.Reason, RetryAfterMicros: refusal.RetryAfter.Microseconds(),
		})
	}
	if cancel != nil {
		cancel()
	}
}

// withdraw cancels a pending request, or releases its grant if that was sent
// before the withdrawal arrived.
func (s *session) withdraw(number uint64) {
	s.mu.Lock()
	cancel, reporter := s.pending[number], s.reporters[number]
	delete(s.pending, number)
	delete(s.reporters, number)
	delete(s.targets, number)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if reporter != nil {
		reporter.Ended(balance.Unsent, balance.Sample{})
	}
}

func (s *session) handleReport(r *schema.OwnerReport) {
	s.mu.Lock()
	reporter, target := s.reporters[r.GetNumber()], s.targets[r.GetNumber()]
	if r.GetEnded() {
		delete(s.reporters, r.GetNumber())
		delete(s.targets, r.GetNumber())
	}
	s.mu.Unlock()
	if r.GetHasLoad() && reporter != nil {
		s.balancer.RecordLoad(target, decodeLoad(r))
	}
	switch {
	case reporter == nil:
	case r.GetEnded():
		reporter.Ended(balance.Result(r.GetResult()), decodeSample(r))
	case r.GetFirstMicros() > 0:
		reporter.FirstEvent(micros(r.GetFirstMicros()))
	default:
		reporter.SpeedSampled(decodeSample(r))
	}
}

// abandonAll ends the other node's requests at this node's balancer. If the other
// node is still running, its own balancer counts them from now on.
func (s *session) abandonAll() {
	s.mu.Lock()
	reporters := s.reporters
	s.reporters = nil
	s.mu.Unlock()
	for _, reporter := range reporters {
		reporter.Ended(balance.Unreported, balance.Sample{})
	}
}

// hasPending reports whether the other node has requests that wait for a target.
func (s *session) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// sendReplies sends grants and refusals, and empty replies as heartbeats while the
// other node has pending requests.
func (s *session) sendReplies(ctx context.Context, stream *peer.Stream) {
	heartbeat := time.NewTicker(checkInterval)
	defer heartbeat.Stop()
	for {
		var reply *schema.OwnerReply
		// A session without pending requests is not woken by the ticker.
		var due <-chan time.Time
		if s.hasPending() {
			due = heartbeat.C
		}
		select {
		case <-s.asked:
			continue
		case <-s.replies.ready:
			reply = s.replies.take()
		case <-due:
			reply = &schema.OwnerReply{}
		case <-ctx.Done():
			return
		}
		if err := stream.Send(reply); err != nil {
			// Serve's Receive then fails as well, which ends the session.
			stream.Close()
			return
		}
	}
}

// replyBuffer batches grants and refusals: everything added before the next send
// goes out as one OwnerReply.
type replyBuffer struct {
	// ready holds a value while the buffer is not empty.
	ready chan struct{}

	mu    sync.Mutex
	reply *schema.OwnerReply
}

func newReplyBuffer() *replyBuffer {
	return &replyBuffer{ready: make(chan struct{}, 1), reply: &schema.OwnerReply{}}
}

func (r *replyBuffer) addGrant(grant *schema.OwnerGrant) {
	r.mu.Lock()
	r.reply.Grants = append(r.reply.Grants, grant)
	r.mu.Unlock()
	r.notify()
}

func (r *replyBuffer) addRefusal(refusal *schema.OwnerRefusal) {
	r.mu.Lock()
	r.reply.Refusals = append(r.reply.Refusals, refusal)
	r.mu.Unlock()
	r.notify()
}

func (r *replyBuffer) notify() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *replyBuffer) take() *schema.OwnerReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.reply
	r.reply = &schema.OwnerReply{}
	return reply
}
