package ledger

import (
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// finish is one waiting Finish call.
type finish struct {
	request *schema.FinishRequest
	key     requestKey
	shard   uint32
	attempt uint64
	result  chan error
}

// record applies a finish to a loaded shard. One of an attempt that does not
// hold the claim changes nothing, except that a release is remembered in case
// the attempt's write takes effect later.
func (s *shard) record(f *finish) {
	if f.request.GetNotRun() {
		s.release(f)
		return
	}
	rec := s.recordOf(f)
	if rec == nil {
		return
	}
	rec.target = f.request.GetTarget()
	rec.address = f.request.GetAddress()
	rec.streamID = f.request.GetStreamId()
	if f.request.GetState() != schema.ClaimState_CLAIM_STATE_DONE {
		rec.state = schema.ClaimState_CLAIM_STATE_RUNNING
		return
	}
	rec.state = schema.ClaimState_CLAIM_STATE_DONE
	if uint64(len(f.request.GetOutcome().GetBody())) <= s.manager.maxOutcomeBytes {
		rec.outcome = f.request.GetOutcome()
	}
	s.records.finish(f.key, rec)
	s.markDone(f.key)
}

// recordOf returns the attempt's record, a new one if only the entry is known,
// or nil if the attempt holds no claim or has ended.
func (s *shard) recordOf(f *finish) *record {
	rec := s.records.get(f.key)
	if rec != nil && rec.attempt == f.attempt {
		if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
			return nil
		}
		return rec
	}
	held, ok := s.held(f.key)
	if !ok || held.attempt != f.attempt {
		return nil
	}
	rec = &record{attempt: f.attempt, digest: held.digest, entryNode: f.request.GetEntryNode()}
	s.run(f.key, rec)
	return rec
}

func (s *shard) release(f *finish) {
	rec := s.records.get(f.key)
	if rec != nil && rec.attempt == f.attempt {
		s.records.remove(f.key)
		delete(s.unclaimed, f.key)
	}
	s.noteRelease(f.key, f.attempt)
}

// release names an attempt that gave its claim back. Releases of one key may
// come in any order.
type release struct {
	key     requestKey
	attempt uint64
}

// noteRelease remembers a release until it is stored.
func (s *shard) noteRelease(key requestKey, attempt uint64) {
	if len(s.released) >= maxReleased {
		return
	}
	s.released[release{key, attempt}] = struct{}{}
	if s.segment == nil {
		return
	}
	held, ok := s.segment.find(key)
	s.releaseDue = s.releaseDue || ok && held.attempt == attempt
}

func (s *shard) markDone(key requestKey) {
	held, ok := s.held(key)
	_, inSegment := s.segment.index[key]
	if !ok || !inSegment || held.done {
		return
	}
	if len(s.done) == 0 {
		s.doneSince = time.Now()
	}
	s.done[key] = held.attempt
}
