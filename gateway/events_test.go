package gateway

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a stream is split into reads, the splitter returns complete events in
// order and retains no complete event.
func TestEventsAreFoundAcrossReads(t *testing.T) {
	parts := rapid.SampledFrom([]string{"data: a", "\n", "\n\n", "\r\n", "\r\n\r\n", "id: 7"})
	rapid.Check(t, func(rt *rapid.T) {
		stream := strings.Join(rapid.SliceOf(parts).Draw(rt, "parts"), "")
		var splitter eventSplitter
		var got []byte
		for unread := []byte(stream); len(unread) > 0; {
			n := rapid.IntRange(1, len(unread)).Draw(rt, "read")
			ready, err := splitter.add(unread[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got = append(got, ready...)
			unread = unread[n:]
		}
		if len(got) > 0 && lastEventEnd(got) != len(got) {
			rt.Fatalf("%q ends in the middle of an event", got)
		}
		remainder := splitter.pending
		if lastEventEnd(remainder) != 0 {
			rt.Fatalf("complete events in the remainder %q", remainder)
		}
		if string(got)+string(remainder) != stream {
			rt.Fatalf("got events %q and remainder %q, want %q together", got, remainder, stream)
		}
	})
}
