package entrytest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

func TestSilentWorkersCostNoStreamBesideAChangeOfTheConfiguration(t *testing.T) {
	const events, callers = 12, 24
	is := is.New(t)
	env := newTestEnv(t)
	// All engines fall silent, so that none can take over from another at once.
	for i := range 3 {
		env.startWorker(fmt.Sprint("i-", i), "llm", events).SetFaults(worker.Faults{SilentAfter: 5, Silence: 1800 * time.Millisecond})
	}
	nodes := []*node{env.startNode(1), env.startNode(2)}
	for _, n := range nodes {
		env.waitReady(n)
	}
	var wg sync.WaitGroup
	responses := make([]response, callers)
	for i := range responses {
		wg.Go(func() { responses[i] = nodes[i%len(nodes)].post("chat", fmt.Sprint("id-", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	env.writeConfig("k1", "k2", "k3")
	wg.Wait()
	for _, got := range responses {
		is.NoErr(got.err)
		if got.status == 200 {
			is.Equal(got.body, streamBody(events))
		}
	}
}
