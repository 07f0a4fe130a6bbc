// Package ledger deduplicates request ids. Ids hash to shards; a shard's
// owner appends claims to the shard's segment, one object of the object API,
// by conditional update. The attempt that appends an id first holds its claim,
// even if several nodes act as the owner at once. Claims that arrive during a
// write are batched into the shard's next write. Entries of a large segment
// are moved to parts, which are immutable objects, to keep each write small.
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
	// keyPrefix is the prefix of the keys of segments and parts.
	keyPrefix = "ledger/"
	// claimTimeout is the longest wait for a claim's commit.
	claimTimeout = 3 * time.Second
	// ioTimeout is the timeout of one read or write of a segment and its parts.
	ioTimeout = 2 * time.Second
	// maxDoneMarkDelay is the longest time that a done mark waits for a write.
	maxDoneMarkDelay = 10 * time.Second

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
	// Peers sends records to the next owner of a shard. If it is nil, records
	// are not handed over.
	Peers Peers
	// Logger may be nil.
	Logger *log.Logger
}

// Manager manages this node's ledger shards. Only the Run goroutine accesses
// their state; the other methods are safe for concurrent use.
type Manager struct {
	node            string
	store           objects.Store
	peers           Peers
	logger          *log.Logger
	shardCount      uint32
	retention       time.Duration
	commitInterval  time.Duration
	maxOutcomeBytes uint64
	runWithoutClaim bool
	sealThreshold   int

	events          chan event
	stopped         chan struct{}
	topologyChanged chan struct{}
	nextTopology    atomic.Pointer[topology.Snapshot]

	// Only the Run goroutine accesses the fields below.
	ctx     context.Context
	ioTasks sync.WaitGroup
	shards  map[uint32]*shard
	// acquiredAt maps a shard to the time at which this node became its owner.
	acquiredAt map[uint32]time.Time
	topology   *topology.Snapshot
}

// event is an input that the Run goroutine applies.
type event interface {
	apply(m *Manager)
}

// New returns a Manager that owns no shards until ApplyTopology is called.
func New(options Options) *Manager {
	s := options.Settings
	m := &Manager{
		node:            options.Node,
		store:           options.Store,
		peers:           options.Peers,
		logger:          options.Logger,
		shardCount:      s.GetShards(),
		retention:       s.GetRetention().AsDuration(),
		commitInterval:  s.GetCommitInterval().AsDuration(),
		maxOutcomeBytes: s.GetMaxStoredOutcomeBytes(),
		runWithoutClaim: s.GetRunIdempotentWithoutClaim(),
		sealThreshold:   defaultSealThreshold,
		events:          make(chan event),
		stopped:         make(chan struct{}),
		topologyChanged: make(chan struct{}, 1),
		shards:          make(map[uint32]*shard),
		acquiredAt:      make(map[uint32]time.Time),
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
	if m.commitInterval <= 0 {
		m.commitInterval = defaultCommitInterval
	}
	if m.logger == nil {
		m.logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
}

// Run processes events until ctx ends, and returns its error. It must be called
// once.
func (m *Manager) Run(ctx context.Context) error {
	m.ctx = objects.WithPriority(ctx, objects.PriorityClaim)
	defer m.ioTasks.Wait()
	defer close(m.stopped)
	for {
		select {
		case e := <-m.events:
			e.apply(m)
		case <-m.topologyChanged:
			m.setTopology(m.nextTopology.Load())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ShardOf returns the shard that a team's request id belongs to.
func (m *Manager) ShardOf(team, requestID string) uint32 {
	return newRequestKey(team, requestID).shard(m.shardCount)
}

// ApplyTopology takes over the shards that snapshot assigns to this node and
// relinquishes the others. Pending calls for a relinquished shard fail with
// not-owner.
func (m *Manager) ApplyTopology(snapshot *topology.Snapshot) {
	m.nextTopology.Store(snapshot)
	select {
	case m.topologyChanged <- struct{}{}:
	default:
	}
}

// Claim requests the right to run a request. The reply's state is NEW for at
// most one attempt of an id, unless Finish released that attempt's claim; the
// same attempt may repeat the call. A reply in state UNKNOWN contains the
// target and stream if they are known. After any error the attempt must not run
// the request; the caller releases the claim by Finish with NotRun.
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
		return c.resultAfterCancel()
	}
}

// Finish records the progress or the completion of a claimed request, or
// releases the claim of an attempt that was not and will not be dispatched. It
// may be repeated, also at a new owner of the shard, which learns of running
// requests this way.
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

// checkAge rejects a request id whose embedded timestamp is older than the
// retention, since its claim may have been deleted, or lies in the future.
func (m *Manager) checkAge(requestID string) error {
	created, ok := uuidTime(requestID)
	if !ok {
		return nil
	}
	age := time.Since(created)
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
