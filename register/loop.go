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

// retryInterval is the delay before the parts of a head are read again after a
// failure.
const retryInterval = 500 * time.Millisecond

// sourceStore is the source of reads from the store in log lines; for reads
// from a peer it is the peer's address.
const sourceStore = "store"

// loop is the state of one call of Run, owned by its goroutine.
type loop struct {
	m     *Manager
	ctx   context.Context
	reads sync.WaitGroup
	// pullActive and readActive report whether a read from a peer and a read
	// from the store are in progress.
	pullActive, readActive bool
	// pendingHead is the newest head that the watch delivered during a read.
	pendingHead *schema.ConfigHead
	// unreadHead is a head whose parts could not be read.
	unreadHead   *schema.ConfigHead
	stopWatch    context.CancelFunc
	headChanges  chan *schema.ConfigHead
	compareCount int
	// needFull makes the next pull request the whole configuration, after a
	// delta that did not match.
	needFull bool
}

// Run keeps the configuration up to date until the context ends.
func (m *Manager) Run(ctx context.Context) {
	l := &loop{m: m, ctx: ctx, headChanges: make(chan *schema.ConfigHead)}
	defer l.reads.Wait()
	l.updateWatch()
	l.readInitial()
	timer := time.NewTimer(l.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			l.updateWatch()
			l.pullReported()
		case head := <-l.headChanges:
			l.readStore(head)
		case result := <-m.results:
			l.handleResult(result)
			if l.unreadHead != nil {
				timer.Reset(retryInterval)
			}
		case <-timer.C:
			l.compareOrRetry()
			timer.Reset(l.interval())
		}
	}
}

// interval returns the time to the next comparison, with a jitter of ±25 %.
func (l *loop) interval() time.Duration {
	mean := l.m.options.CompareInterval
	if l.m.Revision() == 0 {
		mean = startInterval
	}
	return time.Duration(float64(mean) * (0.75 + l.m.random.Float64()/2))
}

// readInitial reads the configuration from a peer, which sends everything in
// one call, or from the store when there is no peer.
func (l *loop) readInitial() {
	if !l.pullRandomPeer() {
		l.readStore(nil)
	}
}

// compareOrRetry reads the parts of unreadHead again if there is one, and
// otherwise compares.
func (l *loop) compareOrRetry() {
	head := l.unreadHead
	l.unreadHead = nil
	if head == nil {
		l.compare()
		return
	}
	l.readStore(head)
}

// compare pulls from a random peer. It also reads the store when no peer is
// known, when the node has no configuration, and at every storeCompareEvery-th
// comparison.
func (l *loop) compare() {
	l.compareCount++
	pulled := l.pullRandomPeer()
	due := l.compareCount%storeCompareEvery == 0
	if !pulled || due || l.m.Revision() == 0 {
		l.readStore(nil)
	}
}

// pullRandomPeer pulls from a randomly chosen peer and reports whether there is
// one.
func (l *loop) pullRandomPeer() bool {
	addresses := l.m.options.Peers.Addresses()
	if len(addresses) == 0 {
		return false
	}
	l.pull(addresses[l.m.random.IntN(len(addresses))])
	return true
}

func (l *loop) pullReported() {
	if l.pullActive {
		return
	}
	if report, higher := l.m.takeReport(); higher {
		l.pull(report.address)
	}
}

// pull requests newer configuration from the node at address, unless another
// pull is in progress.
func (l *loop) pull(address string) {
	if l.pullActive {
		return
	}
	l.pullActive = true
	have := l.m.current.Load()
	request := &schema.ConfigDeltaRequest{HaveRevision: have.revision()}
	timeout := deltaTimeout
	if l.needFull || have == nil {
		request.HaveRevision = 0
		timeout = fullTimeout
	}
	l.needFull = false
	l.startRead(timeout, func(ctx context.Context) readResult {
		delta, err := l.m.options.Peers.ConfigDelta(ctx, address, request)
		result := readResult{source: address, err: err}
		if err == nil {
			result.snapshot, result.err = have.applyDelta(delta)
		}
		return result
	})
}

// readStore reads the parts of head from the store, or of the store's current
// head if head is nil. A head that arrives during another read is read after it.
func (l *loop) readStore(head *schema.ConfigHead) {
	if l.readActive {
		if head.GetRevision() > l.pendingHead.GetRevision() {
			l.pendingHead = head
		}
		return
	}
	have := l.m.current.Load()
	if head != nil && head.GetRevision() <= have.revision() {
		return
	}
	l.readActive = true
	l.startRead(storeReadTimeout, func(ctx context.Context) readResult {
		s, err := readNewer(ctx, l.m.options.Store, head, have)
		return readResult{source: sourceStore, head: head, snapshot: s, err: err}
	})
}

// readNewer reads the parts of head, or of the store's current head if head is
// nil. It returns nil if the store has nothing newer than base.
func readNewer(ctx context.Context, store objects.Store, head *schema.ConfigHead, base *snapshot) (*snapshot, error) {
	if head == nil {
		var err error
		if head, _, err = readHead(ctx, store); err != nil {
			return nil, err
		}
	}
	if head.GetRevision() < base.revision() {
		return nil, storeBehind(head.GetRevision(), base.revision())
	}
	if head.GetRevision() == base.revision() {
		return nil, nil
	}
	s, err := readParts(ctx, store, head, base)
	if objects.IsNotFound(err) {
		s, _, err = readAccepted(ctx, store, base)
	}
	return s, err
}

func storeBehind(storeRevision, nodeRevision uint64) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
		fmt.Sprintf("the object API holds revision %d, this node %d", storeRevision, nodeRevision),
		"the object API lost revisions: apply the register again until its revision is higher")
}

// startRead runs a read in its own goroutine and passes its result to Run.
func (l *loop) startRead(timeout time.Duration, read func(context.Context) readResult) {
	l.reads.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		result := read(ctx)
		select {
		case l.m.results <- result:
		case <-l.ctx.Done():
		}
	})
}

func (l *loop) handleResult(result readResult) {
	if result.source == sourceStore {
		l.readActive = false
	} else {
		l.pullActive = false
	}
	if result.err != nil {
		l.m.logger.Warn().Str("event", "config_read_failed").Str("source", result.source).Err(result.err).Msg("")
		l.needFull = l.needFull || errors.Is(result.err, errDeltaMismatch)
		l.unreadHead = result.head
	}
	if result.snapshot != nil {
		l.m.adopt(result.snapshot, result.source)
	}
	l.startPendingReads(result)
}

// startPendingReads starts the reads that were requested while another one was
// in progress.
func (l *loop) startPendingReads(result readResult) {
	if head := l.pendingHead; head != nil && !l.readActive {
		l.pendingHead = nil
		l.readStore(head)
	}
	if l.needFull && !l.pullActive {
		l.pull(result.source)
	}
	l.pullReported()
}
