package entrysoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/process"
	"github.com/primrosemoor/primrosemoor/standin/relay"
	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	nodeCount = 4
	// Workers of each service at the start; more come as others leave.
	workersEach = 3
	// The ports are the same on all nodes; each node has its own loopback address.
	callersPort, readyPort, peersPort = 18321, 18324, 17700
	host                              = "farm.example"
	lastEvent                         = 12
	// revocation and drain are the bounds of the promises about keys and about
	// targets that leave.
	revocation = 5 * time.Second
	drain      = 2500 * time.Millisecond
	// contact is how long all must have been calm for a promise to hold that is
	// made for nodes in touch only.
	contact = 4 * time.Second
	grace   = 8 * time.Second
	// restartPause is how long the platform takes to start a process again.
	restartPause = 300 * time.Millisecond
)

// world is what surrounds the nodes: a store, workers and proxies, all in this
// process.
type world struct {
	options Options
	ctx     context.Context
	store   *store.Store
	relay   *relay.Relay
	history *history
	nodes   []*node

	// given is the key that was given out last, valid or not.
	given atomic.Pointer[string]

	mu      sync.Mutex
	version int
	keys    []string
	workers []*worker.Worker
}

func newWorld(ctx context.Context, options Options) (*world, error) {
	w := &world{options: options, ctx: ctx, store: store.New(), relay: relay.New(), history: &history{}, keys: []string{"steady"}}
	if err := w.configure(); err != nil {
		return nil, err
	}
	for i := range 2 * workersEach {
		if err := w.addWorker([]string{"app", "llm"}[i%2]); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	for i := range nodeCount {
		n, err := w.newNode(i, listener.Addr().String())
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// proxied returns the address of a proxy before another one.
func (w *world) proxied(forward string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	go w.relay.Serve(w.ctx, l, relay.Route{Listen: address, Forward: forward})
	return address, nil
}

// configure writes the next version of the configuration.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	route := func(name, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
			"streamResume": resume, "itlTargetMs": 300,
		}
	}
	return w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routeTable": []any{
			route("book", "non_idempotent", "app", false), route("look", "idempotent", "app", false),
			route("chat", "streaming", "llm", true), route("draft", "streaming", "llm", false),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
			map[string]any{"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "stride": 6}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": w.keys, "ratePerS": 1e7, "burst": 1e7, "unit": "tokens", "uncachedTokens": 200}},
	})
}

// setKeys changes the valid keys.
func (w *world) setKeys(keys ...string) error {
	w.mu.Lock()
	w.keys = keys
	w.mu.Unlock()
	return w.configure()
}

func (w *world) addWorker(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	wk := &worker.Worker{
		ID: fmt.Sprintf("i-%s-%d", service, len(w.workers)), Service: service, Work: 5 * time.Millisecond, Slots: 8, Advertise: w.proxied,
	}
	if service == "llm" {
		wk.Events = lastEvent
	}
	if err := wk.Start(w.store, "a"); err != nil {
		return err
	}
	context.AfterFunc(w.ctx, wk.Stop)
	w.workers = append(w.workers, wk)
	return nil
}

// ran returns which workers ran a request, and how often in all.
func (w *world) ran() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string][]string)
	for _, wk := range w.workers {
		for id, n := range wk.Ran() {
			for range n {
				all[id] = append(all[id], wk.ID)
			}
		}
	}
	return all
}

// node is one entry node, a process of its own.
type node struct {
	*process.Process
	name, ip string
	// store is the proxy before the store that only this node uses.
	store string
}

func (w *world) newNode(i int, storeAddress string) (*node, error) {
	proxy, err := w.proxied(storeAddress)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.9.%d.%d", w.options.Seed%250, i+1), store: proxy}
	zone := []string{"a", "b"}[i%2]
	settings := filepath.Join(w.options.Directory, n.name+".toml")
	n.Process = process.New(w.options.Directory, n.name, w.options.Program, "entry", "--settings", settings)
	text := fmt.Sprintf(`seeds = ["127.9.%d.1:1", "127.9.%d.2:1"]
[node]
name = %q
availability_zone = %q
region = "r"
[[zones]]
name = "a"
region = "r"
[[zones]]
name = "b"
region = "r"
[listen]
callers = "%s:%d"
readiness = "%s:%d"
peers = "%s:%d"
[store]
address = %q
[bounds]
revocation = %q
grace = %q
`, w.options.Seed%250, w.options.Seed%250, n.name, zone, n.ip, callersPort, n.ip, readyPort, n.ip, peersPort, proxy, revocation, grace)
	return n, os.WriteFile(settings, []byte(text), 0o600)
}

// keep starts the node's process again whenever it has ended, until ctx ends. An
// end that nobody meant is a violation.
func (n *node) keep(ctx context.Context, h *history) error {
	for {
		select {
		case <-n.Exited():
		case <-ctx.Done():
			return nil
		}
		if !h.ended(n.name) {
			h.violation("%s ended by itself", n.name)
		}
		time.Sleep(restartPause)
		if ctx.Err() != nil {
			return nil
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
}

// send sends a signal to the node's process, which may have ended meanwhile.
func (n *node) send(s syscall.Signal) error {
	if err := n.Signal(s); err != nil && !errors.Is(err, process.ErrNotRunning) && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", n.name, err)
	}
	return nil
}

// ready asks what the platform's balancer asks.
func (n *node) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/readyz", n.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
