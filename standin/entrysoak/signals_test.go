package entrysoak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

func TestCheckSignalsFindsRequestsThatComeTooLate(t *testing.T) {
	sent := func(id, node string, seconds float64) request {
		r := okRequest("look", seconds)
		r.id, r.node = id, node
		return r
	}
	told := sent("told", "edge-1", 10)
	told.saysLeaving = true
	refused := worker.Arrival{ID: "refused", At: atSeconds(10), Refused: true, Pause: 2 * time.Second}
	during := func(kind, subject string) []*disturbance {
		return []*disturbance{{kind: kind, subject: subject, start: atSeconds(10.5), end: atSeconds(11)}}
	}
	// arrivals returns the refusal and arrivals 0.1 s apart from a time on.
	arrivals := func(first float64, count int) []worker.Arrival {
		all := []worker.Arrival{refused}
		for i := range count {
			all = append(all, worker.Arrival{ID: "late", At: atSeconds(first + float64(i)*0.1)})
		}
		return all
	}
	for _, c := range []struct {
		name         string
		requests     []request
		arrivals     []worker.Arrival
		disturbances []*disturbance
		violation    string
	}{
		{name: "leaving worker after the bound", requests: []request{told, sent("late", "edge-1", 12.7)},
			arrivals: []worker.Arrival{{ID: "told"}, {ID: "late", At: atSeconds(12.7)}}, violation: "that it leaves"},
		{name: "leaving worker within the bound", requests: []request{told, sent("late", "edge-1", 12.5)}, arrivals: []worker.Arrival{{ID: "late", At: atSeconds(12.5)}}},
		{name: "leaving worker that told another node", requests: []request{told, sent("late", "edge-2", 12.7)}, arrivals: []worker.Arrival{{ID: "late", At: atSeconds(12.7)}}},
		{name: "leaving worker after a freeze", requests: []request{told, sent("late", "edge-1", 12.7)}, arrivals: []worker.Arrival{{ID: "late", At: atSeconds(12.7)}},
			disturbances: during("freeze", "edge-1")},
		{name: "leaving worker after the store was cut off", requests: []request{told, sent("late", "edge-1", 12.7)}, arrivals: []worker.Arrival{{ID: "late", At: atSeconds(12.7)}},
			disturbances: during("store-cut", "edge-1"), violation: "that it leaves"},
		{name: "three requests in a pause", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 11)}, arrivals: arrivals(11, 3), violation: "got 3 requests"},
		{name: "two requests in a pause", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 11)}, arrivals: arrivals(11, 2)},
		{name: "requests at once after a refusal", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 10)}, arrivals: arrivals(10.1, 4)},
		{name: "requests after a pause", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 12)}, arrivals: arrivals(12.1, 4)},
		{name: "requests of another node in a pause", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-2", 11)}, arrivals: arrivals(11, 4)},
		{name: "requests of a restarted node in a pause", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 11)}, arrivals: arrivals(11, 4),
			disturbances: during("kill", "edge-1")},
		{name: "refusal on a slow link", requests: []request{sent("refused", "edge-1", 10), sent("late", "edge-1", 11)}, arrivals: arrivals(11, 4),
			disturbances: during("worker-slow-link", "i-1")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{requests: c.requests, disturbances: c.disturbances}
			found := strings.Join(h.checkSignals(map[string][]string{"told": {"i-1"}, "late": {"i-1"}}, map[string][]worker.Arrival{"i-1": c.arrivals}), "\n")
			is.Equal(found != "", c.violation != "")
			is.True(strings.Contains(found, c.violation))
		})
	}
}
