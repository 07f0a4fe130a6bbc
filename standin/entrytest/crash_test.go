package entrytest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// knownAfter is the time after the fifth crash within which all nodes must know what
	// crashes targets, and sentAfterwards how many such requests may reach targets later.
	knownAfter     = 4 * time.Second
	crashes        = 5
	sentAfterwards = 3
	crashingPart   = "dead"
)

// startNodeInZone starts a node in a zone of another region.
func (env *testEnv) startNodeInZone(i int, zone string) *node {
	s := env.settings(i)
	s.Node.AvailabilityZone, s.Node.Region = zone, "r-"+zone
	s.Zones = append(s.Zones, &schema.GatewayZone{Name: zone, Region: s.Node.Region})
	return env.startNodeWith(i, s)
}

// crashTimes returns the times at which workers crashed, in order.
func (env *testEnv) crashTimes() []time.Time {
	var times []time.Time
	for _, w := range env.workers {
		times = append(times, w.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// runs returns how often workers have run a request.
func (env *testEnv) runs(id string) int {
	n := 0
	for _, w := range env.workers {
		n += w.RunCounts()[id]
	}
	return n
}

func TestPromptPartThatCrashesTargetsIsNoLongerSent(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	for i := range 6 {
		env.startWorker(fmt.Sprint("i-", i), "llm", 5).SetFaults(worker.Faults{CrashOn: crashingPart, Downtime: 500 * time.Millisecond})
	}
	nodes := []*node{env.startNode(1), env.startNode(2), env.startNodeInZone(3, "b")}
	for _, n := range nodes {
		env.waitReady(n)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	late, sound, served := 0, 0, 0
	for i, start := 0, time.Now(); time.Since(start) < 2*knownAfter; i++ {
		times := env.crashTimes()
		known := len(times) >= crashes && time.Since(times[crashes-1]) > knownAfter
		id := fmt.Sprint("crashing-", i)
		got := nodes[i%len(nodes)].postPrompt(client, "chat", id, fmt.Sprintf("shared:60,%s:200,%d:100", crashingPart, i))
		if runs := env.runs(id); known {
			late += runs
		} else if got.status == http.StatusServiceUnavailable {
			is.Equal(runs, 0)
		}
		sound++
		if env.soundRequestIsServed(client, nodes[(i+1)%len(nodes)], i) {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d crashes, %d requests reached workers afterwards, %d of %d sound ones served", len(env.crashTimes()), late, served, sound)
	is.True(late <= sentAfterwards)
	is.True(2*served >= sound)
}

// soundRequestIsServed sends a request that shares all parts but one with those that
// crash targets.
func (env *testEnv) soundRequestIsServed(client *http.Client, n *node, i int) bool {
	got := n.postPrompt(client, "chat", fmt.Sprint("sound-", i), fmt.Sprintf("shared:60,%d:100", 1000+i))
	return got.status == http.StatusOK && got.err == nil
}
