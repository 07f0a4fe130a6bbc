// Package ledger deduplicates request ids. Ids hash to shards; a shard's
// owner appends claims to the shard's segment, one object of the object API,
// by conditional update. Whoever appends an id first holds its claim, however
// many nodes take themselves for the owner. Claims that arrive while a write
// is under way join the next write of the shard. A segment that has grown is
// moved to parts, objects that do not change, so that a write stays small.
package ledger

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// keyPrefix begins the keys of segment objects.
	keyPrefix = "ledger/"
	// claimTimeout bounds the wait for a claim's commit.
	claimTimeout = 3 * time.Second
	// ioTimeout bounds one read or write of a segment.
	ioTimeout = 2 * time.Second
	// doneMarkDelay is the longest time that a done mark waits for a write.
	doneMarkDelay = 10 * time.Second

	defaultShards         = 16
	defaultRetention      = 24 * time.Hour
	defaultCommitInterval = 250 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	// Node is this node's name.
	Node     string
	Store    objects.Store
	Settings *schema.LedgerSettings
	// Peers may be nil; then records are not handed over.
	Peers Peers
	// Logger may be nil.
	Logger *log.Logger
}

// Manager owns this node's ledger shards. One goroutine, Run, owns their
// state; the other methods may be called from any goroutine.
type Manager struct {
	node            string
	store           objects.Store
	peers           Peers
	logger          *log.Logger
	shardCount      uint32
	retention       time.Duration
	interval        time.Duration
	maxOutcomeBytes uint64
	runWithoutClaim bool
	sealEntries     int

	events          chan event
	stopped         chan struct{}
	topologyChanged chan struct{}
	nextTopology    atomic.Pointer[topology.Snapshot]

	// The Run goroutine owns what follows.
	ctx    context.Context
	io     sync.WaitGroup
	shards map[uint32]*shard
	// acquired is when this node became the owner of a shard.
	acquired map[uint32]time.Time
	topology *topology.Snapshot
}

// event is one input of the Run goroutine.
type event interface {
	apply(m *Manager)
}

// New returns a Manager that owns nothing until ApplyTopology is called.
func New(options Options) *Manager {
	s := options.Settings
	m := &Manager{
		node:            options.Node,
		store:           options.Store,
		peers:           options.Peers,
		logger:          options.Logger,
		shardCount:      s.GetShards(),
		retention:       s.GetRetention().AsDuration(),
		interval:        s.GetCommitInterval().AsDuration(),
		maxOutcomeBytes: s.GetMaxStoredOutcomeBytes(),
		runWithoutClaim: s.GetRunIdempotentWithoutClaim(),
		sealEntries:     defaultSealEntries,
		events:          make(chan event),
		stopped:         make(chan struct{}),
		topologyChanged: make(chan struct{}, 1),
		shards:          make(map[uint32]*shard),
		acquired:        make(map[uint32]time.Time),
	}
	m.setDefaults()
	return m
}

func (m *Manager) setDefaults() {
	if m.shardCount == 0 {
		m.shardCount = defaultShards
	}
	if m.retention <= 0 {
		m.retention = defaultRetention
	}
	if m.interval <= 0 {
		m.interval = defaultCommitInterval
	}
	if m.logger == nil {
		m.logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
}

// Run serves until ctx ends, and returns its error. It must be called once.
func (m *Manager) Run(ctx context.Context) error {
	m.ctx = objects.WithPriority(ctx, objects.PriorityClaim)
	defer m.io.Wait()
	defer close(m.stopped)
	for {
		select {
		case e := <-m.events:
			e.apply(m)
		case <-m.topologyChanged:
			m.adoptTopology(m.nextTopology.Load())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ShardOf returns the shard that a team's request id belongs to.
func (m *Manager) ShardOf(team, requestID string) uint32 {
	return newRequestKey(team, requestID).shard(m.shardCount)
}

// ApplyTopology takes over the shards that snapshot gives to this node and
// drops the others. Claims that wait on a dropped shard fail with not-owner.
func (m *Manager) ApplyTopology(snapshot *topology.Snapshot) {
	m.nextTopology.Store(snapshot)
	select {
	case m.topologyChanged <- struct{}{}:
	default:
	}
}

// Claim asks for the right to run a request. The reply's state is NEW for at
// most one attempt of an id, unless that attempt was released by Finish; the
// same attempt may ask again. A state of UNKNOWN still names target and stream
// if they are known. After any error the attempt holds no claim it may use;
// its caller reports it by Finish with NotRun.
func (m *Manager) Claim(ctx context.Context, request *schema.ClaimRequest) (*schema.ClaimReply, error) {
	if err := m.checkAge(request.GetRequestId()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := newRequestKey(request.GetTeam(), request.GetRequestId())
	c := &claim{
		ctx:     ctx,
		request: request,
		key:     key,
		shard:   key.shard(m.shardCount),
		attempt: hashAttempt(request.GetAttempt()),
		digest:  shortDigest(request.GetDigest()),
		result:  make(chan claimResult, 1),
	}
	if err := m.post(ctx, claimEvent{c}); err != nil {
		return nil, err
	}
	select {
	case r := <-c.result:
		return r.reply, r.err
	case <-m.stopped:
		return nil, errStopped()
	case <-ctx.Done():
		return c.late()
	}
}

// Finish records the progress or the end of a claimed request, or releases the
// claim of an attempt that was not and will not be dispatched. It may be
// repeated, also at a new owner, which learns of running requests by it.
func (m *Manager) Finish(ctx context.Context, request *schema.FinishRequest) (*schema.FinishReply, error) {
	key := newRequestKey(request.GetTeam(), request.GetRequestId())
	f := &finish{
		request: request,
		key:     key,
		shard:   key.shard(m.shardCount),
		attempt: hashAttempt(request.GetAttempt()),
		result:  make(chan error, 1),
	}
	if err := m.post(ctx, finishEvent{f}); err != nil {
		return nil, err
	}
	select {
	case err := <-f.result:
		return &schema.FinishReply{}, err
	case <-m.stopped:
		return nil, errStopped()
	case <-ctx.Done():
		return nil, errStoreUnavailable(ctx.Err())
	}
}

// checkAge refuses ids that carry a time at which they may be forgotten.
func (m *Manager) checkAge(requestID string) error {
	made, ok := idTime(requestID)
	if !ok {
		return nil
	}
	age := time.Since(made)
	if age > m.retention {
		return errKeyExpired(age, m.retention)
	}
	if age < -clockSkew {
		return errKeyInFuture()
	}
	return nil
}

func (m *Manager) post(ctx context.Context, e event) error {
	select {
	case m.events <- e:
		return nil
	case <-m.stopped:
		return errStopped()
	case <-ctx.Done():
		return errStoreUnavailable(ctx.Err())
	}
}

func segmentKey(shard uint32) string {
	return keyPrefix + strconv.FormatUint(uint64(shard), 10)
}
