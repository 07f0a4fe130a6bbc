package entrysoak

import (
	"errors"
	"fmt"
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
		r.body = streamAfter(0, eventsPerStream)
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
	during := func(kind, subject string, start, end float64) *disturbance {
		return &disturbance{kind: kind, subject: subject, start: atSeconds(start), end: atSeconds(end)}
	}
	silent := &disturbance{kind: "worker-silent", subject: "i-1", planned: true, start: atSeconds(1), end: atSeconds(9)}
	cutAfter := func(route string, seconds float64) request {
		return modified(okRequest(route, 1.5), func(r *request) {
			r.body, r.err, r.writtenAt, r.endedAt = "", errCut, r.sentAt, atSeconds(1.5+seconds)
		})
	}
	drained := []ackedChange{{at: atSeconds(10), drainingWorker: "i-1"}}
	configs := []configVersion{
		{version: 3, keys: []string{"steady"}, sentAt: atSeconds(-20), ackedAt: atSeconds(-20)},
		{version: 6, keys: []string{"steady"}, sentAt: atSeconds(10), ackedAt: atSeconds(10)},
		{version: 9, keys: []string{"steady", "k"}, sentAt: atSeconds(20), ackedAt: atSeconds(20)},
	}
	status := func(r request, status int) request { r.status, r.body = status, ""; return r }
	served := func(route string, seconds float64) request {
		return modified(okRequest(route, seconds), func(r *request) { r.id, r.body = "served", "answer to served" })
	}
	for _, c := range []struct {
		name         string
		request      request
		ran          []string
		acks         []ackedChange
		disturbances []*disturbance
		configs      []configVersion
		earlier      []request
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
			acks: []ackedChange{{at: atSeconds(10), drainingWorker: "i-1"}}, disturbances: []*disturbance{during("store-fault", "store", 7, 8)}},
		{name: "draining worker during the restart of another node", request: okRequest("look", 13), ran: []string{"i-1"}, acks: drained,
			disturbances: []*disturbance{during("kill", "edge-2", 11, 12)}, violation: "began to drain"},
		{name: "draining worker that a restored store shows as ready", request: okRequest("look", 15), ran: []string{"i-1"}, acks: drained,
			disturbances: []*disturbance{during("store-restored", "store", 13, 15)}, violation: "began to drain"},
		{name: "draining worker that a restored store shows to a restarted node", request: okRequest("look", 15), ran: []string{"i-1"}, acks: drained,
			disturbances: []*disturbance{during("store-restored", "store", 13, 15), during("kill", "edge-1", 13, 14)}},
		{name: "draining worker long after a restored store", request: okRequest("look", 25), ran: []string{"i-1"}, acks: drained,
			disturbances: []*disturbance{during("store-restored", "store", 11, 13)}, violation: "began to drain"},
		{name: "new route refused after the bound", request: status(okRequest("v6", 13), 404), configs: configs, violation: "before 6, which was in force"},
		{name: "new route refused within the bound", request: status(okRequest("v6", 12), 404), configs: configs},
		{name: "new route refused while the store is away", request: status(okRequest("v6", 13), 404), configs: configs,
			disturbances: []*disturbance{during("store-fault", "store", 9, 11)}},
		{name: "new route refused after the store has lost it", request: status(okRequest("v6", 15), 404), configs: configs,
			disturbances: []*disturbance{during("store-restored", "store", 13, 15)}, violation: "before 6, which was in force"},
		{name: "new route refused after it was served", request: status(okRequest("v6", 12), 404), configs: configs, earlier: []request{served("v6", 11)},
			disturbances: []*disturbance{during("store-restored", "store", 10.5, 13)}, violation: "before 6, which was in force"},
		{name: "new route refused after it was served and the node was restarted", request: status(okRequest("v6", 12), 404), configs: configs, earlier: []request{served("v6", 10.2)},
			disturbances: []*disturbance{during("store-restored", "store", 10.5, 13), during("kill", "edge-1", 11, 12)}},
		{name: "dropped route refused", request: status(okRequest("v3", 23), 404), configs: configs},
		{name: "dropped route run", request: okRequest("v3", 23), ran: []string{"i-1"}, configs: configs, violation: "before 9, which was in force"},
		{name: "route run before it was dropped", request: okRequest("v3", 22), ran: []string{"i-1"}, configs: configs},
		{name: "new key refused after the bound", request: modified(status(okRequest("look", 23), 401), func(r *request) { r.key = "k" }), configs: configs,
			violation: "before 9, which was in force"},
		{name: "unknown key refused", request: modified(status(okRequest("look", 15), 401), func(r *request) { r.key = "k" }), configs: configs},
		{name: "request cut off by a graceful stop", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), ran: []string{"i-1"},
			disturbances: []*disturbance{stop}, violation: "without an unplanned disturbance"},
		{name: "request cut off by a kill", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), ran: []string{"i-1"},
			disturbances: []*disturbance{stop, kill}},
		{name: "request that crosses a connection close", request: modified(okRequest("look", 1.5), func(r *request) { r.err = errCut }), disturbances: []*disturbance{stop}},
		{name: "request cut off beside the kill of another node", request: cutAfter("look", 0.1), ran: []string{"i-1"},
			disturbances: []*disturbance{during("kill", "edge-2", 1, 2)}, violation: "without an unplanned disturbance"},
		{name: "request cut off beside a failure of the store", request: cutAfter("look", 0.1), ran: []string{"i-1"},
			disturbances: []*disturbance{during("store-fault", "store", 1, 2), during("store-cut", "edge-1", 1, 2)}, violation: "without an unplanned disturbance"},
		{name: "request cut off beside a failure of another worker", request: cutAfter("look", 0.1), ran: []string{"i-1"},
			disturbances: []*disturbance{during("worker-fault", "i-2", 1, 2)}, violation: "without an unplanned disturbance"},
		{name: "request cut off by a failure of its worker", request: cutAfter("look", 0.1), ran: []string{"i-1"},
			disturbances: []*disturbance{during("worker-fault", "i-1", 1, 2)}},
		{name: "request that no worker got and that closes late", request: cutAfter("look", 0.3), disturbances: []*disturbance{stop}, violation: "without an unplanned disturbance"},
		{name: "request that no worker got and that closes at once", request: cutAfter("look", 0.1), disturbances: []*disturbance{stop}},
		{name: "stream cut off while its worker is silent", request: cutAfter("draft", 1.5), ran: []string{"i-1"},
			disturbances: []*disturbance{silent}, violation: "without an unplanned disturbance"},
		{name: "stream ended by its time limit while its worker is silent", request: cutAfter("draft", 6.1), ran: []string{"i-1"}, disturbances: []*disturbance{silent}},
		{name: "stream held beyond its time limit while its worker is silent", request: cutAfter("draft", 7), ran: []string{"i-1"},
			disturbances: []*disturbance{silent}, violation: "without an unplanned disturbance"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{requests: append(c.earlier, c.request), acks: c.acks, disturbances: c.disturbances, configs: c.configs}
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

func TestUndisturbedNodeIgnoresOtherParts(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	h := &history{}
	h.beginDisturbance("stop", "edge-1", true)()
	h.beginDisturbance("freeze", "edge-2", false)()
	h.beginDisturbance("store-fault", "store", false)()
	is.True(h.undisturbedNode("edge-1", start))
	is.True(!h.undisturbedNode("edge-2", start))
}

func TestStreamsOfTwoVersionsAreViolations(t *testing.T) {
	event := func(id int, version string) string {
		return fmt.Sprintf("id: %d\ndata: event %d %s\n\n", id, id, version)
	}
	for name, c := range map[string]struct {
		first, again string
		violations   int
	}{
		"one version":           {event(1, "v1") + event(2, "v1"), event(3, "v1"), 0},
		"two in one answer":     {event(1, "v1") + event(2, "v2"), "", 1},
		"two over two tries":    {event(1, "v1"), event(2, "v2"), 1},
		"none that is complete": {"", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &history{requests: []request{{id: "r", body: c.first}, {id: "r-again", resumes: "r", body: c.again}}}
			count := 0
			h.checkVersions(func(request, string, ...any) { count++ })
			is.Equal(count, c.violations)
		})
	}
}

func TestLastEventIsThatOfTheLastWholeOne(t *testing.T) {
	is := is.New(t)
	is.Equal(lastEvent("id: 1\ndata: event 1 v1\n\nid: 12\ndata: event 12 v1\n\nid: 13\ndata: ev"), 12)
	is.Equal(lastEvent("id: 1\nda"), 0)
	is.Equal(withoutVersions("id: 1\ndata: event 1 v12\n\n"), "id: 1\ndata: event 1\n\n")
	for _, cut := range []string{"", " ", " v", " v1"} {
		is.Equal(withoutVersions("id: 1\ndata: event 1"+cut), "id: 1\ndata: event 1")
	}
}

// Streams that callers take up must go on about as often as new ones begin, while workers of
// their version serve and nodes can serve at all.
func TestCheckFindsStreamsThatDoNotGoOn(t *testing.T) {
	const streams = 20
	for _, c := range []struct {
		name      string
		status    int
		body      string
		serving   int
		cut       bool
		violation bool
	}{
		{"they go on", 200, "id: 7\ndata: event 7 v1\n\n", 2, false, false},
		{"they are refused", 503, "stream_origin_unknown", 2, false, true},
		{"no worker of the version is left", 503, "no_target_of_version", 1, false, false},
		{"the node has just started", 503, unreadyCode, 2, false, false},
		{"the node is cut off from the store", 503, "stream_origin_unknown", 2, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{serving: []serving{{at: atSeconds(0), counts: map[string]int{"v1": c.serving}}}}
			versions := make(map[string]string)
			for i := range streams {
				first := fmt.Sprint("id-", i)
				versions[first] = "v1"
				begun := okRequest("chat", float64(10+i))
				begun.id = first
				again := modified(begun, func(r *request) { r.id, r.resumes, r.status, r.body = first+"-again", first, c.status, c.body })
				h.requests = append(h.requests, begun, again)
			}
			if c.cut {
				h.disturbances = []*disturbance{{kind: "store-cut", subject: "edge-1", start: atSeconds(5), end: atSeconds(50)}}
			}
			is.Equal(len(h.checkTakenUp(versions)) > 0, c.violation)
		})
	}
}
