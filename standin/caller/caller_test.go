package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/caller"
	"github.com/primrosemoor/primrosemoor/standin/history"
)

const event = `data: {"choices":[{"delta":{"content":"a:0 "}}]}` + "\n\n"

func TestStreamResultDependsOnItsEnd(t *testing.T) {
	cases := []struct {
		name, body string
		want       history.Response
	}{
		{"whole", event + "data: [DONE]\n\n",
			history.Response{Result: history.ResultAnswer, Status: 200, Text: "a:0 "}},
		{"cut", event,
			history.Response{Result: history.ResultBroken, Status: 200, Text: "a:0 "}},
		{"failed", event + "event: error\ndata: {\"kind\":\"target-failed\",\"outcome\":\"unknown\"}\n\n",
			history.Response{Result: history.ResultRefused, Status: 200, Text: "a:0 ",
				Problem: "target-failed", Outcome: history.OutcomeUnknown}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			h, err := history.NewWriter(filepath.Join(t.TempDir(), "history.jsonl"))
			is.NoErr(err)
			call := caller.Call{URL: server.URL}
			call.Request = history.Request{ID: "a", Method: "POST", Chat: true, Stream: true}
			got, err := caller.New(h).Send(t.Context(), call)
			is.NoErr(err)
			got.FirstTokenNanos = 0
			is.Equal(got, c.want)
		})
	}
}
