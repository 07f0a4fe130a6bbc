package load_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/load"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/trace"
)

// node answers like a node in front of the stand-ins. The model selects the
// failure.
func node(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Idempotency-Key")
	if r.Header.Get("Authorization") != "Bearer guests-key" {
		http.Error(w, "no key", http.StatusUnauthorized)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/services/") {
		fmt.Fprintf(w, `{"request_id":%q,"run":%d}`, id, len(r.URL.Query()["again"])+1)
		return
	}
	var q struct {
		Model  string
		Stream bool
	}
	_ = json.Unmarshal(body, &q)
	if q.Model == "shed" {
		refusal := fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "m", "r").WithOutcomeNotRun()
		w.Header().Set("Content-Type", problem.ContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(problem.New(refusal, id))
		return
	}
	if q.Model == "foreign" {
		id = "other"
	}
	if !q.Stream {
		fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":"%s:0 %s:1 "}}],"usage":{"completion_tokens":2}}`, id, id)
		return
	}
	for i := range 3 {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n", id, i)
	}
	switch q.Model {
	case "cut":
	case "fails":
		fmt.Fprint(w, "data: {\"kind\":\"target-failed\",\"outcome\":\"unknown\"}\n\n")
	default:
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func newPlayer(t *testing.T, handler http.HandlerFunc) *load.Player {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	p, err := load.NewPlayer(load.Options{
		URLs:  []string{server.URL},
		Key:   func(team string) string { return team + "-key" },
		RunID: "run-",
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func chat(id, model string, stream bool) trace.Request {
	return trace.Request{Kind: trace.KindChat, Keyed: true, ID: id, Team: "guests", Tier: "interactive", Model: model,
		PromptTokens: 20, PrefixTokens: 8, Prefix: "p", MaxTokens: 3, Stream: stream}
}

func call(id, team, path string) trace.Request {
	return trace.Request{Kind: trace.KindCall, Keyed: true, ID: id, Team: team, Tier: "interactive", Service: "app", Method: "POST", Path: path}
}

func TestEndingsAreDistinguished(t *testing.T) {
	is := is.New(t)
	requests := []trace.Request{
		chat("a", "good", true), chat("b", "good", false), chat("c", "foreign", true), chat("d", "cut", true),
		chat("e", "fails", true), chat("f", "shed", true), call("g", "guests", "/book"), call("h", "guests", "/book?again=1"),
		call("i", "strangers", "/book"),
	}
	results := newPlayer(t, node).Play(t.Context(), requests)
	is.Equal(len(results), len(requests))
	tests := []struct {
		ending   trace.Ending
		complete bool
		err      string
		runs     int
	}{
		{trace.EndingAnswer, true, "", 0}, {trace.EndingAnswer, true, "", 0}, {trace.EndingAnswer, false, "", 0},
		{trace.EndingBroken, false, "connection-broken", 0}, {trace.EndingUnknown, false, "target-failed", 0},
		{trace.EndingNotRun, false, "overloaded", 0}, {trace.EndingAnswer, true, "", 1}, {trace.EndingAnswer, true, "", 2},
		{trace.EndingRefused, false, "status-401", 0},
	}
	for i, test := range tests {
		r := results[i]
		is.Equal(r.Ending, test.ending)
		is.Equal(r.Complete, test.complete)
		is.Equal(r.Error, test.err)
		is.Equal(r.Runs, test.runs)
	}
	is.Equal(results[0].Tokens, 3)
	is.Equal(len(results[0].Gaps), 2)
	report := load.Summarize(results)
	all := report.Rows[len(report.Rows)-1]
	is.Equal(all.Sent, 9)
	is.Equal(all.Useful, 4)
	is.Equal(all.NotRun, 1)
	is.Equal(all.Unknown, 2)
	var table bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	is.True(strings.Contains(table.String(), "not_run/overloaded=1"))
	path := filepath.Join(t.TempDir(), "p.svg")
	is.NoErr(load.WritePlot(path, results))
	plotted, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Contains(plotted, []byte("<svg")))
}

func TestRequestWithoutKeyTakesTheIDOfTheAnswer(t *testing.T) {
	is := is.New(t)
	unkeyed := chat("a", "good", true)
	unkeyed.Keyed = false
	p := newPlayer(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Idempotency-Key"), "")
		w.Header().Set("Idempotency-Key", "made")
		r.Header.Set("Idempotency-Key", "made")
		node(w, r)
	})
	is.True(p.Play(t.Context(), []trace.Request{unkeyed})[0].Complete)
}

func TestUnansweredRequestsDoNotDelayLaterOnes(t *testing.T) {
	is := is.New(t)
	const requests = 50
	var arrived atomic.Int32
	all := make(chan struct{})
	p := newPlayer(t, func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == requests {
			close(all)
		}
		<-all // No request is answered before the last one arrives.
		node(w, r)
	})
	var list []trace.Request
	for i := range requests {
		q := call(fmt.Sprint(i), "guests", "/book")
		q.At = int64(i)
		list = append(list, q)
	}
	for _, r := range p.Play(t.Context(), list) {
		is.Equal(r.Ending, trace.EndingAnswer)
	}
	is.Equal(p.Progress(), load.Progress{Sent: requests, Finished: requests})
}

func TestLatencyIsMeasuredFromTheScheduledTime(t *testing.T) {
	is := is.New(t)
	late := call("a", "guests", "/book")
	first := call("b", "guests", "/book")
	first.At = 30
	results := newPlayer(t, node).Play(t.Context(), []trace.Request{first, late}) // The second is scheduled before the first.
	is.True(results[1].Late >= 25*time.Millisecond)
	is.True(results[1].Total >= results[1].Late)
}

func TestOnlyLoopbackAddressesAreAccepted(t *testing.T) {
	is := is.New(t)
	for _, url := range []string{"http://10.0.0.1:80", "http://example.org", "https://127.0.0.1:1", "127.0.0.1:1", "http://0.0.0.0:1"} {
		_, err := load.NewPlayer(load.Options{URLs: []string{url}})
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
	}
	_, err := load.NewPlayer(load.Options{URLs: []string{"http://127.0.3.7:1/"}})
	is.NoErr(err)
}
