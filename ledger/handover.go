package ledger

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// handoverWait is how long a new owner waits for a record of a claim that
	// it knows only from the store. It is shorter than an entry's wait for an
	// owner.
	handoverWait = time.Second
	// maxHandoverBytes bounds the records in one message.
	maxHandoverBytes = 1 << 20
	// maxHandoverMessages bounds the messages for one shard.
	maxHandoverMessages = 8
	handoverTries       = 4
	handoverTimeout     = time.Second
)

// Peers carries records to the next owners of shards.
type Peers interface {
	HandOverShard(ctx context.Context, node string, h *schema.LedgerHandover) error
}

// Adopt takes over records from the previous owner of a shard. It may come
// before this node knows that it owns the shard.
func (m *Manager) Adopt(ctx context.Context, h *schema.LedgerHandover) error {
	return m.post(ctx, handoverEvent{h})
}

type handoverEvent struct{ handover *schema.LedgerHandover }

func (e handoverEvent) apply(m *Manager) {
	s := m.shard(e.handover.GetShard())
	for _, r := range e.handover.GetRecords() {
		s.adopt(r)
	}
	s.retryUnsettled()
	s.schedule()
}

// adopt keeps a handed record unless this owner knows more. One of an attempt
// that does not hold the claim is dropped when the claim is looked up.
func (s *shard) adopt(handed *schema.LedgerRecord) {
	var key requestKey
	copy(key[:], handed.GetKey())
	if handed.GetReleased() {
		s.noteRelease(key, handed.GetAttempt())
		return
	}
	known := s.records.get(key)
	if known != nil && (known.attempt != handed.GetAttempt() || known.state >= handed.GetState()) {
		return
	}
	rec := decodeRecord(handed)
	if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
		s.records.finish(key, rec)
		return
	}
	s.run(key, rec)
}

// handOver sends the shard's records to its next owner.
func (s *shard) handOver(owner string) {
	m := s.manager
	messages := s.handovers()
	if m.peers == nil || owner == "" || len(messages) == 0 {
		return
	}
	m.io.Go(func() {
		for _, h := range messages {
			m.sendHandover(owner, h)
		}
	})
}

func (m *Manager) sendHandover(owner string, h *schema.LedgerHandover) {
	pause := objects.NewBackOff()
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
		time.Sleep(pause.NextBackOff())
	}
	m.logger.Warn().Str("event", "ledger_handover_failed").Uint32("shard", h.GetShard()).
		Str("to", owner).Int("records", len(h.GetRecords())).Err(err).Msg("")
}

// awaitsRecord reports whether another attempt's claim is known only from the
// store, while a handover or the entry's report may still tell more.
func (s *shard) awaitsRecord(c *claim) bool {
	if time.Since(s.acquired) >= handoverWait {
		return false
	}
	held, ok := s.held(c.key)
	if !ok || held.digest != c.digest || held.attempt == c.attempt {
		return false
	}
	rec := s.records.get(c.key)
	return rec == nil || rec.attempt != held.attempt
}

// settleLater keeps a claim until a record arrives or the wait is over.
func (s *shard) settleLater(c *claim) {
	s.unsettled = append(s.unsettled, c)
	s.wakeAfter(handoverWait - time.Since(s.acquired))
}

// retryUnsettled looks again at the claims that wait for a record.
func (s *shard) retryUnsettled() {
	unsettled := s.unsettled
	s.unsettled = nil
	for _, c := range unsettled {
		if c.ctx.Err() == nil {
			s.addClaim(c)
		}
	}
}

// handovers returns the records as messages of bounded size: releases that may
// not be stored, requests that run, and finished ones, the latest first.
func (s *shard) handovers() []*schema.LedgerHandover {
	b := &handoverBuilder{shard: s.number}
	for r := range s.released {
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

// handoverBuilder fills messages with records.
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
