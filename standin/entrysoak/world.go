package entrysoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
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
	// workersPerService is the number at the start; each drained worker is replaced.
	workersPerService = 3
	// The ports are the same on all nodes; each node has its own loopback address.
	callersPort, readyPort, peersPort = 18321, 18324, 17700
	host                              = "farm.example"
	eventsPerStream                   = 12
	// serviceTime is the time that a plain response takes, and eventTime that of an event.
	serviceTime = 5 * time.Millisecond
	eventTime   = 25 * time.Millisecond
	// revocation is the time after which a revoked key must be refused, drain the
	// time after which a draining target must get no new requests.
	revocation = 5 * time.Second
	drain      = 2500 * time.Millisecond
	// reconnectTime is how long the system must have been undisturbed before a
	// promise that holds only for connected nodes is checked.
	reconnectTime = 4 * time.Second
	grace         = 8 * time.Second
	// versionStep is the distance between two versions of the configuration.
	versionStep = 3
	// restartPause is the time that the platform takes to restart a process.
	restartPause = 300 * time.Millisecond
)

// environment is the nodes with their surroundings: a store, workers and proxies, which
// all run in this process.
type environment struct {
	options Options
	ctx     context.Context
	store   *store.Store
	relay   *relay.Relay
	history *history
	nodes   []*node

	// newestKey is the key that was issued last, valid or revoked.
	newestKey atomic.Pointer[string]

	// newestVersion is the newest version of the configuration that the store
	// acknowledged.
	newestVersion atomic.Int64
	// issuedKeys and oddEntries count what was written, for unique names.
	issuedKeys, oddEntries atomic.Int64
	// releases counts the releases of newer versions.
	releases atomic.Int64

	mu            sync.Mutex
	configVersion int
	config        map[string]any
	keys          []string
	workers       []*worker.Worker
	// states are the states that the workers last reported, by id; a removed worker has
	// none.
	states map[string]string
	// leaving are the workers that say in their answers that they leave, by id.
	leaving map[string]bool
}

func newEnvironment(ctx context.Context, options Options) (*environment, error) {
	env := &environment{options: options, ctx: ctx, store: store.New(), relay: relay.New(), history: &history{loaded: options.Callers > 0}, keys: []string{"steady"}, states: make(map[string]string), leaving: make(map[string]bool)}
	if err := env.writeConfig(); err != nil {
		return nil, err
	}
	for i := range 2 * (workersPerService + options.Callers/callersPerWorker) {
		if err := env.addWorker([]string{"app", "llm"}[i%2]); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: env.store}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	for i := range options.Nodes {
		n, err := env.newNode(i, listener.Addr().String())
		if err != nil {
			return nil, err
		}
		env.nodes = append(env.nodes, n)
	}
	return env, nil
}

// startProxy starts a proxy that forwards to an address, and returns the proxy's
// address.
func (env *environment) startProxy(forward string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	go env.relay.Serve(env.ctx, l, relay.Route{Listen: address, Forward: forward})
	return address, nil
}

// writeConfig writes the next version of the configuration. Each version adds a route
// and drops the one that came two versions before.
func (env *environment) writeConfig() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configVersion += versionStep
	route := func(name, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": env.options.timeLimit(name).Milliseconds(), "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
			"streamResume": resume, "itlTargetMs": 300,
		}
	}
	env.config = map[string]any{
		"version": env.configVersion,
		"routeTable": []any{
			route("book", "non_idempotent", "app", false), route("look", "idempotent", "app", false),
			route("chat", "streaming", "llm", true), route("draft", "streaming", "llm", false),
			route(versionRoute(env.configVersion), "idempotent", "app", false),
			route(versionRoute(env.configVersion-versionStep), "idempotent", "app", false),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
			map[string]any{"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "stride": 6}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": env.keys, "ratePerS": 1e7, "burst": 1e7, "unit": "tokens", "uncachedTokens": 200}},
	}
	c := configVersion{version: env.configVersion, keys: slices.Clone(env.keys), sentAt: time.Now()}
	if err := env.store.Put("config", "main", env.config); err != nil {
		return err
	}
	c.ackedAt = time.Now()
	env.history.addConfig(c)
	env.newestVersion.Store(int64(c.version))
	return nil
}

// versionRoute returns the name of the route that a version of the configuration adds.
func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// versionOf returns the version of the configuration that added a route, or 0 for a
// route that all versions have.
func versionOf(route string) int {
	digits, ok := strings.CutPrefix(route, "v")
	if version, err := strconv.Atoi(digits); ok && err == nil {
		return version
	}
	return 0
}

// setKeys replaces the valid API keys.
func (env *environment) setKeys(keys ...string) error {
	env.mu.Lock()
	env.keys = keys
	env.mu.Unlock()
	return env.writeConfig()
}

// addWorker starts a worker, of one of the latest versions.
func (env *environment) addWorker(service string) error {
	env.mu.Lock()
	number := int(env.releases.Load()) + len(env.workers)/2%workerVersions
	env.mu.Unlock()
	return env.addWorkerOf(service, fmt.Sprint("v", 1+number))
}

func (env *environment) addWorkerOf(service, version string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	wk := &worker.Worker{
		ID: fmt.Sprintf("i-%s-%d", service, len(env.workers)), Service: service, ServiceTime: serviceTime, Slots: 8, Advertise: env.startProxy,
	}
	if service == streamService {
		wk.Events, wk.Version, wk.ShowVersion, wk.ServiceTime = cmp.Or(env.options.Events, eventsPerStream), version, true, eventTime
		if env.options.Callers > 0 {
			wk.Engine = worker.NewEngine(wk.Slots, tokensPerEvent, promptRate, stepPerStream)
		}
	}
	if err := wk.Start(env.store, "a"); err != nil {
		return err
	}
	env.states[wk.ID] = "ready"
	context.AfterFunc(env.ctx, wk.Stop)
	env.workers = append(env.workers, wk)
	env.recordServing()
	return nil
}

// register writes a worker's entry with a state to the store.
func (env *environment) register(wk *worker.Worker, state string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.states[wk.ID] = state
	env.recordServing()
	return wk.Register(env.store, "a", state)
}

// unregister removes a worker's entry from the store.
func (env *environment) unregister(wk *worker.Worker) {
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.states, wk.ID)
	env.recordServing()
	env.store.Remove("servers", wk.ID)
}

// executions returns the workers that ran each request, once per run.
func (env *environment) executions() map[string][]string {
	env.mu.Lock()
	defer env.mu.Unlock()
	executions := make(map[string][]string)
	for _, wk := range env.workers {
		for id, n := range wk.RunCounts() {
			for range n {
				executions[id] = append(executions[id], wk.ID)
			}
		}
	}
	return executions
}

// node is one entry node in its own process.
type node struct {
	*process.Process
	name, ip string
	// store is the address of this node's own proxy in front of the store.
	store string
}

func (env *environment) newNode(i int, storeAddress string) (*node, error) {
	proxy, err := env.startProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.9.%d.%d", env.options.Seed%250, i+1), store: proxy}
	zone := []string{"a", "b"}[i%2]
	settings := filepath.Join(env.options.Directory, n.name+".toml")
	program := cmp.Or(env.options.OldProgram, env.options.Program)
	n.Process = process.New(env.options.Directory, n.name, program, "entry", "--settings", settings)
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
`, env.options.Seed%250, env.options.Seed%250, n.name, zone, n.ip, callersPort, n.ip, readyPort, n.ip, peersPort, proxy, revocation, grace)
	if env.options.Share > 0 {
		n.SetEnvironment("GOMAXPROCS=1")
	}
	return n, os.WriteFile(settings, []byte(text), 0o600)
}

// supervise restarts the node's process whenever it exits, until ctx is done. An
// unexpected exit is a violation.
func (n *node) supervise(ctx context.Context, h *history) error {
	for {
		select {
		case <-n.Exited():
		case <-ctx.Done():
			return nil
		}
		if !h.endExpected(n.name) {
			h.addViolation("%s exited unexpectedly", n.name)
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

// signal sends a signal to the node's process. It is no error if the process has
// already exited.
func (n *node) signal(s syscall.Signal) error {
	if err := n.Signal(s); err != nil && !errors.Is(err, process.ErrNotRunning) && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", n.name, err)
	}
	return nil
}

// ready reports whether the node passes the readiness check of the platform's load
// balancer.
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
