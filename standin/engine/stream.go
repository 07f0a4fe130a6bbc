package engine

import (
	"fmt"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// stream is one run of a request and the tokens it has produced.
type stream struct {
	id        string
	requestID string
	model     string
	line      record.Line
	hashes    []uint64
	prompt    int
	cached    int
	maxOutput int
	crash     bool

	mu       sync.Mutex
	output   int
	finish   string
	endedAt  time.Time
	readers  int
	idleFrom time.Time
	changed  chan struct{}

	// prefillLeft belongs to the batch loop.
	prefillLeft int
}

// Finish reasons.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// progress is one view of a stream.
type progress struct {
	output  int
	finish  string
	changed <-chan struct{}
}

// TokenText returns the text of one output token; it is determined by the
// request id.
func TokenText(requestID string, index int) string {
	return fmt.Sprintf("%s:%d ", requestID, index)
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{output: s.output, finish: s.finish, changed: s.changed}
}

// attach counts a reader; detach notes when the last one left.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.idleFrom = time.Now()
	}
}

// abandoned reports whether the stream has had no reader for the grace time.
func (s *stream) abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && s.finish == "" && now.Sub(s.idleFrom) >= grace
}

func (s *stream) expired(now time.Time, retention time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finish != "" && now.Sub(s.endedAt) >= retention
}

func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finish != ""
}

// addToken adds one output token and reports whether it was the last.
func (s *stream) addToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish != "" {
		return false
	}
	s.output++
	s.signal()
	return s.output >= s.maxOutput
}

// end finishes the stream once and reports whether it did so.
func (s *stream) end(reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish != "" {
		return false
	}
	s.finish = reason
	s.endedAt = time.Now()
	s.line.OutputTokens = s.output
	s.signal()
	return true
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
