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
	balanceInterval = 100 * time.Millisecond
	balanceTimeout  = 100 * time.Millisecond

	pollInterval = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
	adminTimeout = 5 * time.Second
	applyTimeout = 20 * time.Second
	// exitTimeout bounds the wait for a process that was told to end.
	exitTimeout = 20 * time.Second
)

// CrashMarker is the text that ends an engine which reads it in a prompt.
const CrashMarker = "crash-this-target"

// VMLag is the lag of the platform's list of VMs.
const VMLag = 2 * time.Second

// Options configures a Deployment.
type Options struct {
	// Size is small, drumlin or kowhai.
	Size string
	// Binaries is the folder of the built programs, Directory that of the
	// run's logs and records.
	Binaries  string
	Directory string
	// EngineArgs and ServiceArgs are further flags of the stand-ins.
	EngineArgs  []string
	ServiceArgs []string
	History     *history.Writer
}

// Deployment is a set of running processes. Its methods may be called by any
// goroutine.
type Deployment struct {
	*Layout
	options Options
	client  http.Client

	mu        sync.Mutex
	processes map[string]*process.Process
	edit      Edit

	// serving is what the balancer last found ready.
	serving  atomic.Pointer[[]Node]
	balancer sync.WaitGroup
}

// Start starts all processes, applies the configuration and waits until every
// node is ready. On an error the caller still has to call Close.
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
	d.serving.Store(new([]Node))
	if err := d.startOutside(ctx); err != nil {
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
	d.balancer.Go(func() { d.balance(ctx) })
	return d, d.WaitMembers(ctx)
}

// Close ends all processes. The context of Start must have ended.
func (d *Deployment) Close() {
	d.balancer.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.End()
	}
	d.probe.Close()
}

func (d *Deployment) startOutside(ctx context.Context) error {
	if err := d.run(NamePlatform, "standin", "platform", "--listen", d.platform(), "--vm-lag", VMLag.String()); err != nil {
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
	if err := d.run(nameRelay, "standin", args...); err != nil {
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
	return d.run(t.Name, "standin", append(args, extra...)...)
}

func (d *Deployment) startNode(n Node) error {
	path := filepath.Join(d.options.Directory, n.Name+".toml")
	if err := os.WriteFile(path, []byte(d.settingsText(n)), 0o600); err != nil {
		return err
	}
	return d.run(n.Name, "primrosemoor", "run", "--settings", path)
}

// run starts a program under a name.
func (d *Deployment) run(name, program string, args ...string) error {
	p := process.New(d.options.Directory, name, filepath.Join(d.options.Binaries, program), args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = p
	return p.Start()
}

func (d *Deployment) find(name string) (*process.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.processes[name]
	if !ok {
		return nil, fmt.Errorf("process %q is not known", name)
	}
	return p, nil
}

// Restart starts a process that has ended, as it was started before.
func (d *Deployment) Restart(name string) error {
	p, err := d.find(name)
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

// Kill ends a process without notice.
func (d *Deployment) Kill(name string) error {
	if err := d.fault(name, history.FaultKill, syscall.SIGKILL); err != nil {
		return err
	}
	p, err := d.find(name)
	if err != nil {
		return err
	}
	return p.Wait(exitTimeout)
}

// Freeze stops a process's execution; Thaw lets it go on.
func (d *Deployment) Freeze(name string) error {
	return d.fault(name, history.FaultFreeze, syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (d *Deployment) Thaw(name string) error {
	return d.fault(name, history.FaultThaw, syscall.SIGCONT)
}

// fault notes the failure before it takes effect, so that the checker never
// finds an effect ahead of its cause.
func (d *Deployment) fault(name string, f history.Fault, s syscall.Signal) error {
	p, err := d.find(name)
	if err != nil {
		return err
	}
	if err := d.options.History.Write(history.Line{Kind: history.KindFault, Node: name, Fault: f}); err != nil {
		return err
	}
	return p.Signal(s)
}

// Stop begins the graceful shutdown of a process and waits for its end.
func (d *Deployment) Stop(name string, timeout time.Duration) error {
	p, err := d.find(name)
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

// RunningNodes returns the nodes whose processes run and are not frozen.
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

// ServingNodes returns the nodes to which the balancer sends callers.
func (d *Deployment) ServingNodes() []Node {
	return *d.serving.Load()
}

// balance asks every node whether it is ready, as the platform's balancer
// does, until the context ends.
func (d *Deployment) balance(ctx context.Context) {
	client := http.Client{Timeout: balanceTimeout}
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
		d.serving.Store(&ready)
		select {
		case <-ctx.Done():
			return
		case <-time.After(balanceInterval):
		}
	}
}

// FindNode returns a node's place by name.
func (d *Deployment) FindNode(name string) (Node, error) {
	for i := range d.Nodes {
		if n := d.Node(i); n.Name == name {
			return n, nil
		}
	}
	return Node{}, fmt.Errorf("node %q is not known", name)
}

// WaitReady waits until the node answers that it is ready.
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

// post sends an administration call to a stand-in.
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

// control runs the operators' tool and returns its standard output.
func (d *Deployment) control(ctx context.Context, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(d.options.Binaries, "primrosectl"), args...)
	var problems bytes.Buffer
	cmd.Stderr = &problems
	output, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("primrosectl %s: %w: %s", args[0], err, problems.Bytes())
	}
	return output, nil
}
