package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whatever part of an engine's answer does not end, the call does, with its connection.
func TestAnswerOfAnEngineWithoutEndEndsTheCall(t *testing.T) {
	for name, answer := range map[string]struct {
		status               int
		head, start, repeat  string
		started, leavesEarly bool
	}{
		"head":                 {200, strings.Repeat("a", 1<<20), "", "x", false, false},
		"error body":           {500, "", "", "x", false, false},
		"line of an event":     {200, "", "data: ", "x", true, false},
		"lines of an event":    {200, "", "", "data: x\n", true, false},
		"comments":             {200, "", "", ":x\n", true, true},
		"lines without fields": {200, "", "", "x\n\n", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(closed)
				if answer.head != "" {
					w.Header().Set("X-A", answer.head)
				}
				w.WriteHeader(answer.status)
				_, err := w.Write([]byte(answer.start))
				for block := []byte(strings.Repeat(answer.repeat, 4<<10)); err == nil; {
					_, err = w.Write(block)
				}
			}))
			defer server.Close()
			client := NewClient(Options{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			stream, err := client.StartChat(ctx, ChatCall{Address: strings.TrimPrefix(server.URL, "http://"), RequestID: "1", Body: []byte(`{}`)})
			is.Equal(err == nil, answer.started)
			if answer.started {
				if answer.leavesEarly { // Nothing is kept of these, so that only the caller ends them.
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				_, err = stream.Next()
				is.True(err != nil)
				is.True(answer.leavesEarly || ctx.Err() == nil)
				stream.Close()
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
