package register

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// retryInterval is the time until a head whose parts could not be read is read
// again.
const retryInterval = 500 * time.Millisecond

// Sources of a configuration, as logs name them.
const sourceStore = "store"

// loop is the state of one Run, owned by its goroutine.
type loop struct {
	m       *Manager
	ctx     context.Context
	readers sync.WaitGroup
	// pulling and reading tell whether a read from a peer and from the store
	// is under way.
	pulling, reading bool
	// seen is the newest head that the watch delivered during a read.
	seen *schema.ConfigHead
	// missed is a head whose parts could not be read.
	missed    *schema.ConfigHead
	stopWatch context.CancelFunc
	changed   chan *schema.ConfigHead
	compared  int
	// whole asks for the whole configuration after a delta that did not fit.
	whole bool
}

// Run keeps the configuration up to date until the context ends.
func (m *Manager) Run(ctx context.Context) {
	l := &loop{m: m, ctx: ctx, changed: make(chan *schema.ConfigHead)}
	defer l.readers.Wait()
	l.setWatch()
	l.start()
	timer := time.NewTimer(l.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			l.setWatch()
			l.pullNoted()
		case head := <-l.changed:
			l.read(head)
		case e := <-m.events:
			l.finish(e)
			if l.missed != nil {
				timer.Reset(retryInterval)
			}
		case <-timer.C:
			l.compareOrRetry()
			timer.Reset(l.interval())
		}
	}
}

// interval returns the time to the next comparison, with jitter of a quarter
// either way.
func (l *loop) interval() time.Duration {
	mean := l.m.options.CompareInterval
	if l.m.Revision() == 0 {
		mean = startInterval
	}
	return time.Duration(float64(mean) * (0.75 + l.m.random.Float64()/2))
}

// start asks a peer first, which sends everything in one call, and the store
// when there is none.
func (l *loop) start() {
	if !l.pullAny() {
		l.read(nil)
	}
}

// compareOrRetry reads a missed head again, or compares.
func (l *loop) compareOrRetry() {
	head := l.missed
	l.missed = nil
	if head == nil {
		l.compare()
		return
	}
	l.read(head)
}

// compare asks a peer, and the store when no peer is known, on a node without
// a configuration, and now and then on every other.
func (l *loop) compare() {
	l.compared++
	asked := l.pullAny()
	due := l.compared%storeCompareEvery == 0
	if !asked || due || l.m.Revision() == 0 {
		l.read(nil)
	}
}

// pullAny asks a randomly chosen peer.
func (l *loop) pullAny() bool {
	addresses := l.m.options.Peers.Addresses()
	if len(addresses) == 0 {
		return false
	}
	l.pull(addresses[l.m.random.IntN(len(addresses))])
	return true
}

func (l *loop) pullNoted() {
	if l.pulling {
		return
	}
	if n, higher := l.m.takeNote(); higher {
		l.pull(n.address)
	}
}

// pull asks the node at address, unless another one is being asked.
func (l *loop) pull(address string) {
	if l.pulling {
		return
	}
	l.pulling = true
	have := l.m.current.Load()
	request := &schema.ConfigDeltaRequest{HaveRevision: have.revision()}
	timeout := deltaTimeout
	if l.whole || have == nil {
		request.HaveRevision = 0
		timeout = wholeTimeout
	}
	l.whole = false
	l.spawn(timeout, func(ctx context.Context) event {
		delta, err := l.m.options.Peers.ConfigDelta(ctx, address, request)
		e := event{source: address, err: err}
		if err == nil {
			e.held, e.err = have.amend(delta)
		}
		return e
	})
}

// read completes head from the store, or the store's head if it is nil. A head
// that comes during another read is completed after it.
func (l *loop) read(head *schema.ConfigHead) {
	if l.reading {
		if head.GetRevision() > l.seen.GetRevision() {
			l.seen = head
		}
		return
	}
	have := l.m.current.Load()
	if head != nil && head.GetRevision() <= have.revision() {
		return
	}
	l.reading = true
	l.spawn(storeReadTimeout, func(ctx context.Context) event {
		h, err := readNewer(ctx, l.m.options.Store, head, have)
		return event{source: sourceStore, head: head, held: h, err: err}
	})
}

// readNewer completes head, or the store's if it is nil. It returns nil if the
// store holds nothing newer than have.
func readNewer(ctx context.Context, store objects.Store, head *schema.ConfigHead, have *held) (*held, error) {
	if head == nil {
		var err error
		if head, _, err = readHead(ctx, store); err != nil {
			return nil, err
		}
	}
	if head.GetRevision() < have.revision() {
		return nil, storeBehind(head.GetRevision(), have.revision())
	}
	if head.GetRevision() == have.revision() {
		return nil, nil
	}
	h, err := readParts(ctx, store, head, have)
	if objects.IsNotFound(err) {
		h, _, err = readAccepted(ctx, store, have)
	}
	return h, err
}

func storeBehind(stored, held uint64) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
		fmt.Sprintf("the object API holds revision %d, this node %d", stored, held),
		"the object API lost revisions: apply the register again until its revision is higher")
}

// spawn runs a read and hands its event to Run.
func (l *loop) spawn(timeout time.Duration, read func(context.Context) event) {
	l.readers.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		e := read(ctx)
		select {
		case l.m.events <- e:
		case <-l.ctx.Done():
		}
	})
}

func (l *loop) finish(e event) {
	if e.source == sourceStore {
		l.reading = false
	} else {
		l.pulling = false
	}
	if e.err != nil {
		l.m.logger.Warn().Str("event", "config_read_failed").Str("source", e.source).Err(e.err).Msg("")
		l.whole = l.whole || errors.Is(e.err, errUnfitting)
		l.missed = e.head
	}
	if e.held != nil {
		l.m.adopt(e.held, e.source)
	}
	l.next(e)
}

// next begins the read that was asked for while another was under way.
func (l *loop) next(e event) {
	if head := l.seen; head != nil && !l.reading {
		l.seen = nil
		l.read(head)
	}
	if l.whole && !l.pulling {
		l.pull(e.source)
	}
	l.pullNoted()
}
