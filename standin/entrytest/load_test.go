package entrytest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// Workers that share their machine look as healthy as others; the nodes of all zones have to
// learn that one is slow from what some of them were told.
func TestWorkerThatReportsThatItIsSlowGetsLessWork(t *testing.T) {
	is := is.New(t)
	env := newLoneTestEnv(t)
	start := func(id string, pace int) *worker.Worker {
		w := env.startWorkerAs(&worker.Worker{ID: id, Service: "app", ServiceTime: 20 * time.Millisecond})
		w.SetFaults(worker.Faults{Pace: pace})
		return w
	}
	usual, slow := start("i-usual", 100), start("i-slow", 250)
	nodes := []*node{env.startNode(1), env.startNode(2), env.startNodeInZone(3, "b")}
	for _, n := range nodes {
		env.waitReady(n)
	}
	answered := callAll(nodes, "look", 6, 5*time.Second)
	atSlow, all := len(slow.RunTimes()), len(usual.RunTimes())+len(slow.RunTimes())
	t.Logf("%d of %d requests at the slow worker; %.3f answered", atSlow, all, answered)
	is.True(7*atSlow < 2*all) // Less than its part of the work that both can do.
	is.True(answered > 0.99)
}
