package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one machine with the role entry.
type node struct {
	name, zone     string
	callers, ready string
	peers, metrics string
	store          string
	memory         int
	directory      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

const (
	// The ports lie below those that the kernel gives to outgoing connections.
	lowestPort, highestPort = 15000, 31999
	portTries               = 100
)

var errNoPort = errors.New("no free port")

// portsGiven holds the ports that freePort has returned.
var portsGiven sync.Map

// freePort returns a port of the loopback address that is free now and nobody else has got.
func freePort() (int, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if _, given := portsGiven.LoadOrStore(port, true); given {
			continue
		}
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, errNoPort
}

// newNode prepares a machine with free ports.
func newNode(directory, name, zone, store string, memory int) (*node, error) {
	var addresses [4]string
	for i := range addresses {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		addresses[i] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	return &node{
		name: name, zone: zone, callers: addresses[0], ready: addresses[1], peers: addresses[2], metrics: addresses[3],
		store: store, memory: memory, directory: directory,
	}, nil
}

// settings returns the settings that deploy/settings.toml renders to for a small deployment.
func (n *node) settings(zones []string) string {
	text := fmt.Sprintf(`[node]
name = %q
availability_zone = %q
region = %q

[listen]
callers = %q
readiness = %q
peers = %q
metrics = %q

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

[sharing]
fair = true

[hedging]
max_share = 0.05
`, n.name, n.zone, "region-"+n.zone, n.callers, n.ready, n.peers, n.metrics, n.store, n.memory)
	for _, z := range zones {
		text += fmt.Sprintf("\n[[zones]]\nname = %q\nregion = %q\n", z, "region-"+z)
	}
	return text
}

// start starts the process by the command of the deploy file.
func (n *node) start(zones []string) error {
	path := filepath.Join(n.directory, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings(zones)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.directory, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/primrosemoor", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.directory, "PRIMROSEMOOR_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		_ = command.Wait() // Whoever ends the process knows why.
		close(exited)
	}()
	return nil
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0
	}
	return n.command.Process.Pid
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // It may have ended by itself.
	<-exited
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) error { return syscall.Kill(n.pid(), s) }

// isReady asks the readiness address as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// anonymousMebibytes returns the memory of the process without what is mapped from files.
func (n *node) anonymousMebibytes() float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", n.pid()))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return float64(kib) / 1024
		}
	}
	return 0
}

// ports returns the local ports of the process's connections.
func (n *node) ports() map[int]bool {
	inodes := make(map[string]bool)
	directory := fmt.Sprintf("/proc/%d/fd", n.pid())
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil {
			if inode, ok := strings.CutPrefix(link, "socket:["); ok {
				inodes[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	ports := make(map[int]bool)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !inodes[fields[9]] {
			continue
		}
		if _, hex, ok := strings.Cut(fields[1], ":"); ok {
			if port, err := strconv.ParseInt(hex, 16, 32); err == nil {
				ports[int(port)] = true
			}
		}
	}
	return ports
}
