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

// lines collects what is written.
type lines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *lines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), part)
}

// drops counts what was not written, by event.
type drops struct {
	mu    sync.Mutex
	count map[string]int
}

func (d *drops) add(event string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count == nil {
		d.count = make(map[string]int)
	}
	d.count[event] += n
}

func newBounded(t *testing.T, out io.Writer) (*BoundedLogger, *drops) {
	t.Helper()
	d := &drops{}
	b, err := NewBoundedLogger(&schema.LogSettings{Level: "info"}, out, d.add, func(string, string) {})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	b.now = func() time.Time { return now }
	t.Cleanup(func() { _ = b.Close() })
	return b, d
}

func TestABurstOfOneEventIsBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	out := &lines{}
	b, d := newBounded(t, out)
	for i := range 1000 {
		b.Logger.Info().Str("event", "request_placed").Int("i", i).Msg("")
	}
	b.Logger.Info().Str("event", "target_left").Msg("")
	b.Logger.Debug().Str("event", "hidden").Msg("")
	now := b.now()
	b.now = func() time.Time { return now.Add(budgetWindow) }
	b.Logger.Info().Str("event", "target_joined").Msg("")
	is.NoErr(b.Close())
	is.Equal(out.count("event=request_placed"), infoLines)
	is.Equal(out.count("event=target_left"), 1)
	is.Equal(out.count("event=hidden"), 0)
	is.Equal(out.count(fmt.Sprintf("event=lines_left_out of=request_placed lines=%d", 1000-infoLines)), 1)
	is.Equal(d.count["request_placed"], 1000-infoLines)
}

func TestFailuresAreTheLastToGo(t *testing.T) {
	is := is.New(t)
	out := &lines{}
	b, _ := newBounded(t, out)
	for range failureLines {
		b.Logger.Info().Str("event", "request_placed").Msg("")
		b.Logger.Warn().Str("event", "send_failed").Msg("")
	}
	is.NoErr(b.Close())
	is.Equal(out.count("event=request_placed"), infoLines)
	is.Equal(out.count("event=send_failed"), failureLines)
}

// stuck never takes a line until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestAReaderThatIsStuckStallsNothing(t *testing.T) {
	is := is.New(t)
	out := stuck{make(chan struct{})}
	defer close(out.release)
	b, d := newBounded(t, out)
	began := time.Now()
	for i := range 2 * boundedQueue {
		b.Logger.Info().Str("event", fmt.Sprint("e", i)).Msg("")
	}
	is.True(time.Since(began) < 2*time.Second)
	d.mu.Lock()
	lost := 0
	for _, n := range d.count {
		lost += n
	}
	d.mu.Unlock()
	// One line is with the reader, the others wait or were counted as lost.
	is.True(lost >= boundedQueue-1 && lost <= boundedQueue)
	began = time.Now()
	is.Equal(b.Close(), errCloseTimeout)
	is.True(time.Since(began) < 2*time.Second)
}

func TestAnUnknownLevelIsRefused(t *testing.T) {
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
