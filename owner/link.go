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
	errSilent   = errors.New("owner: the owner does not answer")
	errNotOwner = errors.New("owner: the node does not own the zone any more")
	// errMoved says that a request has to be asked for anew, elsewhere.
	errMoved = errors.New("owner: the owner has changed")
)

// link asks one owner for targets.
type link struct {
	to       string
	balancer Balancer
	stream   *peer.Stream
	out      *outbox

	mu     sync.Mutex
	number uint64
	// asks wait for an answer, granted are in use, both by number.
	asks    map[uint64]*ask
	granted map[uint64]*granted
	// heard is when the owner last said anything, or was first asked after it had
	// nothing to say.
	heard time.Time
	// released links take no more asks.
	released bool
	failure  error
	done     chan struct{}
}

// ask is a request that waits for the owner's answer.
type ask struct {
	work  *balance.Work
	reply chan answer
}

// answer ends an ask: a grant, a refusal, or errMoved. All nil means that this
// node is to decide itself.
type answer struct {
	granted *granted
	err     error
}

// open opens a link to the owner.
func open(ctx context.Context, pool *peer.Pool, owner datastore.Node, balancer Balancer) (*link, error) {
	stream, err := pool.OpenStream(ctx, owner.Address, schema.Method_METHOD_OWNER)
	if err != nil {
		return nil, err
	}
	return &link{
		to: owner.Name, balancer: balancer, stream: stream, out: newOutbox(), heard: time.Now(),
		asks: make(map[uint64]*ask), granted: make(map[uint64]*granted), done: make(chan struct{}),
	}, nil
}

// run sends and receives until the link fails, and returns why.
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
			l.received(reply)
		}
	}()
	for {
		select {
		case <-l.out.ready:
			if err := l.stream.Send(l.out.call()); err != nil {
				l.fail(err)
			}
		case <-l.done:
			return l.failure
		}
	}
}

// ask waits for the owner's answer. Without a grant and an error this node is to
// decide itself.
func (l *link) ask(ctx context.Context, w *balance.Work) (*granted, error) {
	a := &ask{work: w, reply: make(chan answer, 1)}
	number, ok := l.add(a)
	if !ok {
		return nil, nil
	}
	select {
	case r := <-a.reply:
		return r.granted, r.err
	case <-ctx.Done():
		l.withdraw(number, a)
		return nil, context.Cause(ctx)
	}
}

func (l *link) add(a *ask) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released || l.failure != nil {
		return 0, false
	}
	if len(l.asks) == 0 {
		l.heard = time.Now()
	}
	l.number++
	l.asks[l.number] = a
	l.out.ask(l.number, a.work)
	return l.number, true
}

// withdraw takes back an ask whose caller no longer waits; a grant that has come
// meanwhile is given back.
func (l *link) withdraw(number uint64, a *ask) {
	l.mu.Lock()
	_, waiting := l.asks[number]
	delete(l.asks, number)
	if waiting {
		l.out.withdraw(number)
	}
	l.mu.Unlock()
	if waiting {
		return
	}
	if r := <-a.reply; r.granted != nil {
		r.granted.Ended(balance.Unsent, balance.Sample{})
	}
}

// received takes in the owner's answers.
func (l *link) received(reply *schema.OwnerReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return
	}
	l.heard = time.Now()
	for _, g := range reply.GetGrants() {
		a := l.take(g.GetNumber())
		if a == nil {
			continue
		}
		held := &granted{link: l, number: g.GetNumber(), work: a.work, target: targetOf(g), seen: seenOf(g)}
		l.granted[held.number] = held
		a.reply <- answer{granted: held}
	}
	for _, r := range reply.GetRefusals() {
		if a := l.take(r.GetNumber()); a != nil {
			a.reply <- refused(r)
		}
	}
}

// refused returns what a refusal means here: an owner that has no targets, or
// stops, says nothing of what this node can do.
func refused(r *schema.OwnerRefusal) answer {
	if r.GetReason() == balance.ReasonNoTarget || r.GetReason() == balance.ReasonStopping {
		return answer{}
	}
	return answer{err: &balance.Refusal{Reason: r.GetReason(), RetryAfter: micros(r.GetRetryAfterMicros())}}
}

// take ends the wait of an ask; nil if it was withdrawn. The lock must be held.
func (l *link) take(number uint64) *ask {
	a := l.asks[number]
	delete(l.asks, number)
	return a
}

// release ends the waits of all asks, which go to another owner; requests that
// have a target stay.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	for number, a := range l.asks {
		delete(l.asks, number)
		l.out.withdraw(number)
		a.reply <- answer{err: errMoved}
	}
}

// fail ends the link. What it granted counts at this node's own balancer from
// then on.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.failure != nil {
		l.mu.Unlock()
		return
	}
	l.failure, l.released = err, true
	asks, held := l.asks, l.granted
	l.asks, l.granted = nil, nil
	close(l.done)
	l.mu.Unlock()
	l.stream.Close()
	for _, a := range asks {
		a.reply <- answer{err: errMoved}
	}
	for _, g := range held {
		g.adopt()
	}
}

func (l *link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure != nil
}

// idle reports whether nothing is left that the owner knows of.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asks) == 0 && len(l.granted) == 0
}

// silent reports whether the owner has said nothing for too long while it was
// asked.
func (l *link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asks) > 0 && now.Sub(l.heard) > silentAfter
}

// report tells the owner of a granted request. It returns false if the link has
// failed.
func (l *link) report(g *granted, r *schema.OwnerReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return false
	}
	r.Number = g.number
	if r.Ended {
		delete(l.granted, g.number)
	}
	l.out.report(r)
	return true
}
