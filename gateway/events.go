package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("gateway: an event exceeds the size limit")
	errHeldTooLarge  = fmt.Errorf("%w while other requests hold back much", errEventTooLarge)
	// errEventUnfinished counts as a close by the target, which ended the connection.
	errEventUnfinished = fmt.Errorf("gateway: the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	errEventGap        = errors.New("gateway: an event is missing after the stream was resumed")
	errForeignResponse = errors.New("gateway: the bytes of another response are in the stream")
	errNotContinued    = errors.New("gateway: the response to a resumed stream does not continue it")
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	pending []byte
	held    *holding
}

// add appends p and returns the events that it completes. The result is valid
// until the next call.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	// The pending bytes hold no complete event, so that only a terminator that ends
	// in p can be new.
	searchFrom := max(0, len(s.pending)-(len(blankLineCRLF)-1))
	if !s.held.set(len(s.pending) + len(p)) {
		return nil, errHeldTooLarge
	}
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending[searchFrom:])
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	ready := s.pending[:searchFrom+end]
	s.pending = append([]byte(nil), s.pending[searchFrom+end:]...)
	return ready, nil
}

// settle is called when the result of add is no longer used.
func (s *eventSplitter) settle() { s.held.set(len(s.pending)) }

// insideEvent reports whether an event is unfinished.
func (s *eventSplitter) insideEvent() bool {
	return len(bytes.Trim(s.pending, "\r\n")) > 0
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
	statusLine    = []byte("HTTP/1.")
)

// lastEventEnd returns the end of the last complete event in p, or 0 if there is none.
func lastEventEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, blankLine); i >= 0 {
		end = i + len(blankLine)
	}
	if i := bytes.LastIndex(p, blankLineCRLF); i >= 0 {
		end = max(end, i+len(blankLineCRLF))
	}
	return end
}

// nextEvent splits the first event off p; rest is empty after the last one.
func nextEvent(p []byte) (event, rest []byte) {
	end := len(p)
	if i := bytes.Index(p, blankLine); i >= 0 {
		end = i + len(blankLine)
	}
	if i := bytes.Index(p, blankLineCRLF); i >= 0 {
		end = min(end, i+len(blankLineCRLF))
	}
	return p[:end], p[end:]
}

// eventID returns the id of an event; ok is false if it has none.
func eventID(event []byte) (id uint64, ok bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// hasStatusLine reports whether a line of an event begins a response. Nothing else shows
// where a stream with neither length nor chunks ends.
func hasStatusLine(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, statusLine) {
			return true
		}
	}
	return false
}

// isComment reports whether an event consists of comments only.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.Trim(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// streamPosition tracks the ids of a stream across the targets that resume it.
type streamPosition struct {
	lastID    uint64
	hasLastID bool
	// resuming is set once another target resumes a stream that has begun. Each event
	// then has to follow the last one.
	resuming bool
	// continued is set once the current target has sent an event that follows.
	continued bool
}

// resume prepares for a stream from another target.
func (p *streamPosition) resume() { p.resuming, p.continued = true, false }

// filter returns the events that follow the position, in order, and advances it.
// Events that were already sent are dropped. A missing event is an error, and so are
// an event without an id where a resumed stream is to continue, and a further response.
func (p *streamPosition) filter(events []byte) ([]byte, error) {
	kept := events[:0:0]
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest = nextEvent(rest)
		id, ok := eventID(event)
		switch {
		case hasStatusLine(event):
			return kept, errForeignResponse
		case !ok && p.resuming && !p.continued && !isComment(event):
			return kept, errNotContinued
		case ok && p.hasLastID && id <= p.lastID:
			continue
		case ok && p.resuming && id != p.lastID+1:
			return kept, errEventGap
		case ok:
			p.lastID, p.hasLastID, p.continued = id, true, true
		}
		kept = append(kept, event...)
	}
	return kept, nil
}

// end returns an error if a stream that ends here did not continue the one that it
// resumes: an error that looks like a stream has no event that does.
func (p *streamPosition) end() error {
	if p.resuming && !p.continued {
		return errNotContinued
	}
	return nil
}
