package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

// lineBuffer collects the lines that are written.
type lineBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *lineBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), part)
}

// dropCounter counts the lines that were not written, by event.
type dropCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (d *dropCounter) add(event string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count == nil {
		d.count = make(map[string]int)
	}
	d.count[event] += n
}

func newTestLogger(t *testing.T, out io.Writer) (*BoundedLogger, *dropCounter) {
	t.Helper()
	d := &dropCounter{}
	b, err := NewBoundedLogger(&schema.LogSettings{Level: "info"}, out, d.add, func(string, string) {})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	b.now = func() time.Time { return now }
	t.Cleanup(func() { _ = b.Close() })
	return b, d
}

func TestLinesBeyondTheBudgetOfAnEventAreDroppedAndCounted(t *testing.T) {
	is := is.New(t)
	out := &lineBuffer{}
	b, d := newTestLogger(t, out)
	for i := range 1000 {
		b.Logger.Info().Str("event", "request_placed").Int("i", i).Msg("")
	}
	b.Logger.Info().Str("event", "target_left").Msg("")
	b.Logger.Debug().Str("event", "hidden").Msg("")
	now := b.now()
	b.now = func() time.Time { return now.Add(budgetWindow) }
	b.Logger.Info().Str("event", "target_joined").Msg("")
	is.NoErr(b.Close())
	is.Equal(out.count("event=request_placed"), infoBudget)
	is.Equal(out.count("event=target_left"), 1)
	is.Equal(out.count("event=hidden"), 0)
	is.Equal(out.count(fmt.Sprintf("event=lines_left_out of=request_placed lines=%d", 1000-infoBudget)), 1)
	is.Equal(d.count["request_placed"], 1000-infoBudget)
}

func TestFailuresHaveALargerBudget(t *testing.T) {
	is := is.New(t)
	out := &lineBuffer{}
	b, _ := newTestLogger(t, out)
	for range failureBudget {
		b.Logger.Info().Str("event", "request_placed").Msg("")
		b.Logger.Warn().Str("event", "send_failed").Msg("")
	}
	is.NoErr(b.Close())
	is.Equal(out.count("event=request_placed"), infoBudget)
	is.Equal(out.count("event=send_failed"), failureBudget)
}

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	b, d := newTestLogger(t, out)
	started := time.Now()
	for i := range 2 * boundedQueueCapacity {
		b.Logger.Info().Str("event", fmt.Sprint("e", i)).Msg("")
	}
	is.True(time.Since(started) < 2*time.Second)
	d.mu.Lock()
	dropped := 0
	for _, n := range d.count {
		dropped += n
	}
	d.mu.Unlock()
	// The writer holds one line; the others are queued or counted as dropped.
	is.True(dropped >= boundedQueueCapacity-1 && dropped <= boundedQueueCapacity)
	started = time.Now()
	is.Equal(b.Close(), errCloseTimeout)
	is.True(time.Since(started) < 2*time.Second)
}

func TestUnknownLevelOfBoundedLoggerIsRejected(t *testing.T) {
	_, err := NewBoundedLogger(&schema.LogSettings{Level: "loud"}, io.Discard, nil, nil)
	is.New(t).True(err != nil)
}

func TestLinesAboutARequestAreRecorded(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	recorded := make(map[string][]string)
	b, err := NewBoundedLogger(&schema.LogSettings{Level: "info"}, io.Discard, func(string, int) {}, func(request, line string) {
		mu.Lock()
		defer mu.Unlock()
		recorded[request] = append(recorded[request], line)
	})
	is.NoErr(err)
	b.Logger.Info().Str("event", "request_placed").Str("request", "id-1").Msg("")
	b.Logger.Info().Str("event", "started").Msg("")
	b.Logger.Info().Str("event", "request_ended").Str("request", "id-1").Int("status", 200).Msg("")
	is.NoErr(b.Close())
	is.Equal(len(recorded), 1)
	is.Equal(len(recorded["id-1"]), 2)
	is.True(strings.HasSuffix(recorded["id-1"][1], "event=request_ended request=id-1 status=200"))
}
