package ledger

import (
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// finish is a pending Finish call.
type finish struct {
	request *schema.FinishRequest
	key     requestKey
	shard   uint32
	attempt uint64
	result  chan error
}

// applyFinish applies a Finish call to a loaded shard. A call of an attempt that
// does not hold the claim has no effect, except that a release is kept in case
// the write of the attempt's claim takes effect later.
func (s *shard) applyFinish(f *finish) {
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
	s.records.setFinished(f.key, rec)
	s.markDone(f.key)
}

// recordOf returns the record of the attempt, or a new one if only the stored
// entry is known. It returns nil if the attempt holds no claim or is done.
func (s *shard) recordOf(f *finish) *record {
	rec := s.records.get(f.key)
	if rec != nil && rec.attempt == f.attempt {
		if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
			return nil
		}
		return rec
	}
	current, ok := s.activeEntry(f.key)
	if !ok || current.attempt != f.attempt {
		return nil
	}
	rec = &record{attempt: f.attempt, digest: current.digest, entryNode: f.request.GetEntryNode()}
	s.addRunning(f.key, rec)
	return rec
}

func (s *shard) release(f *finish) {
	rec := s.records.get(f.key)
	if rec != nil && rec.attempt == f.attempt {
		s.records.remove(f.key)
		delete(s.unclaimed, f.key)
	}
	s.addRelease(f.key, f.attempt)
}

// release identifies an attempt whose claim was released. Releases of the same
// key may arrive in any order.
type release struct {
	key     requestKey
	attempt uint64
}

// addRelease keeps a release until it is stored, unless maxPendingReleases is
// reached.
func (s *shard) addRelease(key requestKey, attempt uint64) {
	if len(s.pendingReleases) >= maxPendingReleases {
		return
	}
	s.pendingReleases[release{key, attempt}] = struct{}{}
	if s.segment == nil {
		return
	}
	current, ok := s.segment.find(key)
	s.releaseDue = s.releaseDue || ok && current.attempt == attempt
}

func (s *shard) markDone(key requestKey) {
	current, ok := s.activeEntry(key)
	_, inSegment := s.segment.index[key]
	if !ok || !inSegment || current.done {
		return
	}
	if len(s.doneMarks) == 0 {
		s.oldestDoneMark = time.Now()
	}
	s.doneMarks[key] = current.attempt
}
