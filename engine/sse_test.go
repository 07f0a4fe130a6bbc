package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func readAll(text string) ([]Event, error) {
	r := NewEventReader(strings.NewReader(text))
	var events []Event
	for {
		event, err := r.Next()
		if err != nil {
			return events, err
		}
		event.Data = bytes.Clone(event.Data)
		events = append(events, event)
	}
}

func TestEventsAreParsed(t *testing.T) {
	is := is.New(t)
	events, err := readAll(": hi\r\n\r\nid: 1\r\ndata: a\r\ndata:b\r\n\r\nevent: x\nid:2\ndata: c\n\ndata: [DONE]\n\n")
	is.Equal(err, io.EOF)
	is.Equal(len(events), 3)
	is.Equal(events[0].ID, uint64(1))
	is.Equal(string(events[0].Data), "a\nb")
	is.Equal(events[1].ID, uint64(2))
	is.True(events[2].Done())
}

func TestStreamThatEndsWithinAnEventIsUnexpectedEOF(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"data: a", "data: a\n", "id: 1\n"} {
		events, err := readAll(text)
		is.Equal(len(events), 0)
		is.Equal(err, io.ErrUnexpectedEOF)
	}
}

func TestEventOverTheSizeLimitIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := readAll("data: " + strings.Repeat("x", MaxEventBytes) + "\n\n")
	is.True(errors.Is(err, ErrEventTooLarge))
	_, err = readAll(strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 2000))
	is.True(errors.Is(err, ErrEventTooLarge))
}

func TestEventLongerThanTheReadBufferIsParsed(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("y", 3*readBufferBytes)
	events, err := readAll("id: 7\ndata: " + long + "\n\n")
	is.Equal(err, io.EOF)
	is.Equal(string(events[0].Data), long)
	is.Equal(events[0].ID, uint64(7))
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {\"a\":1}\n\ndata: [DONE]\n\n")
	f.Add(": comment\r\n\r\ndata:a\r\ndata: b\r\n\r\n")
	f.Add("data\n\nid: -1\ndata: x\n\n")
	f.Add("id: 99999999999999999999\ndata: \x00\xff\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(text)
		if err == nil {
			t.Fatal("reader ends without an error")
		}
		var wire []byte
		for _, e := range events {
			if len(e.Data) > MaxEventBytes {
				t.Fatal("event exceeds the limit")
			}
			wire = AppendEvent(wire, e)
		}
		reread, err := readAll(string(wire))
		if err != io.EOF || len(reread) != len(events) {
			t.Fatalf("written events read as %d of %d: %v", len(reread), len(events), err)
		}
		for i := range events {
			if reread[i].ID != events[i].ID || !bytes.Equal(reread[i].Data, events[i].Data) {
				t.Fatalf("event %d changed", i)
			}
		}
	})
}
