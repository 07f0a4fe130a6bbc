package entrytest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// releaseWorkers are the workers of a service that releases replace, releaseStreams the
	// streams that they serve then.
	releaseWorkers = 12
	releaseStreams = 24
	releaseGap     = 150 * time.Millisecond
)

// release is a service whose workers are replaced by others of a newer version, with
// streams at nodes that end.
type release struct {
	*testEnv
	old, newer []*worker.Worker
	nodes      []*node
}

// newRelease starts the workers and three nodes.
func newRelease(t *testing.T) *release {
	t.Helper()
	r := &release{testEnv: newLoneTestEnv(t)}
	for i := range releaseWorkers {
		r.old = append(r.old, r.streamWorker(fmt.Sprint("i-old", i), "v1", 100*time.Millisecond))
	}
	r.nodes = r.startNodes(3)
	return r
}

// replace replaces the next workers, one after the other. Each new one starts first; the
// old one's entry is removed, and it serves on.
func (r *release) replace(count int) {
	r.t.Helper()
	for range count {
		i := len(r.newer)
		r.newer = append(r.newer, r.streamWorker(fmt.Sprint("i-new", i), "v2", 100*time.Millisecond))
		r.store.Remove("servers", r.old[i].ID)
		time.Sleep(releaseGap)
	}
}

// begin sends streams to all nodes, and returns once all have begun.
func (r *release) begin() (wait func()) {
	r.t.Helper()
	var ends sync.WaitGroup
	for i := range releaseStreams {
		ends.Go(func() { r.nodes[i%len(r.nodes)].post("chat", streamName(i)) })
	}
	r.waitFor("all streams have begun", func() bool { return len(r.versionsOf("id-")) == releaseStreams })
	time.Sleep(2 * r.old[0].ServiceTime) // All have sent an event.
	return ends.Wait
}

func streamName(i int) string { return fmt.Sprintf("id-%02d", i) }

// versionsOf returns the version of the worker that ran each request whose id begins so.
func (r *release) versionsOf(prefix string) map[string]string {
	versions := make(map[string]string)
	for version, workers := range map[string][]*worker.Worker{"v1": r.old, "v2": r.newer} {
		for _, w := range workers {
			for id := range w.RunCounts() {
				if strings.HasPrefix(id, prefix) {
					versions[strings.TrimPrefix(id, prefix)] = version
				}
			}
		}
	}
	return versions
}

// endAll ends all nodes at the same time and starts them again.
func (r *release) endAll() {
	r.t.Helper()
	var ends sync.WaitGroup
	for _, n := range r.nodes {
		ends.Go(n.end)
	}
	ends.Wait()
	// A stop that takes longer than it may goes on for a moment.
	for _, n := range r.nodes {
		for _, port := range []int{callersPort, readyPort, peersPort} {
			r.waitFor("the addresses are free", func() bool {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", n.ip, port))
				return err == nil && l.Close() == nil
			})
		}
	}
	r.nodes = r.startNodes(len(r.nodes))
}

// takeUp takes all streams up at other nodes than those that began them, and returns how
// many went on. No stream may go on at another version.
func (r *release) takeUp(prefix string) (wentOn int) {
	r.t.Helper()
	is := is.New(r.t)
	got := make([]response, releaseStreams)
	var ends sync.WaitGroup
	for i := range got {
		ends.Go(func() {
			got[i] = r.nodes[(i+1)%len(r.nodes)].resume("chat", prefix+fmt.Sprintf("%02d", i), streamName(i), 1)
		})
	}
	ends.Wait()
	for _, g := range got {
		is.NoErr(g.err)
		if g.status == http.StatusOK {
			is.Equal(g.body, strings.TrimPrefix(streamBody(20), streamBody(1)))
			wentOn++
			continue
		}
		is.Equal(g.status, http.StatusServiceUnavailable)
		is.True(g.header.Get("Retry-After") != "")
	}
	began := r.versionsOf("id-")
	for stream, version := range r.versionsOf(prefix) {
		is.Equal(version, began[stream]) // A stream goes on at another version.
	}
	return wentOn
}

// All nodes end while workers of two versions serve: no node that starts then has seen where
// a stream began.
func TestStreamsGoOnAfterAllNodesEndedWithinARelease(t *testing.T) {
	is := is.New(t)
	r := newRelease(t)
	r.replace(5)
	wait := r.begin()
	r.endAll()
	wait()
	is.Equal(r.takeUp("again-"), releaseStreams)
	r.endAll()
	is.Equal(r.takeUp("more-"), releaseStreams)
}

// All nodes end as the first worker of a newer version starts, before anything that they
// know of earlier streams may have left them.
func TestStreamsGoOnAfterAllNodesEndedAsAReleaseBegan(t *testing.T) {
	is := is.New(t)
	r := newRelease(t)
	wait := r.begin()
	r.newer = append(r.newer, r.streamWorker("i-new0", "v2", 100*time.Millisecond))
	r.endAll()
	wait()
	is.Equal(r.takeUp("again-"), releaseStreams)
}

// All nodes end after the last worker of the old version has left: a node that starts then
// sees the new version only.
func TestStreamsAreRefusedAfterAllNodesEndedBehindARelease(t *testing.T) {
	is := is.New(t)
	r := newRelease(t)
	r.replace(5)
	wait := r.begin()
	r.replace(releaseWorkers - 5)
	r.endAll()
	wait()
	of := 0
	for _, version := range r.versionsOf("id-") {
		if version == "v2" {
			of++
		}
	}
	is.True(of < releaseStreams)
	is.Equal(r.takeUp("again-"), of) // Those of the new version go on.
}

func TestStreamsOfTheOnlyVersionGoOnAfterAllNodesEnded(t *testing.T) {
	is := is.New(t)
	r := newRelease(t)
	wait := r.begin()
	r.endAll()
	wait()
	is.Equal(r.takeUp("again-"), releaseStreams)
}

// Nodes that have just started and then lose the store have an old list of workers, with one
// version only.
func TestNodesWithOldListsRefuseStreamsOfUnknownVersions(t *testing.T) {
	is := is.New(t)
	r := newRelease(t)
	time.Sleep(time.Second)
	r.edit = func(spec map[string]any) { delete(spec, "tenants") }
	r.writeConfig()
	time.Sleep(500 * time.Millisecond) // The change reaches the nodes.
	r.store.SetFaults(store.Faults{Down: true})
	r.replace(releaseWorkers)
	for i := range releaseStreams {
		got := r.nodes[0].resume("chat", fmt.Sprint("again-", i), streamName(i), 1)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
	}
	is.Equal(len(r.versionsOf("again-")), 0)
}
