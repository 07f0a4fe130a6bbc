package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

var (
	errOwnerTimeout = errors.New("owner: timed out waiting for the zone owner")
	errNotOwner     = errors.New("owner: the node no longer owns the zone")
	// errOwnerChanged means that the caller must retry with the new owner.
	errOwnerChanged = errors.New("owner: the zone owner changed")
)

// link is a stream to one zone owner, over which this node requests targets and
// reports on the requests that were granted one.
type link struct {
	ownerName string
	balancer  Balancer
	stream    *peer.Stream
	outbox    *outbox

	mu         sync.Mutex
	lastNumber uint64
	// pending holds the requests that await the owner's decision, grants those that
	// have a target and have not ended. Both are keyed by number.
	pending map[uint64]*pendingAcquire
	grants  map[uint64]*remoteGrant
	// loads holds what targets have reported of their load and the owner does not know yet,
	// by target.
	loads map[string]reportedLoad
	// lastReceived is when the owner's last message came, or when pending last
	// became non-empty if that is later.
	lastReceived time.Time
	// draining is set when the link accepts no new requests.
	draining bool
	failure  error
	done     chan struct{}
}

// pendingAcquire is a request that waits for the owner's decision.
type pendingAcquire struct {
	work   *balance.Work
	result chan acquireResult
}

// acquireResult is the outcome of a pendingAcquire: a grant, a refusal or
// errOwnerChanged. If both fields are nil, this node has to choose the target
// itself.
type acquireResult struct {
	grant *remoteGrant
	err   error
}

// openLink opens a stream to the owner. The caller must call run on the link.
func openLink(ctx context.Context, pool *peer.Pool, owner datastore.Node, balancer Balancer) (*link, error) {
	stream, err := pool.OpenStream(ctx, owner.Address, schema.Method_METHOD_OWNER)
	if err != nil {
		return nil, err
	}
	return &link{
		ownerName: owner.Name, balancer: balancer, stream: stream, outbox: newOutbox(), lastReceived: time.Now(),
		pending: make(map[uint64]*pendingAcquire), grants: make(map[uint64]*remoteGrant), loads: make(map[string]reportedLoad), done: make(chan struct{}),
	}, nil
}

// run sends and receives until the link fails, and returns the cause.
func (l *link) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { l.fail(context.Cause(ctx)) })
	defer stop()
	go func() {
		reply := &schema.OwnerReply{}
		for {
			if err := l.stream.Receive(reply); err != nil {
				l.fail(err)
				return
			}
			l.handleReply(reply)
		}
	}()
	for {
		select {
		case <-l.outbox.ready:
			if err := l.stream.Send(l.outbox.take()); err != nil {
				l.fail(err)
			}
		case <-l.done:
			return l.failure
		}
	}
}

// acquire requests a target and waits for the owner's decision. If it returns
// neither a grant nor an error, this node has to choose the target itself.
func (l *link) acquire(ctx context.Context, w *balance.Work) (*remoteGrant, error) {
	a := &pendingAcquire{work: w, result: make(chan acquireResult, 1)}
	number, ok := l.addPending(a)
	if !ok {
		return nil, nil
	}
	select {
	case r := <-a.result:
		return r.grant, r.err
	case <-ctx.Done():
		l.withdraw(number, a)
		return nil, context.Cause(ctx)
	}
}

func (l *link) addPending(a *pendingAcquire) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.failure != nil {
		return 0, false
	}
	if len(l.pending) == 0 {
		l.lastReceived = time.Now()
	}
	l.lastNumber++
	l.pending[l.lastNumber] = a
	l.outbox.addAcquire(l.lastNumber, a.work)
	return l.lastNumber, true
}

// withdraw cancels a request whose caller no longer waits. A grant that has
// arrived in the meantime is returned as unsent.
func (l *link) withdraw(number uint64, a *pendingAcquire) {
	l.mu.Lock()
	_, waiting := l.pending[number]
	delete(l.pending, number)
	if waiting {
		l.outbox.addWithdrawal(number)
	}
	l.mu.Unlock()
	if waiting {
		return
	}
	if r := <-a.result; r.grant != nil {
		r.grant.Ended(balance.Unsent, balance.Sample{})
	}
}

// handleReply delivers the owner's grants and refusals to the waiting callers.
func (l *link) handleReply(reply *schema.OwnerReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return
	}
	l.lastReceived = time.Now()
	for _, g := range reply.GetGrants() {
		a := l.takePending(g.GetNumber())
		if a == nil {
			continue
		}
		grant := &remoteGrant{link: l, number: g.GetNumber(), work: a.work, target: decodeTarget(g), prediction: decodePrediction(g)}
		l.grants[grant.number] = grant
		a.result <- acquireResult{grant: grant}
	}
	for _, r := range reply.GetRefusals() {
		if a := l.takePending(r.GetNumber()); a != nil {
			a.result <- refusalResult(r)
		}
	}
}

// refusalResult converts a refusal. An owner that has no targets, or none of the version
// that is needed, or is shutting down does not decide for this node, which then chooses a
// target itself.
func refusalResult(r *schema.OwnerRefusal) acquireResult {
	switch r.GetReason() {
	case balance.ReasonNoTarget, balance.ReasonNoVersion, balance.ReasonStopping:
		return acquireResult{}
	}
	return acquireResult{err: &balance.Refusal{Reason: r.GetReason(), RetryAfter: micros(r.GetRetryAfterMicros())}}
}

// takePending removes and returns a pending request, or nil if it was withdrawn.
// The caller must hold l.mu.
func (l *link) takePending(number uint64) *pendingAcquire {
	a := l.pending[number]
	delete(l.pending, number)
	return a
}

// drain withdraws all pending requests, so that their callers retry with the new
// owner. Requests that already have a target stay on this link.
func (l *link) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for number, a := range l.pending {
		delete(l.pending, number)
		l.outbox.addWithdrawal(number)
		a.result <- acquireResult{err: errOwnerChanged}
	}
}

// fail closes the link. The requests that were granted over it are registered
// with this node's balancer from then on.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.failure != nil {
		l.mu.Unlock()
		return
	}
	l.failure, l.draining = err, true
	pending, grants := l.pending, l.grants
	l.pending, l.grants = nil, nil
	close(l.done)
	l.mu.Unlock()
	l.stream.Close()
	for _, a := range pending {
		a.result <- acquireResult{err: errOwnerChanged}
	}
	for _, g := range grants {
		g.switchToLocal()
	}
}

func (l *link) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure != nil
}

// idle reports whether the link has neither pending nor granted requests.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && len(l.grants) == 0
}

// timedOut reports whether requests are pending and no message has come from the
// owner for longer than ownerTimeout.
func (l *link) timedOut(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 && now.Sub(l.lastReceived) > ownerTimeout
}

// report queues a report on a granted request for the owner. It returns false if
// the link has failed.
func (l *link) report(g *remoteGrant, r *schema.OwnerReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return false
	}
	r.Number = g.number
	if r.Ended {
		delete(l.grants, g.number)
	}
	l.addLoad(r, g.target.ID, time.Now())
	l.outbox.addReport(r)
	return true
}
