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
	// budgetWindow is the interval over which the lines of an event are counted.
	budgetWindow = time.Second
	// infoBudget and failureBudget are the numbers of lines that one event may
	// write in a window. A busy node serves some tens of requests a second, with
	// two lines each. Lines of level warn and above report failures and have the
	// larger budget, so that they are dropped last.
	infoBudget    = 150
	failureBudget = 400
	// boundedQueueCapacity is the number of lines that may wait for the writer.
	// More are dropped, so that a slow reader of the log does not slow the node.
	boundedQueueCapacity = 4096
	// closeTimeout bounds how long Close waits for the last lines to be written.
	closeTimeout = 300 * time.Millisecond
)

var errCloseTimeout = errors.New("logging: timed out while writing the last lines")

// BoundedLogger is a logger that never blocks its callers and writes a limited number
// of lines per event. Lines beyond the budget of an event are dropped; an event
// lines_left_out reports their number.
type BoundedLogger struct {
	Logger *log.Logger
	// lines is the queue of the writer. The library's AsyncWriter is not used,
	// because it reads an entry that it has already passed on (v1.0.121), which is
	// a data race.
	lines chan []byte
	// writeResult receives the last write error when the writer ends.
	writeResult chan error
	// onDropped is called for lines that are not written, onRequestLine for each
	// queued line that is about a request.
	onDropped     func(event string, lines int)
	onRequestLine func(request, line string)
	now           func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]*lineCount

	// closeMu ensures that no line is sent to the queue after it is closed.
	closeMu sync.RWMutex
	closed  bool
}

// lineCount counts the lines of one event in the current window.
type lineCount struct {
	admitted, dropped int
}

// NewBoundedLogger returns a bounded logger that writes to out, or a bad-request
// error for an unknown level. onDropped is called for lines that are not written,
// onRequestLine for each queued line that is about a request.
func NewBoundedLogger(settings *schema.LogSettings, out io.Writer, onDropped func(event string, lines int), onRequestLine func(request, line string)) (*BoundedLogger, error) {
	level, err := parseLevel(settings.GetLevel())
	if err != nil {
		return nil, err
	}
	b := &BoundedLogger{
		lines:         make(chan []byte, boundedQueueCapacity),
		writeResult:   make(chan error, 1),
		onDropped:     onDropped,
		onRequestLine: onRequestLine,
		now:           time.Now,
		counts:        make(map[string]*lineCount),
	}
	b.Logger = &log.Logger{Level: level, TimeField: timeField, TimeFormat: timeFormat, Writer: b}
	go b.writeLines(out)
	return b, nil
}

// requestField is the field with the id of the request that a line is about.
const requestField = "request"

// writeLines writes the queued lines to out until the queue is closed.
func (b *BoundedLogger) writeLines(out io.Writer) {
	var lastErr error
	for line := range b.lines {
		if _, err := out.Write(line); err != nil {
			lastErr = err
		}
	}
	b.writeResult <- lastErr
}

// WriteEntry implements log.Writer.
func (b *BoundedLogger) WriteEntry(e *log.Entry) (int, error) {
	event := eventName(e)
	if !b.admit(event, e.Level) {
		return 0, nil
	}
	b.closeMu.RLock()
	defer b.closeMu.RUnlock()
	if b.closed {
		return 0, nil
	}
	line, request, err := formatEntry(e)
	if err != nil {
		return 0, err
	}
	select {
	case b.lines <- line:
	default:
		b.onDropped(event, 1)
		return 0, nil
	}
	if request != "" {
		b.onRequestLine(request, strings.TrimSuffix(string(line), "\n"))
	}
	return len(line), nil
}

// formatEntry returns the line of an entry, and the id of the request that it is
// about, if any.
func formatEntry(e *log.Entry) (line []byte, request string, err error) {
	var out bytes.Buffer
	w := log.ConsoleWriter{Writer: &out, Formatter: func(out io.Writer, args *log.FormatterArgs) (int, error) {
		// The value points into a buffer that is reused.
		request = strings.Clone(args.Get(requestField))
		return formatLine(out, args)
	}}
	_, err = w.WriteEntry(e)
	return out.Bytes(), request, err
}

// admit counts a line and reports whether it is within the budget of its event.
func (b *BoundedLogger) admit(event string, level log.Level) bool {
	b.mu.Lock()
	dropped := b.rotateWindow()
	c := b.counts[event]
	if c == nil {
		c = &lineCount{}
		b.counts[event] = c
	}
	budget := infoBudget
	if level >= log.WarnLevel {
		budget = failureBudget
	}
	admitted := c.admitted < budget
	if admitted {
		c.admitted++
	} else {
		c.dropped++
	}
	b.mu.Unlock()
	b.reportDropped(dropped)
	return admitted
}

// rotateWindow begins a new window if the current one is over, and returns the
// number of lines dropped in that one, by event. The caller holds mu.
func (b *BoundedLogger) rotateWindow() map[string]int {
	now := b.now()
	if now.Sub(b.windowStart) < budgetWindow {
		return nil
	}
	b.windowStart = now
	dropped := make(map[string]int)
	for event, c := range b.counts {
		if c.dropped > 0 {
			dropped[event] = c.dropped
		}
	}
	clear(b.counts)
	return dropped
}

// reportDropped counts and logs the lines dropped in a window, by event.
func (b *BoundedLogger) reportDropped(dropped map[string]int) {
	for event, lines := range dropped {
		b.onDropped(event, lines)
		b.Logger.Warn().Str("event", "lines_left_out").Str("of", event).Int("lines", lines).Msg("")
	}
}

// Close writes the queued lines. It waits at most closeTimeout, so that a blocked
// reader of the log does not block it. Later lines are dropped, and later calls do
// nothing.
func (b *BoundedLogger) Close() error {
	b.mu.Lock()
	b.windowStart = time.Time{}
	dropped := b.rotateWindow()
	b.mu.Unlock()
	b.reportDropped(dropped)
	b.closeMu.Lock()
	alreadyClosed := b.closed
	b.closed = true
	b.closeMu.Unlock()
	if alreadyClosed {
		return nil
	}
	close(b.lines)
	select {
	case err := <-b.writeResult:
		return err
	case <-time.After(closeTimeout):
		return errCloseTimeout
	}
}

// eventField precedes the name of the event in an encoded entry.
var eventField = []byte(`"event":"`)

// eventName returns the value of the field event of an entry, or "" if it has none.
func eventName(e *log.Entry) string {
	_, rest, found := bytes.Cut(e.Value(), eventField)
	if !found {
		return ""
	}
	name, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(name)
}
