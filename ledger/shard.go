package ledger

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/primrosemoor/primrosemoor/objects"
)

// maxReleased bounds the releases that wait for a write of one shard.
const maxReleased = 10_000

// Retry intervals after a failed read or write of a segment.
const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = time.Second
)

// shard is one owned shard. The Run goroutine owns it.
type shard struct {
	manager *Manager
	number  uint32
	owned   bool
	// busy is set while a read or write of the segment is under way.
	busy bool
	// segment is nil until it is loaded, and again after a write whose
	// effect is not certain.
	segment *segment
	// parts are those of the last segment that was loaded or written.
	parts   []*part
	records *records
	waiting []*claim
	// unsettled claims wait for a record that the previous owner or the entry
	// of the running request may send.
	unsettled []*claim
	// acquired is when this node became the shard's owner.
	acquired time.Time
	finishes []*finish
	// releaseDue is set while the segment may hold a released claim.
	releaseDue bool
	// released and done wait for the next write; done holds attempts by key.
	released map[release]struct{}
	done     map[requestKey]uint64
	// unclaimed requests run without a stored claim until the next write.
	unclaimed map[requestKey]*claim
	doneSince time.Time
	lastWrite time.Time
	// wake is the time of the earliest pending wake event, or zero.
	wake time.Time
	// notBefore is the earliest time of the next read or write.
	notBefore time.Time
	retry     *backoff.ExponentialBackOff
}

func newShard(m *Manager, number uint32) *shard {
	retry := objects.NewBackOff()
	retry.InitialInterval = initialRetryInterval
	retry.MaxInterval = maxRetryInterval
	return &shard{
		manager:   m,
		number:    number,
		owned:     true,
		records:   newRecords(),
		released:  make(map[release]struct{}),
		done:      make(map[requestKey]uint64),
		unclaimed: make(map[requestKey]*claim),
		retry:     retry,
	}
}

// setSegment adopts a segment that was loaded or written, and answers what it
// allows to answer.
func (s *shard) setSegment(next *segment) {
	s.segment = next
	s.parts = next.parts
	s.pruneMarks()
	s.releaseDue = s.releasesStored()
	s.recordFinishes()
	s.answerWaiting()
}

// addClaim answers a claim at once if the segment allows it; otherwise the
// claim waits for the next write.
func (s *shard) addClaim(c *claim) {
	if s.segment != nil {
		if s.awaitsRecord(c) {
			s.settleLater(c)
			return
		}
		if result, decided := s.decide(c); decided {
			c.result <- result
			return
		}
	}
	s.waiting = append(s.waiting, c)
	s.schedule()
}

// addFinish records a finish, at once if the segment is loaded.
func (s *shard) addFinish(f *finish) {
	s.finishes = append(s.finishes, f)
	if s.segment != nil {
		s.recordFinishes()
	}
	s.schedule()
}

// schedule starts a read or a write if one is needed and due.
func (s *shard) schedule() {
	if s.busy {
		return
	}
	if !s.needsIO() {
		s.awaitDoneMarks()
		return
	}
	if wait := time.Until(s.notBefore); wait > 0 {
		s.wakeAfter(wait)
		return
	}
	if s.segment == nil {
		s.load()
		return
	}
	s.write()
}

func (s *shard) needsIO() bool {
	if len(s.waiting) > 0 || len(s.finishes) > 0 || len(s.unclaimed) > 0 || s.doneDue() {
		return true
	}
	return s.releaseDue || s.segment == nil && len(s.released) > 0
}

// awaitDoneMarks makes sure that done marks are written without a claim.
func (s *shard) awaitDoneMarks() {
	if len(s.done) > 0 {
		s.wakeAfter(doneMarkDelay - time.Since(s.doneSince))
	}
}

// releasesStored reports whether the segment holds a released claim.
func (s *shard) releasesStored() bool {
	for r := range s.released {
		e, ok := s.segment.find(r.key)
		if ok && e.attempt == r.attempt {
			return true
		}
	}
	return false
}

// doneDue reports whether the oldest done mark has waited long enough.
func (s *shard) doneDue() bool {
	return len(s.done) > 0 && time.Since(s.doneSince) >= doneMarkDelay
}

func (s *shard) recordFinishes() {
	for _, f := range s.finishes {
		s.record(f)
		f.result <- nil
	}
	s.finishes = nil
	s.retryUnsettled()
}

// answerWaiting answers the claims that need no write and forgets those whose
// callers are gone.
func (s *shard) answerWaiting() {
	s.waiting = slices.DeleteFunc(s.waiting, func(c *claim) bool {
		if c.ctx.Err() != nil {
			return true
		}
		if s.awaitsRecord(c) {
			s.settleLater(c)
			return true
		}
		result, decided := s.decide(c)
		if decided {
			c.result <- result
		}
		return decided
	})
}

// dropExpired forgets the claims whose callers are gone.
func (s *shard) dropExpired() {
	s.waiting = slices.DeleteFunc(s.waiting, func(c *claim) bool { return c.ctx.Err() != nil })
}

// drop fails what waits, after another node became the owner, and hands the
// records to it.
func (s *shard) drop(owner string) {
	s.owned = false
	s.handOver(owner)
	for _, c := range slices.Concat(s.waiting, s.unsettled) {
		c.fail(errNotOwner(s.number, owner))
	}
	for _, f := range s.finishes {
		f.result <- errNotOwner(s.number, owner)
	}
	s.waiting = nil
	s.unsettled = nil
	s.finishes = nil
}

// failFull refuses the waiting claims of a shard that holds too many.
func (s *shard) failFull() {
	for _, c := range s.waiting {
		c.fail(errShardFull(s.number))
	}
	s.waiting = nil
}

// runUnclaimed lets waiting idempotent requests run without a stored claim, if
// the settings allow it and the segment shows that their ids were free.
func (s *shard) runUnclaimed() {
	if !s.manager.runWithoutClaim || s.segment == nil {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(c *claim) bool {
		if !c.request.GetIdempotent() || c.ctx.Err() != nil {
			return false
		}
		if s.records.get(c.key) == nil {
			rec := c.record()
			rec.unclaimed = true
			s.run(c.key, rec)
			s.unclaimed[c.key] = c
		}
		result, decided := s.decideWithoutEntry(c, s.records.get(c.key))
		if decided {
			c.result <- result
		}
		return decided
	})
}

func newNonce() string {
	return uuid.NewString()
}
