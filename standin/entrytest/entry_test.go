package entrytest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/entry"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

func TestRequestsAreForwarded(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	app := env.startWorker("i-app", "app", 0)
	env.startWorker("i-llm", "llm", 12)
	n := env.startNode(1)
	env.waitReady(n)
	got := n.post("book", "id-1")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "answer to id-1")
	is.Equal(got.header.Get(headerSeal), "seal-of-i-app")
	is.Equal(app.Team("id-1"), "t1")
	got = n.post("chat", "id-2")
	is.NoErr(got.err)
	is.Equal(got.body, streamBody(12))
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	a, b := env.startWorker("i-a", "app", 0), env.startWorker("i-b", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	for i, f := range []worker.Faults{{Reset: true}, {Overloaded: true}, {Errors: true}, {}} {
		a.SetFaults(f)
		b.SetFaults(f)
		id := fmt.Sprint("id-", i)
		got := n.post("book", id)
		ran := a.RunCounts()[id] + b.RunCounts()[id]
		is.NoErr(got.err)
		is.True(ran <= 1)
		is.Equal(got.status, []int{502, 503, 500, 200}[i])
		is.True(got.status != 503 || ran == 0)
		if i == 0 {
			time.Sleep(1200 * time.Millisecond) // Outlasts the node's pause for a target after a broken answer.
		}
	}
}

func TestBrokenStreamResumesAtAnotherWorker(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first := env.startWorker("i-a", "llm", 20)
	first.SetFaults(worker.Faults{CutAfter: 7})
	n := env.startNode(1)
	env.waitReady(n)
	var wg sync.WaitGroup
	got := make(chan response, 1)
	wg.Go(func() { got <- n.post("chat", "id-1") })
	env.waitFor("the first worker runs the request", func() bool { return first.RunCounts()["id-1"] == 1 })
	env.startWorker("i-b", "llm", 20)
	wg.Wait()
	a := <-got
	is.NoErr(a.err)
	is.Equal(a.body, streamBody(20))
	is.Equal(a.header.Get(headerSeal), "seal-of-i-a")
}

func TestDrainingWorkerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	draining := env.startWorker("i-a", "app", 0)
	env.startWorker("i-b", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	is.NoErr(draining.Register(env.store, "a", "draining"))
	time.Sleep(time.Second) // Well within the time that a draining worker continues to serve.
	before := len(draining.RunCounts())
	for i := range 20 {
		is.Equal(n.post("look", fmt.Sprint("id-", i)).status, 200)
	}
	is.Equal(len(draining.RunCounts()), before)
}

func TestRevokedKeyIsRejected(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	is.Equal(n.post("look", "id-1").status, 200)
	env.writeConfig("k2")
	time.Sleep(time.Second)
	is.Equal(n.post("look", "id-2").status, 401)
}

func TestKeysExpireWithoutTheStore(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	env.store.SetFaults(store.Faults{Unresponsive: true})
	is.Equal(n.post("look", "id-1").status, 200) // The proof that the configuration is current is younger than bounds.revocation.
	time.Sleep(5500 * time.Millisecond)
	got := n.post("look", "id-2")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(n.readiness(), http.StatusServiceUnavailable)
	env.store.SetFaults(store.Faults{})
	env.waitReady(n)
	is.Equal(n.post("look", "id-3").status, 200)
}

func TestNodeStartedDuringStoreOutageLoadsFromSeeds(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	first := env.startNode(1)
	env.waitReady(first)
	env.store.SetFaults(store.Faults{Down: true})
	second := env.startNode(2)
	env.waitReady(second)
	is.Equal(second.post("look", "id-1").status, 200)
}

func TestGracefulStopFinishesAllRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	slow := env.startWorker("i-a", "app", 0)
	slow.ServiceTime = 700 * time.Millisecond
	n := env.startNode(1)
	env.waitReady(n)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	var wg sync.WaitGroup
	responses := make([]response, 8)
	for i := range responses {
		wg.Go(func() { responses[i] = n.postWith(client, "book", fmt.Sprint("id-", i)) })
	}
	time.Sleep(200 * time.Millisecond) // The requests are at the worker.
	stopErr := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopErr <- n.app.Stop(ctx)
	}()
	wg.Wait()
	for _, a := range responses {
		is.NoErr(a.err)
		is.Equal(a.status, 200)
	}
	is.Equal(n.readiness(), http.StatusServiceUnavailable)
	// New requests are served until the load balancer has seen the readiness check fail.
	is.Equal(n.post("book", "id-late").status, 200)
	is.NoErr(<-stopErr)
}

func TestStoreCallsAreFew(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	before := env.store.CallCounts()
	time.Sleep(6 * time.Second)
	after := env.store.CallCounts()
	is.True(after["GET config"]-before["GET config"] <= 5)
	is.True(after["GET servers"]-before["GET servers"] <= 3)
	is.True(after["GET primrosemoor-nodes"]-before["GET primrosemoor-nodes"] <= 3)
}

func TestCompactedStoreIsListedAgain(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	for i := range 3 {
		env.store.Compact()
		env.writeConfig("k1", fmt.Sprint("k", i))
		env.startWorker(fmt.Sprint("i-", i), "app", 0)
	}
	env.workers["i-a"].SetFaults(worker.Faults{Overloaded: true})
	env.waitFor("the new workers serve", func() bool { return n.post("look", "id-1").status == 200 })
	is.Equal(n.readiness(), 200)
}

func TestSettingsAreReloadedOnSIGHUP(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	var loads atomic.Int32
	reload := entry.ReloadOnSIGHUP(func() (*schema.GatewaySettings, error) {
		if loads.Add(1) == 1 {
			return nil, errors.New("a fault in the file")
		}
		s := env.settings(1)
		s.Bounds.Revocation = durationpb.New(2 * time.Second)
		return s, nil
	})
	n := env.startNode(1, fx.Supply(reload))
	env.waitReady(n)
	for i := range 2 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		env.waitFor("the settings are reloaded", func() bool { return loads.Load() == int32(i+1) })
		is.Equal(n.post("look", fmt.Sprint("id-", i)).status, 200)
	}
	env.store.SetFaults(store.Faults{Unresponsive: true})
	time.Sleep(4 * time.Second) // Twice the new bounds.revocation, and less than the old one.
	is.Equal(n.post("look", "id-2").status, 503)
}

func TestStatusAndExplainReportNodeAndRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	nodeSettings := env.settings(1)
	nodeSettings.Log.Level = "info"
	n := env.startNodeWith(1, nodeSettings)
	env.waitReady(n)
	is.Equal(n.post("look", "id-1").status, 200)
	pool := peer.NewPool(peer.PoolOptions{
		Identity: peer.Identity{Cluster: "primrosemoor-entry", Node: "operator"}, Meter: peer.NopMeter{},
		DialTimeout: time.Second, CallTimeout: time.Second,
	})
	defer pool.Close()
	status := &schema.StatusReply{}
	is.NoErr(pool.Call(t.Context(), nodeSettings.GetListen().GetPeers(), schema.Method_METHOD_STATUS, &schema.StatusRequest{}, status))
	is.Equal(status.GetNode(), "edge-1")
	is.Equal(status.GetConfigRevision(), uint64(env.configVersion))
	is.True(status.GetStoreReachable())
	is.Equal(len(status.GetGroups()), 1)
	is.Equal(status.GetGroups()[0].GetTargets()[0].GetName(), "i-a")
	reply := &schema.ExplainReply{}
	env.waitFor("the request is explained", func() bool {
		err := pool.Call(t.Context(), nodeSettings.GetListen().GetPeers(), schema.Method_METHOD_EXPLAIN, &schema.ExplainRequest{RequestId: "id-1"}, reply)
		return err == nil && len(reply.GetLines()) == 2
	})
	is.True(strings.Contains(reply.GetLines()[0], "event=request_placed request=id-1"))
	is.True(strings.Contains(reply.GetLines()[1], "event=request_ended request=id-1 cause=answered status=200"))
}
