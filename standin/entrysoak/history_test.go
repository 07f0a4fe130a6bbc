package entrysoak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// sent returns a request that was answered well, 100 ms after it was sent.
func sent(route string, seconds float64) request {
	r := request{id: "id", route: route, key: "steady", node: "edge-1", sent: at(seconds), ended: at(seconds + 0.1), status: 200, body: "answer to id"}
	if route == "chat" || route == "draft" {
		r.body = wholeStream()
	}
	return r
}

func with(r request, change func(*request)) request {
	change(&r)
	return r
}

func TestEachPromiseIsJudged(t *testing.T) {
	cut := errors.New("unexpected EOF")
	kill := &trouble{what: "kill", subject: "edge-1", begin: at(1), end: at(2)}
	stop := &trouble{what: "stop", subject: "edge-1", planned: true, begin: at(1), end: at(2)}
	for _, c := range []struct {
		name     string
		request  request
		ran      []string
		acks     []acknowledged
		troubles []*trouble
		found    string
	}{
		{name: "a good answer", request: sent("book", 1), ran: []string{"i-1"}},
		{name: "a whole stream", request: sent("draft", 1), ran: []string{"i-1"}},
		{name: "a repeat that is allowed", request: sent("look", 1), ran: []string{"i-1", "i-2"}},
		{name: "two runs", request: sent("book", 1), ran: []string{"i-1", "i-2"}, found: "ran 2 times"},
		{name: "a false refusal", request: with(sent("book", 1), func(r *request) { r.status = 503 }), ran: []string{"i-1"}, found: "answered 503, but ran"},
		{name: "a foreign answer", request: with(sent("look", 1), func(r *request) { r.body = "answer to other" }), found: "whole answer"},
		{name: "a short stream that looks whole", request: with(sent("chat", 1), func(r *request) { r.body = r.body[:40] }), found: "whole answer"},
		{name: "a gap", request: with(sent("chat", 1), func(r *request) { r.body, r.err = "id: 2\n", cut }), found: "part of an answer"},
		{name: "a key that was taken away", request: with(sent("look", 9), func(r *request) { r.key = "k" }), ran: []string{"i-1"},
			acks: []acknowledged{{at: at(3.9), key: "k"}}, found: "after its key was taken away"},
		{name: "a key that was taken away lately", request: with(sent("look", 9), func(r *request) { r.key = "k" }), ran: []string{"i-1"},
			acks: []acknowledged{{at: at(4.1), key: "k"}}},
		{name: "a worker that leaves", request: sent("look", 13), ran: []string{"i-1"},
			acks: []acknowledged{{at: at(10), worker: "i-1"}}, found: "began to leave"},
		{name: "a worker that leaves, amid trouble", request: sent("look", 13), ran: []string{"i-1"},
			acks: []acknowledged{{at: at(10), worker: "i-1"}}, troubles: []*trouble{{begin: at(7), end: at(8)}}},
		{name: "a stop that cuts", request: with(sent("look", 1.5), func(r *request) { r.err = cut }), ran: []string{"i-1"},
			troubles: []*trouble{stop}, found: "planned trouble"},
		{name: "a kill that cuts", request: with(sent("look", 1.5), func(r *request) { r.err = cut }), ran: []string{"i-1"},
			troubles: []*trouble{stop, kill}},
		{name: "a close that crosses a request", request: with(sent("look", 1.5), func(r *request) { r.err = cut }), troubles: []*trouble{stop}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{requests: []request{c.request}, acks: c.acks, troubles: c.troubles}
			found := strings.Join(h.check(map[string][]string{"id": c.ran}), "\n")
			is.Equal(found != "", c.found != "")
			is.True(strings.Contains(found, c.found))
		})
	}
}

func TestAnEndThatNobodyMeantIsKnown(t *testing.T) {
	is := is.New(t)
	h := &history{}
	is.True(!h.ended("edge-1"))
	end := h.begin("kill", "edge-1", false)
	is.True(h.ended("edge-1"))
	is.True(!h.ended("edge-2"))
	end()
	is.True(h.ended("edge-1")) // Its process may be noticed a little later.
}
