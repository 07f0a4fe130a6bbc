package gateway

import (
	"bytes"
	"errors"
	"strconv"
)

// eventBytes bounds one event of a stream.
const eventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("gateway: an event exceeds the size limit")
	errEventOrder    = errors.New("gateway: an event is missing after the stream was resumed")
)

// eventSplitter cuts a stream into whole events.
type eventSplitter struct {
	pending []byte
}

// add takes in bytes and returns the whole events that they complete. What it
// returns is valid until the next call.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	// What was pending holds no whole event; only an end across the seam is new.
	seam := max(0, len(s.pending)-(len(blankLineCRLF)-1))
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending[seam:])
	if end == 0 {
		if len(s.pending) > eventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	ready := s.pending[:seam+end]
	s.pending = append([]byte(nil), s.pending[seam+end:]...)
	return ready, nil
}

// rest returns what is left at the end of a stream.
func (s *eventSplitter) rest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
)

// lastEventEnd returns the end of the last whole event in p, 0 if there is none.
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

// nextEvent cuts the first whole event off p; rest is empty after the last.
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

// position follows the ids of a stream over the targets that continue it.
type position struct {
	last  uint64
	known bool
	// resumed is set until the first event of a continued stream.
	resumed bool
}

// filter returns the events that come after the position, in order, and moves
// it. Events that were passed on before are left out; an event that is missing
// is an error.
func (p *position) filter(events []byte) ([]byte, error) {
	kept := events[:0:0]
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest = nextEvent(rest)
		id, ok := eventID(event)
		if ok && p.known && id <= p.last {
			continue
		}
		if ok && p.known && p.resumed && id != p.last+1 {
			return kept, errEventOrder
		}
		if ok {
			p.last, p.known, p.resumed = id, true, false
		}
		kept = append(kept, event...)
	}
	return kept, nil
}
