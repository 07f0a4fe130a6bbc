package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// restartPause is the time after which the platform starts an ended process again.
const restartPause = 500 * time.Millisecond

// fleet is the edge machines of a deployment, each with its own loopback address.
type fleet struct {
	nodes  []*node
	record *record
}

// node is one machine with its process.
type node struct {
	name, ip, zone string
	settings, log  string
	ports          ports
	record         *record
	// store is this machine's path to the store.
	store *proxy

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	stopping bool
	ends     int
}

// ports are those of a machine, the same on all.
type ports struct{ callers, ready, peers, metrics int }

var zones = []string{"munster-a", "leinster-a", "connacht-a"}

var regions = map[string]string{"munster-a": "munster", "leinster-a": "leinster", "connacht-a": "connacht"}

// newFleet writes the settings of the machines, in the form that the deploy file's template
// has for a small deployment.
func newFleet(folder, storeAddress string, count int, r *record) (*fleet, error) {
	seed := time.Now().UnixNano()
	prefix := fmt.Sprintf("127.%d.%d", 20+seed/7%200, 1+seed/1000%250)
	p, err := freePorts(prefix + ".1")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", prefix, i+1, p.peers)))
	}
	for i := range count {
		zone := zones[i%len(zones)]
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), ip: fmt.Sprintf("%s.%d", prefix, i+1), zone: zone, ports: p, record: r}
		if n.store, err = startProxy(storeAddress); err != nil {
			return nil, err
		}
		n.settings, n.log = filepath.Join(folder, n.name+".toml"), filepath.Join(folder, n.name+".log")
		if err := os.WriteFile(n.settings, []byte(n.settingsText(n.store.address, strings.Join(seeds, ","))), 0o600); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

func freePorts(ip string) (p ports, err error) {
	for _, port := range []*int{&p.callers, &p.ready, &p.peers, &p.metrics} {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

const (
	memoryMebibytes = 284
	drainTime       = 2500 * time.Millisecond
	contactTime     = 4 * time.Second
)

func (n *node) settingsText(storeAddress, seeds string) string {
	text := fmt.Sprintf(`seeds = [%s]

[node]
name = %q
availability_zone = %q
region = %q

[listen]
callers = "%s:%d"
readiness = "%s:%d"
peers = "%s:%d"
metrics = "%s:%d"

[store]
address = %q

[resources]
memory_mebibytes = %d
file_descriptors = 4100
processor_share = 0.4
cores = 1

[bounds]
revocation = "5000ms"
grace = "8s"
drain = "2500ms"
retry_ratio = 0.2
retry_extra = 52
retry_window = "10s"
limit_window = "8s"
limit_overshoot = 0.1
limit_slack = 140000
`, seeds, n.name, n.zone, regions[n.zone], n.ip, n.ports.callers, n.ip, n.ports.ready, n.ip, n.ports.peers, n.ip, n.ports.metrics, storeAddress, memoryMebibytes)
	for _, z := range zones {
		text += fmt.Sprintf("\n[[zones]]\nname = %q\nregion = %q\n", z, regions[z])
	}
	return text
}

// start starts the process, which is started again whenever it ends.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/primrosemoor", "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSEMOOR_BOOT=" + n.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = c, exited
	go func() {
		err := c.Wait()
		close(exited)
		n.record.line("%s: its process has ended: %v", n.name, err)
		time.Sleep(restartPause)
		if err := n.start(); err != nil {
			n.record.line("%s: cannot start: %v", n.name, err)
		}
	}()
	return nil
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	c := n.command
	n.mu.Unlock()
	if c != nil {
		c.Process.Kill()
	}
}

// memory returns the resident memory of the process in bytes.
func (n *node) memory() int64 {
	n.mu.Lock()
	c := n.command
	n.mu.Unlock()
	if c == nil {
		return 0
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if value, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kib << 10
		}
	}
	return 0
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.ip, n.ports.callers) }

// ready asks the machine as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, n.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.line("all machines are ready")
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopping = true
		exited := n.exited
		n.mu.Unlock()
		n.kill()
		if exited != nil {
			<-exited
		}
	}
}
