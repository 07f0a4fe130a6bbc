package entrysoak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func atSeconds(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// okRequest returns a request with the expected response, 100 ms after it was sent.
func okRequest(route string, seconds float64) request {
	r := request{id: "id", route: route, key: "steady", node: "edge-1", sentAt: atSeconds(seconds), endedAt: atSeconds(seconds + 0.1), status: 200, body: "answer to id"}
	if route == "chat" || route == "draft" {
		r.body = completeStream()
	}
	return r
}

func modified(r request, change func(*request)) request {
	change(&r)
	return r
}

func TestCheckFindsEachViolation(t *testing.T) {
	errCut := errors.New("unexpected EOF")
	kill := &disturbance{kind: "kill", subject: "edge-1", start: atSeconds(1), end: atSeconds(2)}
	stop := &disturbance{kind: "stop", subject: "edge-1", planned: true, start: atSeconds(1), end: atSeconds(2)}
	for _, c := range []struct {
		name         string
		request      request
		ran          []string
		acks         []ackedChange
		disturbances []*disturbance
		violation    string
	}{
		{name: "expected response", request: okRequest("book", 1), ran: []string{"i-1"}},
		{name: "complete stream", request: okRequest("draft", 1), ran: []string{"i-1"}},
		{name: "idempotent request run twice", request: okRequest("look", 1), ran: []string{"i-1", "i-2"}},
		{name: "non-idempotent request run twice", request: okRequest("book", 1), ran: []string{"i-1", "i-2"}, violation: "ran 2 times"},
		{name: "refused request that ran", request: modified(okRequest("book", 1), func(r *request) { r.status = 503 }), ran: []string{"i-1"}, violation: "answered 503, but ran"},
		{name: "response to another request", request: modified(okRequest("look", 1), func(r *request) { r.body = "answer to other" }), violation: "complete response with an unexpected body"},
		{name: "truncated stream without an error", request: modified(okRequest("chat", 1), func(r *request) { r.body = r.body[:40] }), violation: "complete response with an unexpected body"},
		{name: "stream with a gap", request: modified(okRequest("chat", 1), func(r *request) { r.body, r.err = "id: 2\n", errCut }), violation: "partial response that is no prefix"},
		{name: "request after the revocation bound", request: modified(okRequest("look", 9), func(r *request) { r.key = "k" }), ran: []string{"i-1"},
			acks: []ackedChange{{at: atSeconds(3.9), revokedKey: "k"}}, violation: "after its key was revoked"},
		{name: "request within the revocation bound", request: modified(okRequest("look", 9), func(r *request) { r.key = "k" }), ran: []string{"i-1"},
			acks: []ackedChange{{at: atSeconds(4.1), revokedKey: "k"}}},
		{name: "draining worker", request: okRequest("look", 13), ran: []string{"i-1"},
			acks: []ackedChange{{at: atSeconds(10), drainingWorker: "i-1"}}, violation: "began to drain"},
		{name: "draining worker during a disturbance", request: okRequest("look", 13), ran: []string{"i-1"},
			acks: []ackedChange{{at: atSeconds(10), drainingWorker: "i-1"}}, disturbances: []*disturbance{{start: atSeconds(7), end: atSeconds(8)}}},
		{name: "request cut off by a graceful stop", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), ran: []string{"i-1"},
			disturbances: []*disturbance{stop}, violation: "without an unplanned disturbance"},
		{name: "request cut off by a kill", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), ran: []string{"i-1"},
			disturbances: []*disturbance{stop, kill}},
		{name: "request that crosses a connection close", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), disturbances: []*disturbance{stop}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{requests: []request{c.request}, acks: c.acks, disturbances: c.disturbances}
			violation := strings.Join(h.check(map[string][]string{"id": c.ran}), "\n")
			is.Equal(violation != "", c.violation != "")
			is.True(strings.Contains(violation, c.violation))
		})
	}
}

func TestEndExpectedOnlyAfterKillOrStop(t *testing.T) {
	is := is.New(t)
	h := &history{}
	is.True(!h.endExpected("edge-1"))
	endKill := h.beginDisturbance("kill", "edge-1", false)
	is.True(h.endExpected("edge-1"))
	is.True(!h.endExpected("edge-2"))
	endKill()
	is.True(h.endExpected("edge-1")) // The exit of the process may be seen a little later.
}
