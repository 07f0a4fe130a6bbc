package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// smallReads returns n bytes a read.
type smallReads struct {
	r io.Reader
	n int
}

func (s smallReads) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), s.n)]) }

// While the first event of a second target was awaited, everything that it had sent was
// searched again with each read, so that one target could occupy a core.
func TestFirstEventIsSearchedForOnceInEachByte(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		read    int
		readErr error
	}{
		"events without ids":       {"a\n\n", 64, errEventTooLarge},
		"an event without an end":  {"a", 8, errEventTooLarge},
		"comments":                 {":\n\n", 64, errEventTooLarge},
		"events that are repeated": {"id: 8\n\n", 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := bytes.NewReader(bytes.Repeat([]byte(c.body), 2*maxEventBytes/len(c.body)))
			started := time.Now()
			data, err := (*holding)(nil).firstEventReader(true, "7")(smallReads{body, c.read})
			is.True(errors.Is(err, c.readErr))
			is.True(len(data) <= maxEventBytes+streamReadBytes)
			is.True(time.Since(started) < time.Second)
		})
	}
}

func TestFirstEventIsFoundAcrossReads(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		is := is.New(t)
		data, err := (*holding)(nil).firstEventReader(true, "7")(iotest.OneByteReader(bytes.NewReader([]byte(": c" + end + "id: 8" + end + "rest"))))
		is.NoErr(err)
		is.Equal(string(data), ": c"+end+"id: 8"+end)
		_, err = (*holding)(nil).firstEventReader(true, "7")(iotest.OneByteReader(bytes.NewReader([]byte("id: 9" + end))))
		is.Equal(err, errEventGap)
	}
}
