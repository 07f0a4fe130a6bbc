package ledger

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/primrosemoor/primrosemoor/objects"
)

// maxPendingReleases limits the releases that wait for a write of one shard.
const maxPendingReleases = 10_000

// Retry intervals after a failed read or write of a segment.
const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = time.Second
)

// shard is the state of one shard. Only the Run goroutine accesses it.
type shard struct {
	manager *Manager
	number  uint32
	owned   bool
	// busy is true while a read or write of the segment is in progress.
	busy bool
	// segment is nil until it is loaded, and again after a write that
	// conflicted or may have taken effect.
	segment *segment
	// parts are the parts of the segment that was last loaded or written.
	parts   []*part
	records *records
	waiting []*claim
	// awaitingRecord holds the claims that wait for a record from the previous
	// owner or from the entry node of the running request.
	awaitingRecord []*claim
	// acquiredAt is when this node became the shard's owner.
	acquiredAt time.Time
	finishes   []*finish
	// releaseDue is true while the segment may hold a released claim.
	releaseDue bool
	// pendingReleases and doneMarks wait for the next write; doneMarks maps
	// keys to attempts.
	pendingReleases map[release]struct{}
	doneMarks       map[requestKey]uint64
	// unclaimed holds the requests that run without a stored claim until the
	// next write.
	unclaimed      map[requestKey]*claim
	oldestDoneMark time.Time
	lastWrite      time.Time
	// wakeAt is the time of the earliest pending wake event, or zero.
	wakeAt time.Time
	// notBefore is the earliest time of the next read or write.
	notBefore time.Time
	retry     *backoff.ExponentialBackOff
}

func newShard(m *Manager, number uint32) *shard {
	retry := objects.NewBackOff()
	retry.InitialInterval = initialRetryInterval
	retry.MaxInterval = maxRetryInterval
	return &shard{
		manager:         m,
		number:          number,
		owned:           true,
		records:         newRecords(),
		pendingReleases: make(map[release]struct{}),
		doneMarks:       make(map[requestKey]uint64),
		unclaimed:       make(map[requestKey]*claim),
		retry:           retry,
	}
}

// setSegment sets the segment that was loaded or written, and completes the
// pending calls that it can answer.
func (s *shard) setSegment(next *segment) {
	s.segment = next
	s.parts = next.parts
	s.prunePending()
	s.releaseDue = s.hasReleasedClaim()
	s.applyFinishes()
	s.answerWaiting()
}

// addClaim answers a claim immediately if the loaded segment determines the
// result; otherwise it queues the claim for a record or for the next write.
func (s *shard) addClaim(c *claim) {
	if s.segment != nil {
		if s.shouldAwaitRecord(c) {
			s.deferUntilRecord(c)
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

// addFinish queues a Finish call and applies it immediately if the segment is
// loaded.
func (s *shard) addFinish(f *finish) {
	s.finishes = append(s.finishes, f)
	if s.segment != nil {
		s.applyFinishes()
	}
	s.schedule()
}

// schedule starts a read or a write if one is needed and due.
func (s *shard) schedule() {
	if s.busy {
		return
	}
	if !s.needsIO() {
		s.scheduleDoneMarks()
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
	if len(s.waiting) > 0 || len(s.finishes) > 0 || len(s.unclaimed) > 0 || s.doneMarksDue() {
		return true
	}
	return s.releaseDue || s.segment == nil && len(s.pendingReleases) > 0
}

// scheduleDoneMarks schedules a write of the done marks, in case no claim causes
// one earlier.
func (s *shard) scheduleDoneMarks() {
	if len(s.doneMarks) > 0 {
		s.wakeAfter(maxDoneMarkDelay - time.Since(s.oldestDoneMark))
	}
}

// hasReleasedClaim reports whether the segment holds a claim that was released.
func (s *shard) hasReleasedClaim() bool {
	for r := range s.pendingReleases {
		e, ok := s.segment.find(r.key)
		if ok && e.attempt == r.attempt {
			return true
		}
	}
	return false
}

// doneMarksDue reports whether the oldest done mark has waited for
// maxDoneMarkDelay.
func (s *shard) doneMarksDue() bool {
	return len(s.doneMarks) > 0 && time.Since(s.oldestDoneMark) >= maxDoneMarkDelay
}

func (s *shard) applyFinishes() {
	for _, f := range s.finishes {
		s.applyFinish(f)
		f.result <- nil
	}
	s.finishes = nil
	s.retryAwaitingRecord()
}

// answerWaiting answers the waiting claims that need no write and removes those
// whose contexts have ended.
func (s *shard) answerWaiting() {
	s.waiting = slices.DeleteFunc(s.waiting, func(c *claim) bool {
		if c.ctx.Err() != nil {
			return true
		}
		if s.shouldAwaitRecord(c) {
			s.deferUntilRecord(c)
			return true
		}
		result, decided := s.decide(c)
		if decided {
			c.result <- result
		}
		return decided
	})
}

// removeCancelled removes the waiting claims whose contexts have ended.
func (s *shard) removeCancelled() {
	s.waiting = slices.DeleteFunc(s.waiting, func(c *claim) bool { return c.ctx.Err() != nil })
}

// relinquish hands the records over to the shard's new owner and fails the
// pending calls.
func (s *shard) relinquish(owner string) {
	s.owned = false
	s.handOver(owner)
	for _, c := range slices.Concat(s.waiting, s.awaitingRecord) {
		c.fail(errNotOwner(s.number, owner))
	}
	for _, f := range s.finishes {
		f.result <- errNotOwner(s.number, owner)
	}
	s.waiting = nil
	s.awaitingRecord = nil
	s.finishes = nil
}

// rejectWaiting fails the waiting claims of a shard that has reached
// maxShardEntries.
func (s *shard) rejectWaiting() {
	for _, c := range s.waiting {
		c.fail(errShardFull(s.number))
	}
	s.waiting = nil
}

// runUnclaimed lets waiting idempotent requests run without a stored claim, if
// the settings allow it and the last loaded segment has no claim of their ids.
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
			s.addRunning(c.key, rec)
			s.unclaimed[c.key] = c
		}
		result, decided := s.decideUnclaimed(c, s.records.get(c.key))
		if decided {
			c.result <- result
		}
		return decided
	})
}

func newNonce() string {
	return uuid.NewString()
}
