package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

const (
	// MaxEventBytes is the maximum size of one server-sent event.
	MaxEventBytes   = 1 << 20
	readBufferBytes = 4 << 10
)

// ErrEventTooLarge is returned for an event that exceeds MaxEventBytes.
var ErrEventTooLarge = errors.New("engine: event exceeds the size limit")

var doneMarker = []byte("[DONE]")

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	// ID is the event's index, counted from 1; 0 if the event has none.
	ID   uint64
	Data []byte
}

// Done reports whether the event is the [DONE] marker, which ends the stream.
func (e Event) Done() bool {
	return bytes.Equal(e.Data, doneMarker)
}

// EventReader parses server-sent events.
type EventReader struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
}

// readerPool reuses the buffers of closed streams.
var readerPool = sync.Pool{New: func() any {
	return &EventReader{reader: bufio.NewReaderSize(nil, readBufferBytes)}
}}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	e := readerPool.Get().(*EventReader)
	e.reader.Reset(r)
	return e
}

// release returns the reader to the pool, unless its buffers have grown beyond
// readBufferBytes. The reader and the data of its events must not be used
// afterwards.
func (r *EventReader) release() {
	if cap(r.line) > readBufferBytes || cap(r.data) > readBufferBytes {
		return
	}
	r.reader.Reset(nil)
	readerPool.Put(r)
}

// Next returns the next event that has data. It returns io.EOF if the stream ends
// between events and io.ErrUnexpectedEOF if it ends within an event.
func (r *EventReader) Next() (Event, error) {
	event := Event{}
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.readLine()
		if err == io.EOF && started {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(r.data) == 0 {
				event = Event{}
				started = false
				continue
			}
			event.Data = r.data[:len(r.data)-1]
			return event, nil
		}
		started = true
		if err := r.addField(&event, line); err != nil {
			return Event{}, err
		}
	}
}

// addField parses one line into the event. Unknown fields and comments are
// ignored, as the format requires.
func (r *EventReader) addField(event *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data)+len(value) >= MaxEventBytes {
			return ErrEventTooLarge
		}
		r.data = append(r.data, value...)
		r.data = append(r.data, '\n')
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err == nil {
			event.ID = id
		}
	}
	return nil
}

// readLine returns one line without its line ending. A last line that is not
// terminated returns io.ErrUnexpectedEOF.
func (r *EventReader) readLine() ([]byte, error) {
	part, err := r.reader.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(part), nil
	}
	r.line = r.line[:0]
	for err == bufio.ErrBufferFull {
		r.line = append(r.line, part...)
		if len(r.line) > MaxEventBytes {
			return nil, ErrEventTooLarge
		}
		part, err = r.reader.ReadSlice('\n')
	}
	r.line = append(r.line, part...)
	if err == io.EOF && len(r.line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return trimLineEnd(r.line), nil
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r"))
}

// AppendEvent appends the event in the server-sent events format.
func AppendEvent(buffer []byte, event Event) []byte {
	if event.ID > 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendUint(buffer, event.ID, 10)
		buffer = append(buffer, '\n')
	}
	rest := event.Data
	for more := true; more; {
		var line []byte
		line, rest, more = bytes.Cut(rest, []byte("\n"))
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}
