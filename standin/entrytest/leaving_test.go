package entrytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// leavingWorkers end with a request that shares a part with the others, as many as make
	// a quarantine.
	leavingWorkers = 3
	sharedPrompt   = "cafe:60,%d:100"
)

// workerOf returns the worker that runs a request.
func (env *testEnv) workerOf(id string) *worker.Worker {
	var running *worker.Worker
	env.waitFor("a worker runs "+id, func() bool {
		for _, w := range env.workers {
			if w.RunCounts()[id] > 0 {
				running = w
			}
		}
		return running != nil
	})
	return running
}

func TestEndOfListedAndRemovedWorkersThatLeaveIsNotTakenForACrash(t *testing.T) {
	for name, announce := range map[string]func(env *testEnv, w *worker.Worker) error{
		"draining": func(env *testEnv, w *worker.Worker) error { return w.Register(env.store, "a", "draining") },
		"removed": func(env *testEnv, w *worker.Worker) error {
			env.store.Remove("servers", w.ID)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			for i := range leavingWorkers + 2 {
				env.startWorkerAs(&worker.Worker{ID: fmt.Sprint("i-", i), Service: "app", ServiceTime: 1500 * time.Millisecond})
			}
			n := env.startNode(1)
			env.waitReady(n)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for i := range leavingWorkers {
				id := fmt.Sprint("cut-", i)
				answered := make(chan response, 1)
				go func() { answered <- n.postPrompt(client, "book", id, fmt.Sprintf(sharedPrompt, i)) }()
				w := env.workerOf(id)
				is.NoErr(announce(env, w))
				time.Sleep(500 * time.Millisecond) // The node learns of it.
				w.Stop()
				is.Equal((<-answered).status, http.StatusBadGateway)
			}
			is.Equal(n.postPrompt(client, "book", "next", fmt.Sprintf(sharedPrompt, leavingWorkers)).status, http.StatusOK)
		})
	}
}
