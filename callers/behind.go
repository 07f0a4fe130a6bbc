package callers

import (
	"bytes"
	"net/http"
)

const (
	// readerBytes is what net/http reads of a connection at a time, beside reads of a body.
	readerBytes = 4 << 10
	// strayBytes may follow a request without being the beginning of another one: net/http
	// skips two line ends after a POST.
	strayBytes = 4
)

var lastChunk = []byte("0\r\n\r\n")

// arrival counts what has come since a request began, to know what has come behind it: net/http
// reads that before the request is answered, and parses it before it reads again.
type arrival struct {
	// headEnded is set once the end of the head has come; empty and some are whether the
	// current line is empty and whether there was another one.
	headEnded, empty, some bool
	// rest is what has come behind the head, tail what may have come behind the last chunk of
	// the body, and lines the lines of the last read.
	rest, tail, lines int
	// bodyLength is the length of the body, or negative if it comes in chunks.
	bodyLength int64
}

func newArrival() arrival { return arrival{empty: true} }

// readHead records bytes that came before the head of a request was parsed, and returns how many
// of them are of the head.
func (a *arrival) readHead(p []byte) (head int) {
	if a.headEnded {
		a.readRest(p)
		return 0
	}
	end := a.headEnd(p)
	if end < 0 {
		return len(p)
	}
	a.headEnded = true
	a.readRest(p[end:])
	return end
}

// headEnd returns where the empty line behind the fields ends, or a negative number.
func (a *arrival) headEnd(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\n' && a.empty && a.some:
			return i + 1
		case b == '\n':
			a.some, a.empty = a.some || !a.empty, true
		case b != '\r':
			a.empty = false
		}
	}
	return -1
}

// readRest records bytes that came behind a head.
func (a *arrival) readRest(p []byte) {
	a.rest += len(p)
	if len(p) == 1 { // net/http waits for a byte behind the request.
		a.tail, a.lines = a.tail+1, a.lines+bytes.Count(p, []byte{'\n'})
		return
	}
	a.tail, a.lines = 0, 0
	if len(p) > readerBytes {
		return // They were read as a part of the body.
	}
	a.lines = bytes.Count(p, []byte{'\n'})
	a.tail = len(p)
	// The first one may be within the body, which counts too much.
	if i := bytes.Index(p, lastChunk); i >= 0 {
		a.tail -= i + len(lastChunk)
	}
}

// begin records that the head of a request was parsed, for which so many bytes and lines had
// come. If its end was not seen, because it had come behind another one, what is left of these
// may follow it.
func (a *arrival) begin(r *http.Request, size, lines int) {
	if !a.headEnded {
		a.rest += max(0, size-wireBytes(r))
		a.lines = max(a.lines, lines)
	}
	a.bodyLength = r.ContentLength
}

// behind returns how many bytes and lines of a further request have come behind a request that
// has ended, at most.
func (a *arrival) behind() (size, lines int) {
	size = a.tail
	if a.bodyLength >= 0 {
		size = a.rest - int(min(a.bodyLength, int64(a.rest)))
	}
	if size <= strayBytes {
		return 0, 0
	}
	size = min(size, readerBytes) // The rest was read for what is counted already.
	return size, min(a.lines, size)
}

// wireBytes returns the least number of bytes of a head.
func wireBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
		}
	}
	return size
}
