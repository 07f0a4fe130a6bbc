// Package entrytest tests complete entry nodes against stand-ins for the platform's
// store and workers.
package entrytest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
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
	waitTimeout = 15 * time.Second
	// The ports are the same on all nodes; each node has its own loopback address.
	callersPort, readyPort, peersPort = 18221, 18224, 17600
	apiKey                            = "k1"
	headerSeal                        = "X-Primrosemoor-Server-Seal"
)

// testEnv is a store, workers and entry nodes in one process.
type testEnv struct {
	t             *testing.T
	store         *store.Store
	server        *httptest.Server
	configVersion int
	// addedRoutes are further idempotent routes of the next versions.
	addedRoutes []string
	// edit, if it is set, changes the next versions before they are written.
	edit    func(spec map[string]any)
	workers map[string]*worker.Worker
	// network is the third byte of the loopback addresses of the nodes.
	network int32
}

// lastNetwork is the network of the newest testEnv. Each one has its own, so that
// tests can run in parallel.
var lastNetwork atomic.Int32

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	t.Parallel()
	return newLoneTestEnv(t)
}

// newLoneTestEnv returns an environment of a test that does not run beside others, because
// it needs much of the processor.
func newLoneTestEnv(t *testing.T) *testEnv {
	t.Helper()
	s := store.New()
	env := &testEnv{t: t, store: s, server: httptest.NewServer(s), workers: make(map[string]*worker.Worker), network: lastNetwork.Add(1)}
	t.Cleanup(func() {
		env.server.CloseClientConnections()
		env.server.Close()
	})
	env.writeConfig("k1", "k2")
	return env
}

// writeConfig writes the next version of the configuration with the given API keys.
func (env *testEnv) writeConfig(keys ...string) {
	env.t.Helper()
	env.configVersion += 3
	route := func(name, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "farm.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	routes := []any{
		route("book", "non_idempotent", "app", nil), route("look", "idempotent", "app", nil),
		route("long", "non_idempotent", "app", map[string]any{"timeoutMs": 15000, "targetLatencyMs": 15000}),
		route("chat", "streaming", "llm", map[string]any{"streamResume": true, "itlTargetMs": 300}),
	}
	for _, name := range env.addedRoutes {
		routes = append(routes, route(name, "idempotent", "app", nil))
	}
	spec := map[string]any{
		"version":    env.configVersion,
		"routeTable": routes,
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
			map[string]any{"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "stride": 6}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": keys, "ratePerS": 1e6, "burst": 1e6, "unit": "tokens", "uncachedTokens": 200}},
	}
	if env.edit != nil {
		env.edit(spec)
	}
	if err := env.store.Put("config", "main", spec); err != nil {
		env.t.Fatal(err)
	}
}

func (env *testEnv) startWorker(id, service string, events int) *worker.Worker {
	env.t.Helper()
	return env.startWorkerAs(&worker.Worker{ID: id, Service: service, Events: events})
}

// startWorkerAs starts a worker, with defaults for what is not set.
func (env *testEnv) startWorkerAs(wk *worker.Worker) *worker.Worker {
	env.t.Helper()
	return env.startWorkerIn(wk, "a")
}

// startWorkerIn starts a worker in a zone, with defaults for what is not set.
func (env *testEnv) startWorkerIn(wk *worker.Worker, zone string) *worker.Worker {
	env.t.Helper()
	wk.ServiceTime, wk.Slots = cmp.Or(wk.ServiceTime, 5*time.Millisecond), cmp.Or(wk.Slots, 8)
	if err := wk.Start(env.store, zone); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(wk.Stop)
	env.workers[wk.ID] = wk
	return wk
}

// node is one running entry node.
type node struct {
	app *fx.App
	ip  string
}

// processNetwork is the second byte of the loopback addresses, so that two runs of these
// tests at the same time hardly ever share one.
var processNetwork = 10 + os.Getpid()%240

// address returns the loopback address of a node.
func (env *testEnv) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", processNetwork, env.network, i)
}

// startNode runs a node with the default settings on its loopback address.
func (env *testEnv) startNode(i int, options ...fx.Option) *node {
	env.t.Helper()
	return env.startNodeWith(i, env.settings(i), options...)
}

// startNodeWith runs a node with the given settings.
func (env *testEnv) startNodeWith(i int, s *schema.GatewaySettings, options ...fx.Option) *node {
	env.t.Helper()
	n := &node{ip: env.address(i)}
	n.app = entry.New(s, options...)
	if err := n.app.Start(env.t.Context()); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(n.end)
	return n
}

// endTime is how long a node that a test leaves running has for its stop, too short for what
// it does in a planned one.
const endTime = 200 * time.Millisecond

// end stops the node. If the test has already stopped it, this does nothing.
func (n *node) end() {
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	// The outcome of the stop is no part of the test.
	_ = n.app.Stop(ctx)
}

// settings returns the default settings of a node.
func (env *testEnv) settings(i int) *schema.GatewaySettings {
	at := func(port int) string { return fmt.Sprintf("%s:%d", env.address(i), port) }
	s := settings.DefaultGateway()
	s.Node = &schema.GatewayNode{Name: fmt.Sprintf("edge-%d", i), AvailabilityZone: "a", Region: "r"}
	s.Listen = &schema.GatewayListen{Callers: at(callersPort), Readiness: at(readyPort), Peers: at(peersPort)}
	s.Store = &schema.GatewayStore{Address: strings.TrimPrefix(env.server.URL, "http://")}
	s.Zones = []*schema.GatewayZone{{Name: "a", Region: "r"}}
	s.Seeds = []string{env.address(1) + ":1", env.address(2) + ":1"}
	s.Bounds.Revocation = durationpb.New(5 * time.Second)
	s.Log.Level = "error"
	return s
}

func (env *testEnv) waitFor(condition string, ok func() bool) {
	env.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			env.t.Fatalf("not within %v: %s", waitTimeout, condition)
		}
	}
}

func (env *testEnv) waitReady(n *node) {
	env.t.Helper()
	env.waitFor(n.ip+" is ready", func() bool { return n.readiness() == http.StatusOK })
}

// readiness requests the readiness check as the load balancer does, and returns the
// status, or 0 if there is no answer.
func (n *node) readiness() int {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, readyPort))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// response is what a caller receives.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

// post sends a request on a new connection.
func (n *node) post(route, id string) response {
	return n.postWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, route, id)
}

func (n *node) postWith(client *http.Client, route, id string) response {
	return n.postPrompt(client, route, id, "")
}

// postPrompt sends a request with the given parts of a prompt.
func (n *node) postPrompt(client *http.Client, route, id, parts string) response {
	header := http.Header{}
	if parts != "" {
		header.Set("X-Primrosemoor-Prompt-Prefix", parts)
	}
	return n.postHeader(client, route, id, header)
}

// resume takes up a stream after an event, on a new connection.
func (n *node) resume(route, id, first string, after int) response {
	header := http.Header{"Resumes": {first}, "Last-Event-Id": {strconv.Itoa(after)}}
	return n.postHeader(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, route, id, header)
}

// postHeader sends a request with further headers.
func (n *node) postHeader(client *http.Client, route, id string, header http.Header) response {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", n.ip, callersPort, route), strings.NewReader("body"))
	if err != nil {
		return response{err: err}
	}
	req.Host = "farm.example"
	req.Header.Set("X-Primrosemoor-Attempt-Id", id)
	req.Header.Set("X-Primrosemoor-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", apiKey)
	maps.Copy(req.Header, header)
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(body), resp.Header, err}
}

func streamBody(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}
