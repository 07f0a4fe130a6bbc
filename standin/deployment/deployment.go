package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/process"
)

// Names of the shared processes.
const (
	NamePlatform = "platform"
	nameRelay    = "relay"
)

const (
	readinessPollInterval = 100 * time.Millisecond
	readinessPollTimeout  = 100 * time.Millisecond

	pollInterval = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
	adminTimeout = 5 * time.Second
	applyTimeout = 20 * time.Second
	// exitTimeout bounds the wait for a process to exit after SIGKILL.
	exitTimeout = 20 * time.Second
)

// CrashMarker is a text that crashes any engine that reads it in a prompt.
const CrashMarker = "crash-this-target"

// VMLag is the time by which the platform's list of VMs lags behind changes.
const VMLag = 2 * time.Second

// Options configures a Deployment.
type Options struct {
	// Size is the name of an entry of Sizes: small, drumlin or kowhai.
	Size string
	// Binaries is the directory of the built programs, Directory that of the
	// run's logs and records.
	Binaries  string
	Directory string
	// EngineArgs and ServiceArgs are additional flags for the engine and service
	// stand-ins.
	EngineArgs  []string
	ServiceArgs []string
	History     *history.Writer
}

// Deployment is a set of running processes: nodes, targets, the platform and the
// relay. Its methods are safe for concurrent use.
type Deployment struct {
	*Layout
	options Options
	client  http.Client

	mu        sync.Mutex
	processes map[string]*process.Process
	edit      Edit

	// readyNodes holds the nodes that passed the last readiness poll.
	readyNodes atomic.Pointer[[]Node]
	poller     sync.WaitGroup
}

// Start starts all processes, applies the configuration and waits until every
// node is ready and lists all nodes as members. If Start returns a
// Deployment together with an error, the caller must still call Close.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	layout, err := newLayout(options.Size)
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Layout:    layout,
		options:   options,
		client:    http.Client{Timeout: adminTimeout},
		processes: make(map[string]*process.Process),
		edit:      Edit{Revision: 1},
	}
	d.readyNodes.Store(new([]Node))
	if err := d.startStandins(ctx); err != nil {
		return d, err
	}
	if err := d.apply(ctx, nil, d.edit); err != nil {
		return d, err
	}
	for i := range d.Nodes {
		if err := d.startNode(d.Node(i)); err != nil {
			return d, err
		}
	}
	for i := range d.Nodes {
		if err := d.WaitReady(ctx, d.Node(i).Name); err != nil {
			return d, err
		}
	}
	d.poller.Go(func() { d.pollReadiness(ctx) })
	return d, d.WaitMembers(ctx)
}

// Close ends all processes. The context passed to Start must have ended, as
// Close waits for the goroutine that polls readiness.
func (d *Deployment) Close() {
	d.poller.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.End()
	}
	d.subnetLock.Close()
}

// startStandins starts the platform, the relay and the targets, that is, every
// process but the nodes.
func (d *Deployment) startStandins(ctx context.Context) error {
	if err := d.startProcess(NamePlatform, "standin", "platform", "--listen", d.platform(), "--vm-lag", VMLag.String()); err != nil {
		return err
	}
	routes := []string{d.platformRelay() + "=" + d.platform()}
	for i := range d.Nodes {
		n := d.Node(i)
		routes = append(routes, n.PeerAdvertise+"="+n.Peer)
	}
	for _, t := range d.Targets() {
		routes = append(routes, t.Address+"="+t.Listen)
	}
	args := append([]string{"relay", "--admin", d.relayAdmin()}, routes...)
	if err := d.startProcess(nameRelay, "standin", args...); err != nil {
		return err
	}
	for _, t := range d.Targets() {
		if err := d.startTarget(t); err != nil {
			return err
		}
	}
	if err := d.waitFor(ctx, "http://"+d.platform()+"/v1/vms"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, "http://"+d.relayAdmin()+"/admin/cuts"); err != nil {
		return err
	}
	return d.setVMs(nil)
}

func (d *Deployment) startTarget(t Target) error {
	args := []string{"service"}
	extra := d.options.ServiceArgs
	if t.Engine {
		args = []string{"engine", "--models", d.model, "--crash-marker", CrashMarker}
		extra = d.options.EngineArgs
	}
	args = append(args, "--listen", t.Listen, "--name", t.Name,
		"--record", filepath.Join(d.options.Directory, "record-"+t.Name+".jsonl"))
	return d.startProcess(t.Name, "standin", append(args, extra...)...)
}

func (d *Deployment) startNode(n Node) error {
	path := filepath.Join(d.options.Directory, n.Name+".toml")
	if err := os.WriteFile(path, []byte(d.settingsText(n)), 0o600); err != nil {
		return err
	}
	return d.startProcess(n.Name, "primrosemoor", "run", "--settings", path)
}

// startProcess starts a program and registers its process under a name.
func (d *Deployment) startProcess(name, program string, args ...string) error {
	p := process.New(d.options.Directory, name, filepath.Join(d.options.Binaries, program), args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = p
	return p.Start()
}

func (d *Deployment) findProcess(name string) (*process.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.processes[name]
	if !ok {
		return nil, fmt.Errorf("unknown process %q", name)
	}
	return p, nil
}

// Restart starts a process that has exited again, with the same arguments.
func (d *Deployment) Restart(name string) error {
	p, err := d.findProcess(name)
	if err != nil {
		return err
	}
	if p.Running() {
		return fmt.Errorf("%s is still running", name)
	}
	line := history.Line{Kind: history.KindFault, Node: name, Fault: history.FaultRestart}
	if err := d.options.History.Write(line); err != nil {
		return err
	}
	return p.Start()
}

// Kill ends a process with SIGKILL and waits until it has exited.
func (d *Deployment) Kill(name string) error {
	if err := d.injectSignal(name, history.FaultKill, syscall.SIGKILL); err != nil {
		return err
	}
	p, err := d.findProcess(name)
	if err != nil {
		return err
	}
	return p.Wait(exitTimeout)
}

// Freeze suspends a process with SIGSTOP; Thaw resumes it.
func (d *Deployment) Freeze(name string) error {
	return d.injectSignal(name, history.FaultFreeze, syscall.SIGSTOP)
}

// Thaw resumes a frozen process with SIGCONT.
func (d *Deployment) Thaw(name string) error {
	return d.injectSignal(name, history.FaultThaw, syscall.SIGCONT)
}

// injectSignal sends a signal that causes or ends a fault. It writes the fault to
// the history first, so that the checker never sees an effect before its cause.
func (d *Deployment) injectSignal(name string, f history.Fault, signal syscall.Signal) error {
	p, err := d.findProcess(name)
	if err != nil {
		return err
	}
	if err := d.options.History.Write(history.Line{Kind: history.KindFault, Node: name, Fault: f}); err != nil {
		return err
	}
	return p.Signal(signal)
}

// Stop shuts a process down gracefully with SIGTERM and waits until it has
// exited.
func (d *Deployment) Stop(name string, timeout time.Duration) error {
	p, err := d.findProcess(name)
	if err != nil {
		return err
	}
	if err := d.options.History.Write(history.Line{Kind: history.KindStop, Node: name}); err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.Wait(timeout); err != nil {
		return err
	}
	return d.options.History.Write(history.Line{Kind: history.KindStopped, Node: name})
}

// RunningNodes returns the nodes whose processes are running and not frozen.
func (d *Deployment) RunningNodes() []Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var nodes []Node
	for i := range d.Nodes {
		n := d.Node(i)
		if p := d.processes[n.Name]; p != nil && p.Running() && !p.Frozen() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// ServingNodes returns the nodes that passed the last readiness poll, which are
// those that the simulated load balancer routes callers to.
func (d *Deployment) ServingNodes() []Node {
	return *d.readyNodes.Load()
}

// pollReadiness polls the readiness of every node, as the platform's load
// balancer does, until the context ends.
func (d *Deployment) pollReadiness(ctx context.Context) {
	client := http.Client{Timeout: readinessPollTimeout}
	for {
		var ready []Node
		for i := range d.Nodes {
			n := d.Node(i)
			response, err := client.Get(n.URL() + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, n)
			}
		}
		d.readyNodes.Store(&ready)
		select {
		case <-ctx.Done():
			return
		case <-time.After(readinessPollInterval):
		}
	}
}

// FindNode returns the node with the given name.
func (d *Deployment) FindNode(name string) (Node, error) {
	for i := range d.Nodes {
		if n := d.Node(i); n.Name == name {
			return n, nil
		}
	}
	return Node{}, fmt.Errorf("unknown node %q", name)
}

// WaitReady waits until the node reports that it is ready.
func (d *Deployment) WaitReady(ctx context.Context, name string) error {
	n, err := d.FindNode(name)
	if err != nil {
		return err
	}
	if err := d.waitFor(ctx, n.URL()+"/readyz"); err != nil {
		return fmt.Errorf("%s is not ready: %w", name, err)
	}
	return nil
}

// waitFor polls a URL until it answers with status 200.
func (d *Deployment) waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := d.client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", url, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// post sends a JSON request to the administration API of a stand-in.
func (d *Deployment) post(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := d.client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, response.Status)
	}
	return nil
}

// runPrimrosectl runs primrosectl, the operators' command-line tool, and returns
// its standard output.
func (d *Deployment) runPrimrosectl(ctx context.Context, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(d.options.Binaries, "primrosectl"), args...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	output, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("primrosectl %s: %w: %s", args[0], err, stderr.Bytes())
	}
	return output, nil
}
