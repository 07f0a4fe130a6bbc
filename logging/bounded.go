package logging

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// budgetWindow is the time over which lines of an event are counted.
	budgetWindow = time.Second
	// infoLines and failureLines are what one event may write in a window. A
	// busy node serves some tens of requests a second, with two lines each; what
	// says that something failed is the last to go.
	infoLines    = 150
	failureLines = 400
	// boundedQueue is how many lines may wait for the writer. More are dropped:
	// a reader that is slow must not slow the node.
	boundedQueue = 4096
	// closeTimeout bounds the wait for the reader of the last lines.
	closeTimeout = 300 * time.Millisecond
)

var errCloseTimeout = errors.New("logging: the last lines could not be written in time")

// BoundedLogger is a logger that never blocks its callers and writes a bounded number
// of lines. Lines of one event beyond its budget are left out, and a line
// lines_left_out says how many.
type BoundedLogger struct {
	Logger *log.Logger
	// lines wait for the writer. The library's AsyncWriter would do, but reads an
	// entry that it has already handed on (v1.0.121), which is a race.
	lines chan []byte
	// written gets the writer's last error at its end.
	written chan error
	// dropped is told of lines that were not written, record of those about a
	// request that were.
	dropped func(event string, lines int)
	record  func(request, line string)
	now     func() time.Time

	mu     sync.Mutex
	began  time.Time
	counts map[string]*lineCount

	// open keeps lines from a queue that has been closed.
	open   sync.RWMutex
	closed bool
}

// lineCount counts the lines of one event in the present window.
type lineCount struct {
	written, left int
}

// NewBoundedLogger returns a bounded logger that writes to out, or a bad-request error
// for an unknown level. dropped is told of lines that were not written, record of
// each line about a request that was.
func NewBoundedLogger(settings *schema.LogSettings, out io.Writer, dropped func(event string, lines int), record func(request, line string)) (*BoundedLogger, error) {
	level, err := parseLevel(settings.GetLevel())
	if err != nil {
		return nil, err
	}
	b := &BoundedLogger{
		lines:   make(chan []byte, boundedQueue),
		written: make(chan error, 1),
		dropped: dropped,
		record:  record,
		now:     time.Now,
		counts:  make(map[string]*lineCount),
	}
	b.Logger = &log.Logger{Level: level, TimeField: timeField, TimeFormat: timeFormat, Writer: b}
	go b.write(out)
	return b, nil
}

// requestField holds the id of the request that a line is about.
const requestField = "request"

// write writes the lines that wait, until there are no more to come.
func (b *BoundedLogger) write(out io.Writer) {
	var last error
	for line := range b.lines {
		if _, err := out.Write(line); err != nil {
			last = err
		}
	}
	b.written <- last
}

// WriteEntry implements log.Writer.
func (b *BoundedLogger) WriteEntry(e *log.Entry) (int, error) {
	event := eventOf(e)
	if !b.admit(event, e.Level) {
		return 0, nil
	}
	b.open.RLock()
	defer b.open.RUnlock()
	if b.closed {
		return 0, nil
	}
	line, request, err := format(e)
	if err != nil {
		return 0, err
	}
	select {
	case b.lines <- line:
	default:
		b.dropped(event, 1)
		return 0, nil
	}
	if request != "" {
		b.record(request, strings.TrimSuffix(string(line), "\n"))
	}
	return len(line), nil
}

// format returns an entry's line, and the request that it is about.
func format(e *log.Entry) (line []byte, request string, err error) {
	var out bytes.Buffer
	w := log.ConsoleWriter{Writer: &out, Formatter: func(out io.Writer, args *log.FormatterArgs) (int, error) {
		// The value points into a buffer that is used again.
		request = strings.Clone(args.Get(requestField))
		return formatLine(out, args)
	}}
	_, err = w.WriteEntry(e)
	return out.Bytes(), request, err
}

// admit counts a line and reports whether it is within its event's budget.
func (b *BoundedLogger) admit(event string, level log.Level) bool {
	b.mu.Lock()
	ended := b.turn()
	c := b.counts[event]
	if c == nil {
		c = &lineCount{}
		b.counts[event] = c
	}
	budget := infoLines
	if level >= log.WarnLevel {
		budget = failureLines
	}
	within := c.written < budget
	if within {
		c.written++
	} else {
		c.left++
	}
	b.mu.Unlock()
	b.report(ended)
	return within
}

// turn begins a new window if the present one is over, and returns what was left
// out of that one.
func (b *BoundedLogger) turn() map[string]int {
	now := b.now()
	if now.Sub(b.began) < budgetWindow {
		return nil
	}
	b.began = now
	left := make(map[string]int)
	for event, c := range b.counts {
		if c.left > 0 {
			left[event] = c.left
		}
	}
	clear(b.counts)
	return left
}

// report writes what was left out.
func (b *BoundedLogger) report(left map[string]int) {
	for event, lines := range left {
		b.dropped(event, lines)
		b.Logger.Warn().Str("event", "lines_left_out").Str("of", event).Int("lines", lines).Msg("")
	}
}

// Close writes what is left, but does not wait long for a reader that is stuck.
// Later lines are dropped, and later calls do nothing.
func (b *BoundedLogger) Close() error {
	b.mu.Lock()
	b.began = time.Time{}
	left := b.turn()
	b.mu.Unlock()
	b.report(left)
	b.open.Lock()
	closed := b.closed
	b.closed = true
	b.open.Unlock()
	if closed {
		return nil
	}
	close(b.lines)
	select {
	case err := <-b.written:
		return err
	case <-time.After(closeTimeout):
		return errCloseTimeout
	}
}

var eventField = []byte(`"event":"`)

// eventOf returns the name of a line's event.
func eventOf(e *log.Entry) string {
	_, rest, found := bytes.Cut(e.Value(), eventField)
	if !found {
		return ""
	}
	name, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(name)
}
