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

func TestTheWholePath(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	app := w.worker("i-app", "app", 0)
	w.worker("i-llm", "llm", 12)
	n := w.start(1)
	w.ready(n)
	got := n.ask("book", "id-1")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "answer to id-1")
	is.Equal(got.header.Get(headerSeal), "seal-of-i-app")
	is.Equal(app.Team("id-1"), "t1")
	got = n.ask("chat", "id-2")
	is.NoErr(got.err)
	is.Equal(got.body, events(12))
}

func TestARequestThatMustNotRunTwiceIsAnsweredHonestly(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a, b := w.worker("i-a", "app", 0), w.worker("i-b", "app", 0)
	n := w.start(1)
	w.ready(n)
	for i, f := range []worker.Faults{{Reset: true}, {Full: true}, {Errors: true}, {}} {
		a.SetFaults(f)
		b.SetFaults(f)
		id := fmt.Sprint("id-", i)
		got := n.ask("book", id)
		ran := a.Ran()[id] + b.Ran()[id]
		is.NoErr(got.err)
		is.True(ran <= 1)
		is.Equal(got.status, []int{502, 503, 500, 200}[i])
		is.True(got.status != 503 || ran == 0)
		if i == 0 {
			time.Sleep(1200 * time.Millisecond) // The pause after a broken answer.
		}
	}
}

func TestABrokenStreamGoesOnAtAnotherWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	first := w.worker("i-a", "llm", 20)
	first.SetFaults(worker.Faults{CutAfter: 7})
	n := w.start(1)
	w.ready(n)
	var wg sync.WaitGroup
	got := make(chan answer, 1)
	wg.Go(func() { got <- n.ask("chat", "id-1") })
	w.eventually("the first worker runs the request", func() bool { return first.Ran()["id-1"] == 1 })
	w.worker("i-b", "llm", 20)
	wg.Wait()
	a := <-got
	is.NoErr(a.err)
	is.Equal(a.body, events(20))
	is.Equal(a.header.Get(headerSeal), "seal-of-i-a")
}

func TestALeavingWorkerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	leaving := w.worker("i-a", "app", 0)
	w.worker("i-b", "app", 0)
	n := w.start(1)
	w.ready(n)
	is.NoErr(leaving.Register(w.store, "a", "draining"))
	time.Sleep(time.Second) // Well within the time that a leaving worker serves on.
	before := len(leaving.Ran())
	for i := range 20 {
		is.Equal(n.ask("look", fmt.Sprint("id-", i)).status, 200)
	}
	is.Equal(len(leaving.Ran()), before)
}

func TestAKeyThatWasTakenAwayNoLongerWorks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	n := w.start(1)
	w.ready(n)
	is.Equal(n.ask("look", "id-1").status, 200)
	w.configure("k2")
	time.Sleep(time.Second)
	is.Equal(n.ask("look", "id-2").status, 401)
}

func TestWithoutTheStoreKeysStopWorkingInTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	n := w.start(1)
	w.ready(n)
	w.store.SetFaults(store.Faults{Silent: true})
	is.Equal(n.ask("look", "id-1").status, 200) // its proof is still fresh
	time.Sleep(5500 * time.Millisecond)
	got := n.ask("look", "id-2")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(n.readiness(), http.StatusServiceUnavailable)
	w.store.SetFaults(store.Faults{})
	w.ready(n)
	is.Equal(n.ask("look", "id-3").status, 200)
}

func TestANodeThatStartsDuringAnOutageLearnsFromItsSeeds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	first := w.start(1)
	w.ready(first)
	w.store.SetFaults(store.Faults{Down: true})
	second := w.start(2)
	w.ready(second)
	is.Equal(second.ask("look", "id-1").status, 200)
}

func TestAStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	slow := w.worker("i-a", "app", 0)
	slow.Work = 700 * time.Millisecond
	n := w.start(1)
	w.ready(n)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	var wg sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		wg.Go(func() { answers[i] = n.askWith(client, "book", fmt.Sprint("id-", i)) })
	}
	time.Sleep(200 * time.Millisecond) // The requests are at the worker.
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		stopped <- n.app.Stop(ctx)
	}()
	wg.Wait()
	for _, a := range answers {
		is.NoErr(a.err)
		is.Equal(a.status, 200)
	}
	is.Equal(n.readiness(), http.StatusServiceUnavailable)
	// Until the balancer has noticed, new requests are served too.
	is.Equal(n.ask("book", "id-late").status, 200)
	is.NoErr(<-stopped)
}

func TestTheStoreIsAskedSeldom(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	n := w.start(1)
	w.ready(n)
	before := w.store.Calls()
	time.Sleep(6 * time.Second)
	after := w.store.Calls()
	is.True(after["GET config"]-before["GET config"] <= 5)
	is.True(after["GET servers"]-before["GET servers"] <= 3)
	is.True(after["GET primrosemoor-nodes"]-before["GET primrosemoor-nodes"] <= 3)
}

func TestAStoreThatForgetsItsHistoryIsReadAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	n := w.start(1)
	w.ready(n)
	for i := range 3 {
		w.store.Compact()
		w.configure("k1", fmt.Sprint("k", i))
		w.worker(fmt.Sprint("i-", i), "app", 0)
	}
	w.workers["i-a"].SetFaults(worker.Faults{Full: true})
	w.eventually("the new workers serve", func() bool { return n.ask("look", "id-1").status == 200 })
	is.Equal(n.readiness(), 200)
}

func TestSettingsAreReadAnewAtAHangup(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	var loads atomic.Int32
	reload := entry.ReloadAtHangup(func() (*schema.GatewaySettings, error) {
		if loads.Add(1) == 1 {
			return nil, errors.New("a fault in the file")
		}
		s := w.settings(1)
		s.Bounds.Revocation = durationpb.New(500 * time.Millisecond)
		return s, nil
	})
	n := w.start(1, fx.Supply(reload))
	w.ready(n)
	for i := range 2 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		w.eventually("the settings are read", func() bool { return loads.Load() == int32(i+1) })
		is.Equal(n.ask("look", fmt.Sprint("id-", i)).status, 200)
	}
	w.store.SetFaults(store.Faults{Silent: true})
	time.Sleep(time.Second) // Twice the new time of a revocation.
	is.Equal(n.ask("look", "id-2").status, 503)
}

func TestOperatorsAreToldOfANodeAndOfItsRequests(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.worker("i-a", "app", 0)
	s := w.settings(1)
	s.Log.Level = "info"
	n := w.startWith(1, s)
	w.ready(n)
	is.Equal(n.ask("look", "id-1").status, 200)
	pool := peer.NewPool(peer.PoolOptions{
		Identity: peer.Identity{Cluster: "primrosemoor-entry", Node: "operator"}, Meter: peer.NopMeter{},
		DialTimeout: time.Second, CallTimeout: time.Second,
	})
	defer pool.Close()
	status := &schema.StatusReply{}
	is.NoErr(pool.Call(t.Context(), s.GetListen().GetPeers(), schema.Method_METHOD_STATUS, &schema.StatusRequest{}, status))
	is.Equal(status.GetNode(), "edge-1")
	is.Equal(status.GetConfigRevision(), uint64(w.version))
	is.True(status.GetStoreReachable())
	is.Equal(len(status.GetGroups()), 1)
	is.Equal(status.GetGroups()[0].GetTargets()[0].GetName(), "i-a")
	reply := &schema.ExplainReply{}
	w.eventually("the request is explained", func() bool {
		err := pool.Call(t.Context(), s.GetListen().GetPeers(), schema.Method_METHOD_EXPLAIN, &schema.ExplainRequest{RequestId: "id-1"}, reply)
		return err == nil && len(reply.GetLines()) == 2
	})
	is.True(strings.Contains(reply.GetLines()[0], "event=request_placed request=id-1"))
	is.True(strings.Contains(reply.GetLines()[1], "event=request_ended request=id-1 cause=answered status=200"))
}
