package engine

import (
	"fmt"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// stream is the execution of one request and its output so far. It continues
// without readers, so that a reader can reconnect.
type stream struct {
	id              string
	requestID       string
	model           string
	line            record.Line
	hashes          []uint64
	promptTokens    int
	cachedTokens    int
	maxOutputTokens int
	crashes         bool

	mu           sync.Mutex
	outputTokens int
	finishReason string
	endedAt      time.Time
	readers      int
	idleSince    time.Time
	changed      chan struct{}

	// prefillLeft is the number of prompt tokens still to compute; it is owned
	// by the batch loop.
	prefillLeft int
}

// Finish reasons.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// progress is a snapshot of a stream's output. changed is closed at the next
// change, and finishReason is empty until the stream ends.
type progress struct {
	outputTokens int
	finishReason string
	changed      <-chan struct{}
}

// TokenText returns the text of one output token. It depends only on the request
// id and the index, so that checkers can verify the output.
func TokenText(requestID string, index int) string {
	return fmt.Sprintf("%s:%d ", requestID, index)
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{outputTokens: s.outputTokens, finishReason: s.finishReason, changed: s.changed}
}

// attach adds a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach removes a reader. Without readers, the grace period for resuming starts.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.idleSince = time.Now()
	}
}

// abandoned reports whether an unfinished stream has had no reader for the grace
// period.
func (s *stream) abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && s.finishReason == "" && now.Sub(s.idleSince) >= grace
}

// expired reports whether the stream ended at least the retention time ago.
func (s *stream) expired(now time.Time, retention time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishReason != "" && now.Sub(s.endedAt) >= retention
}

func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishReason != ""
}

// addToken adds one output token and reports whether it was the last one
// allowed. It does nothing if the stream has ended.
func (s *stream) addToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishReason != "" {
		return false
	}
	s.outputTokens++
	s.notifyReaders()
	return s.outputTokens >= s.maxOutputTokens
}

// end ends the stream and reports whether it was still running.
func (s *stream) end(reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishReason != "" {
		return false
	}
	s.finishReason = reason
	s.endedAt = time.Now()
	s.line.OutputTokens = s.outputTokens
	s.notifyReaders()
	return true
}

// notifyReaders wakes the readers that wait for a change. s.mu must be held.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
