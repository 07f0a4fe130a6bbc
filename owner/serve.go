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

// session answers one other node. A node that believes this one to be the owner
// is answered even if this one does not: its view may be the newer one.
type session struct {
	balancer Balancer
	replies  *replies

	mu sync.Mutex
	// waiting ends the waits of asks, held are the requests that have a target, both
	// by number.
	waiting map[uint64]context.CancelFunc
	held    map[uint64]balance.Reporter
}

// Serve answers the asks of one node until its stream ends.
func (m *Manager) Serve(ctx context.Context, _ peer.Identity, stream *peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		balancer: m.options.Balancer, replies: newReplies(),
		waiting: make(map[uint64]context.CancelFunc), held: make(map[uint64]balance.Reporter),
	}
	var running sync.WaitGroup
	running.Go(func() { s.send(ctx, stream) })
	call := &schema.OwnerCall{}
	var err error
	for err = stream.Receive(call); err == nil; err = stream.Receive(call) {
		s.received(ctx, &running, call)
	}
	cancel()
	running.Wait()
	s.end()
	return err
}

func (s *session) received(ctx context.Context, running *sync.WaitGroup, call *schema.OwnerCall) {
	now := time.Now()
	for _, a := range call.GetAsks() {
		ctx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.waiting[a.GetNumber()] = cancel
		s.mu.Unlock()
		number, work := a.GetNumber(), workOf(a, now)
		running.Go(func() { s.answer(ctx, number, work) })
	}
	for _, number := range call.GetWithdrawn() {
		s.withdraw(number)
	}
	for _, r := range call.GetReports() {
		s.report(r)
	}
}

// answer waits for a target and grants it, or refuses.
func (s *session) answer(ctx context.Context, number uint64, w *balance.Work) {
	grant, err := s.balancer.Acquire(ctx, w)
	s.mu.Lock()
	cancel, waiting := s.waiting[number]
	delete(s.waiting, number)
	if waiting && err == nil {
		s.held[number] = grant.Reporter()
	}
	s.mu.Unlock()
	var refusal *balance.Refusal
	switch {
	case err == nil && waiting:
		s.replies.grant(grantOf(number, grant))
	case err == nil:
		grant.Done(balance.Unsent)
	case errors.As(err, &refusal) && waiting:
		s.replies.refuse(&schema.OwnerRefusal{
			Number: number, Reason: refusal.Reason, RetryAfterMicros: refusal.RetryAfter.Microseconds(),
		})
	}
	if cancel != nil {
		cancel()
	}
}

// withdraw ends a wait, or gives back a grant that crossed the withdrawal.
func (s *session) withdraw(number uint64) {
	s.mu.Lock()
	cancel, reporter := s.waiting[number], s.held[number]
	delete(s.waiting, number)
	delete(s.held, number)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if reporter != nil {
		reporter.Ended(balance.Unsent, balance.Sample{})
	}
}

func (s *session) report(r *schema.OwnerReport) {
	s.mu.Lock()
	reporter := s.held[r.GetNumber()]
	if r.GetEnded() {
		delete(s.held, r.GetNumber())
	}
	s.mu.Unlock()
	switch {
	case reporter == nil:
	case r.GetEnded():
		reporter.Ended(balance.Result(r.GetResult()), sampleOf(r))
	case r.GetFirstMicros() > 0:
		reporter.First(micros(r.GetFirstMicros()))
	default:
		reporter.Paced(sampleOf(r))
	}
}

// end takes what the node had off its targets: if it lives, it counts its
// requests itself from now on.
func (s *session) end() {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, reporter := range held {
		reporter.Ended(balance.Abandoned, balance.Sample{})
	}
}

// asked reports whether the node waits for an answer.
func (s *session) asked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) > 0
}

// send sends replies, and signs of life while the node waits.
func (s *session) send(ctx context.Context, stream *peer.Stream) {
	alive := time.NewTicker(checkInterval)
	defer alive.Stop()
	for {
		var reply *schema.OwnerReply
		select {
		case <-s.replies.ready:
			reply = s.replies.take()
		case <-alive.C:
			if !s.asked() {
				continue
			}
			reply = &schema.OwnerReply{}
		case <-ctx.Done():
			return
		}
		if err := stream.Send(reply); err != nil {
			// The stream's reader sees the same failure and ends the session.
			stream.Close()
			return
		}
	}
}

// replies collects answers, so that those that come together go in one message.
type replies struct {
	// ready has a value while there is something to send.
	ready chan struct{}

	mu    sync.Mutex
	reply *schema.OwnerReply
}

func newReplies() *replies {
	return &replies{ready: make(chan struct{}, 1), reply: &schema.OwnerReply{}}
}

func (r *replies) grant(g *schema.OwnerGrant) {
	r.mu.Lock()
	r.reply.Grants = append(r.reply.Grants, g)
	r.mu.Unlock()
	r.raise()
}

func (r *replies) refuse(g *schema.OwnerRefusal) {
	r.mu.Lock()
	r.reply.Refusals = append(r.reply.Refusals, g)
	r.mu.Unlock()
	r.raise()
}

func (r *replies) raise() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *replies) take() *schema.OwnerReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.reply
	r.reply = &schema.OwnerReply{}
	return reply
}
