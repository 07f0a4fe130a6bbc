package ledger

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// handoverWait is how long a new owner waits for the record of a claim that
	// it knows only from the store. It is shorter than an entry node's wait for
	// the owner's reply.
	handoverWait = time.Second
	// maxHandoverBytes limits the size of the records in one message.
	maxHandoverBytes = 1 << 20
	// maxHandoverMessages is the number of messages for one shard beyond which
	// no more records of finished requests are added. Releases and the records
	// of running requests are always sent.
	maxHandoverMessages = 8
	handoverTries       = 4
	handoverTimeout     = time.Second
)

// Peers sends records to the next owners of shards.
type Peers interface {
	HandOverShard(ctx context.Context, node string, h *schema.LedgerHandover) error
}

// ReceiveHandover takes over records from the previous owner of a shard. It may
// be called before this node knows that it owns the shard.
func (m *Manager) ReceiveHandover(ctx context.Context, h *schema.LedgerHandover) error {
	return m.post(ctx, handoverEvent{h})
}

type handoverEvent struct{ handover *schema.LedgerHandover }

func (e handoverEvent) apply(m *Manager) {
	s := m.shard(e.handover.GetShard())
	for _, r := range e.handover.GetRecords() {
		s.mergeRecord(r)
	}
	s.retryAwaitingRecord()
	s.schedule()
}

// mergeRecord adds a record that was handed over, unless this owner has a more
// recent one. A record of an attempt that does not hold the claim is removed when
// the claim is looked up.
func (s *shard) mergeRecord(received *schema.LedgerRecord) {
	var key requestKey
	copy(key[:], received.GetKey())
	if received.GetReleased() {
		s.addRelease(key, received.GetAttempt())
		return
	}
	known := s.records.get(key)
	if known != nil && (known.attempt != received.GetAttempt() || known.state >= received.GetState()) {
		return
	}
	rec := decodeRecord(received)
	if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
		s.records.setFinished(key, rec)
		return
	}
	s.addRunning(key, rec)
}

// handOver sends the shard's records to its next owner.
func (s *shard) handOver(owner string) {
	m := s.manager
	messages := s.handoverMessages()
	if m.peers == nil || owner == "" || len(messages) == 0 {
		return
	}
	m.ioTasks.Go(func() {
		for _, h := range messages {
			m.sendHandover(owner, h)
		}
	})
}

func (m *Manager) sendHandover(owner string, h *schema.LedgerHandover) {
	retryBackoff := objects.NewBackOff()
	var err error
	for range handoverTries {
		ctx, cancel := context.WithTimeout(m.ctx, handoverTimeout)
		err = m.peers.HandOverShard(ctx, owner, h)
		cancel()
		if err == nil {
			m.logger.Info().Str("event", "ledger_handover").Uint32("shard", h.GetShard()).
				Str("to", owner).Int("records", len(h.GetRecords())).Msg("")
			return
		}
		time.Sleep(retryBackoff.NextBackOff())
	}
	m.logger.Warn().Str("event", "ledger_handover_failed").Uint32("shard", h.GetShard()).
		Str("to", owner).Int("records", len(h.GetRecords())).Err(err).Msg("")
}

// shouldAwaitRecord reports whether the id is claimed by another attempt whose
// state is known only from the store, while a handover or a Finish call of its
// entry node may still provide a record.
func (s *shard) shouldAwaitRecord(c *claim) bool {
	if time.Since(s.acquiredAt) >= handoverWait {
		return false
	}
	current, ok := s.activeEntry(c.key)
	if !ok || current.digest != c.digest || current.attempt == c.attempt {
		return false
	}
	rec := s.records.get(c.key)
	return rec == nil || rec.attempt != current.attempt
}

// deferUntilRecord queues a claim until a record arrives or handoverWait has
// passed since this node acquired the shard.
func (s *shard) deferUntilRecord(c *claim) {
	s.awaitingRecord = append(s.awaitingRecord, c)
	s.wakeAfter(handoverWait - time.Since(s.acquiredAt))
}

// retryAwaitingRecord processes the claims that wait for a record again.
func (s *shard) retryAwaitingRecord() {
	deferred := s.awaitingRecord
	s.awaitingRecord = nil
	for _, c := range deferred {
		if c.ctx.Err() == nil {
			s.addClaim(c)
		}
	}
}

// handoverMessages returns messages of limited size with the releases that may
// not be stored, then the records of running requests, and then those of finished
// ones, the latest first.
func (s *shard) handoverMessages() []*schema.LedgerHandover {
	b := &handoverBuilder{shard: s.number}
	for r := range s.pendingReleases {
		b.add(&schema.LedgerRecord{Key: r.key[:], Attempt: r.attempt, Released: true})
	}
	for key, rec := range s.records.running {
		b.add(rec.encode(key))
	}
	keys := s.records.finished.Keys()
	for i := len(keys) - 1; i >= 0 && len(b.messages) <= maxHandoverMessages; i-- {
		rec, _ := s.records.finished.Peek(keys[i])
		b.add(rec.encode(keys[i]))
	}
	return b.messages
}

// handoverBuilder distributes records over messages of limited size.
type handoverBuilder struct {
	shard    uint32
	bytes    int
	messages []*schema.LedgerHandover
}

func (b *handoverBuilder) add(record *schema.LedgerRecord) {
	size := proto.Size(record)
	if len(b.messages) == 0 || b.bytes+size > maxHandoverBytes {
		b.messages = append(b.messages, &schema.LedgerHandover{Shard: b.shard})
		b.bytes = 0
	}
	last := b.messages[len(b.messages)-1]
	last.Records = append(last.Records, record)
	b.bytes += size
}

func (r *record) encode(key requestKey) *schema.LedgerRecord {
	return &schema.LedgerRecord{
		Key:       key[:],
		Attempt:   r.attempt,
		Digest:    r.digest,
		State:     r.state,
		EntryNode: r.entryNode,
		Target:    r.target,
		Address:   r.address,
		StreamId:  r.streamID,
		Outcome:   r.outcome,
		Unclaimed: r.unclaimed,

		EntryIncarnation: r.incarnation,
	}
}

func decodeRecord(r *schema.LedgerRecord) *record {
	return &record{
		incarnation: r.GetEntryIncarnation(),

		attempt:   r.GetAttempt(),
		digest:    r.GetDigest(),
		state:     r.GetState(),
		entryNode: r.GetEntryNode(),
		target:    r.GetTarget(),
		address:   r.GetAddress(),
		streamID:  r.GetStreamId(),
		outcome:   r.GetOutcome(),
		unclaimed: r.GetUnclaimed(),
	}
}
