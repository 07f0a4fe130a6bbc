// Package entrytest runs whole entry nodes against the stand-ins for the
// platform's store and workers.
package entrytest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/entry"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	waitLimit = 15 * time.Second
	// The ports are the same on all nodes; each node has its own loopback address.
	callersPort, readyPort, peersPort = 18221, 18224, 17600
	key                               = "k1"
	headerSeal                        = "X-Primrosemoor-Server-Seal"
)

// world is a store, workers and entry nodes in one process.
type world struct {
	t       *testing.T
	store   *store.Store
	server  *httptest.Server
	version int
	workers map[string]*worker.Worker
	// net is the loopback network of the world's nodes.
	net int32
}

// networks counts the worlds, so that tests run side by side.
var networks atomic.Int32

func newWorld(t *testing.T) *world {
	t.Helper()
	t.Parallel()
	s := store.New()
	w := &world{t: t, store: s, server: httptest.NewServer(s), workers: make(map[string]*worker.Worker), net: networks.Add(1)}
	t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	w.configure("k1", "k2")
	return w
}

// configure writes the next version of the configuration, with keys.
func (w *world) configure(keys ...string) {
	w.t.Helper()
	w.version += 3
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "farm.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	err := w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routeTable": []any{
			route("book", "non_idempotent", "app", nil), route("look", "idempotent", "app", nil),
			route("chat", "streaming", "llm", map[string]any{"streamResume": true, "itlTargetMs": 300}),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
			map[string]any{"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "stride": 6}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": keys, "ratePerS": 1e6, "burst": 1e6, "unit": "tokens", "uncachedTokens": 200}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) worker(id, service string, events int) *worker.Worker {
	w.t.Helper()
	wk := &worker.Worker{ID: id, Service: service, Events: events, Work: 5 * time.Millisecond, Slots: 8}
	if err := wk.Start(w.store, "a"); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(wk.Stop)
	w.workers[id] = wk
	return wk
}

// node is one running entry node.
type node struct {
	app *fx.App
	ip  string
}

// address returns the loopback address of a node.
func (w *world) address(i int) string { return fmt.Sprintf("127.0.%d.%d", w.net, i) }

// start runs a node on a loopback address.
func (w *world) start(i int, further ...fx.Option) *node {
	w.t.Helper()
	return w.startWith(i, w.settings(i), further...)
}

// startWith runs a node with settings of its own.
func (w *world) startWith(i int, s *schema.GatewaySettings, further ...fx.Option) *node {
	w.t.Helper()
	n := &node{ip: w.address(i)}
	n.app = entry.New(s, further...)
	if err := n.app.Start(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		// A second stop, of a node that a test has stopped, does nothing.
		_ = n.app.Stop(ctx)
	})
	return n
}

// settings returns the settings of a node.
func (w *world) settings(i int) *schema.GatewaySettings {
	at := func(port int) string { return fmt.Sprintf("%s:%d", w.address(i), port) }
	s := settings.DefaultGateway()
	s.Node = &schema.GatewayNode{Name: fmt.Sprintf("edge-%d", i), AvailabilityZone: "a", Region: "r"}
	s.Listen = &schema.GatewayListen{Callers: at(callersPort), Readiness: at(readyPort), Peers: at(peersPort)}
	s.Store = &schema.GatewayStore{Address: strings.TrimPrefix(w.server.URL, "http://")}
	s.Zones = []*schema.GatewayZone{{Name: "a", Region: "r"}}
	s.Seeds = []string{w.address(1) + ":1", w.address(2) + ":1"}
	s.Bounds.Revocation = durationpb.New(5 * time.Second)
	s.Log.Level = "error"
	return s
}

func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for limit := time.Now().Add(waitLimit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			w.t.Fatalf("not in %v: %s", waitLimit, what)
		}
	}
}

func (w *world) ready(n *node) {
	w.t.Helper()
	w.eventually(n.ip+" is ready", func() bool { return n.readiness() == http.StatusOK })
}

// readiness asks what the balancer asks.
func (n *node) readiness() int {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, readyPort))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// answer is what a caller gets.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// ask sends a request on a new connection.
func (n *node) ask(route, id string) answer {
	return n.askWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, route, id)
}

func (n *node) askWith(client *http.Client, route, id string) answer {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", n.ip, callersPort, route), strings.NewReader("body"))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "farm.example"
	req.Header.Set("X-Primrosemoor-Attempt-Id", id)
	req.Header.Set("X-Primrosemoor-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), resp.Header, err}
}

func events(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}
