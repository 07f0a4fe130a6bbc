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
	// errEventUnfinished counts as a close by the target, which ended the connection.
	errEventUnfinished = fmt.Errorf("gateway: the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	errEventGap        = errors.New("gateway: an event is missing after the stream was resumed")
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	pending []byte
}

// add appends p and returns the events that it completes. The result is valid
// until the next call.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	// The pending bytes hold no complete event, so that only a terminator that ends
	// in p can be new.
	searchFrom := max(0, len(s.pending)-(len(blankLineCRLF)-1))
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

// insideEvent reports whether an event is unfinished.
func (s *eventSplitter) insideEvent() bool {
	return len(bytes.Trim(s.pending, "\r\n")) > 0
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
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

// streamPosition tracks the ids of a stream across the targets that resume it.
type streamPosition struct {
	lastID    uint64
	hasLastID bool
	// resuming is set until the first event of a resumed stream.
	resuming bool
}

// filter returns the events that follow the position, in order, and advances it.
// Events that were already sent are dropped; a missing event is an error.
func (p *streamPosition) filter(events []byte) ([]byte, error) {
	kept := events[:0:0]
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest = nextEvent(rest)
		id, ok := eventID(event)
		if ok && p.hasLastID && id <= p.lastID {
			continue
		}
		if ok && p.hasLastID && p.resuming && id != p.lastID+1 {
			return kept, errEventGap
		}
		if ok {
			p.lastID, p.hasLastID, p.resuming = id, true, false
		}
		kept = append(kept, event...)
	}
	return kept, nil
}
