package entrytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// A node that does not own its zone has the owner decide whether slots are free. Requests to a
// slow worker are sent a second time from both nodes, and calls that are not idempotent are not.
func TestSlowRequestsAreSentASecondTimeFromEachNode(t *testing.T) {
	is := is.New(t)
	env := newLoneTestEnv(t)
	for _, id := range []string{"i-a", "i-b"} {
		env.startWorker(id, "app", 0)
	}
	var nodes []*node
	for i := range 2 {
		s := env.settings(i + 1)
		s.Hedging = &schema.GatewayHedging{MaxShare: 0.5}
		nodes = append(nodes, env.startNodeWith(i+1, s))
	}
	for i, n := range nodes {
		env.waitReady(n)
		for j := range 60 { // The nodes learn how long responses take.
			is.Equal(n.post("look", fmt.Sprintf("first-%d-%d", i, j)).status, 200)
		}
	}
	slow := &worker.Worker{ID: "i-slow", Service: "app", ServiceTime: 1200 * time.Millisecond}
	env.startWorkerAs(slow)
	ranAtBoth := func(id string) bool {
		return slow.RunCounts()[id] == 1 && env.workers["i-a"].RunCounts()[id]+env.workers["i-b"].RunCounts()[id] == 1
	}
	for i, n := range nodes {
		count := 0
		env.waitFor("a request was sent a second time", func() bool {
			count++
			booked, looked := fmt.Sprintf("book-%d-%d", i, count), fmt.Sprintf("look-%d-%d", i, count)
			is.Equal(n.post("book", booked).status, 200)
			is.True(!ranAtBoth(booked))
			is.Equal(n.post("look", looked).status, 200)
			return ranAtBoth(looked)
		})
	}
}
