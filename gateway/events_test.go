package gateway

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a stream is cut into reads, whole events come out of it in order, and
// no whole event stays behind.
func TestEventsAreFoundAcrossReads(t *testing.T) {
	parts := rapid.SampledFrom([]string{"data: a", "\n", "\n\n", "\r\n", "\r\n\r\n", "id: 7"})
	rapid.Check(t, func(rt *rapid.T) {
		whole := strings.Join(rapid.SliceOf(parts).Draw(rt, "parts"), "")
		var s eventSplitter
		var got []byte
		for unread := []byte(whole); len(unread) > 0; {
			n := rapid.IntRange(1, len(unread)).Draw(rt, "read")
			ready, err := s.add(unread[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got = append(got, ready...)
			unread = unread[n:]
		}
		if len(got) > 0 && lastEventEnd(got) != len(got) {
			rt.Fatalf("%q ends within an event", got)
		}
		rest := s.rest()
		if lastEventEnd(rest) != 0 {
			rt.Fatalf("%q stayed behind", rest)
		}
		if string(got)+string(rest) != whole {
			rt.Fatalf("got %q and %q of %q", got, rest, whole)
		}
	})
}
