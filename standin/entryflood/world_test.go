// Package entryflood tests an entry node, as a process of its own, against clients that do not
// keep to what callers do. The tests run one after the other: each reads what its node has
// taken of memory and descriptors.
package entryflood

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/process"
	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	waitTimeout = 30 * time.Second
	// The ports are the same in all tests; each has its own loopback address.
	callersPort, readyPort, peersPort = 18321, 18324, 17660
	apiKey                            = "k1"
	// maxBodyBytes and headTime are limits of the configuration.
	maxBodyBytes = 1 << 20
	headTime     = 12 * time.Second
)

// program is the path of the built binary.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "entryflood")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	program = filepath.Join(directory, "primrosemoor")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/primrosemoor/primrosemoor/cmd/primrosemoor").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// size is what a node is told of its machine.
type size struct{ mebibytes, descriptors int }

// node is one entry node, with a store and a worker in the process of the test.
type node struct {
	*process.Process
	t    *testing.T
	ip   string
	size size
}

// processNetwork is the second byte of the loopback addresses, so that two runs of these
// tests at the same time hardly ever share one.
var processNetwork = 10 + os.Getpid()%240

// networks counts the tests that have started a node, which is the third byte.
var networks int

// startNode starts a node of a size, and waits until it serves. A request may take timeout.
func startNode(t *testing.T, size size, timeout time.Duration) *node {
	t.Helper()
	networks++
	ip := fmt.Sprintf("127.%d.%d.1", processNetwork, networks)
	objects := store.New()
	server := httptest.NewServer(objects)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	err := objects.Put("config", "main", map[string]any{
		"version": 1,
		"routeTable": []any{map[string]any{
			"name": "look", "host": "farm.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "app",
			"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": timeout.Milliseconds(), "priority": 1, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 64 << 10, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": headTime.Milliseconds(), "idleTimeoutMs": 60000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{apiKey}, "ratePerS": 1e6, "burst": 1e6, "unit": "requests"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	wk := &worker.Worker{ID: "i-a", Service: "app", ServiceTime: 5 * time.Millisecond, Slots: 8}
	if err := wk.Start(objects, "a"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wk.Stop)
	directory := t.TempDir()
	settings := filepath.Join(directory, "settings.toml")
	text := fmt.Sprintf(`[node]
name = "edge-1"
availability_zone = "a"
region = "r"
[[zones]]
name = "a"
region = "r"
[listen]
callers = "%s:%d"
readiness = "%s:%d"
peers = "%s:%d"
[store]
address = %q
[resources]
memory_mebibytes = %d
file_descriptors = %d
`, ip, callersPort, ip, readyPort, ip, peersPort, strings.TrimPrefix(server.URL, "http://"), size.mebibytes, size.descriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := &node{process.New(directory, "edge-1", program, "entry", "--settings", settings), t, ip, size}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Kill()
		if t.Failed() {
			n.printLog(filepath.Join(directory, "edge-1.log"))
		}
	})
	n.waitFor("a request is answered", func() bool { return n.ask() == nil })
	return n
}

// printLog prints the last lines of the node's log.
func (n *node) printLog(path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		n.t.Log(err)
		return
	}
	lines := strings.Split(string(text), "\n")
	n.t.Log(strings.Join(lines[max(0, len(lines)-10):], "\n"))
}

func (n *node) waitFor(condition string, ok func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("not within %v: %s", waitTimeout, condition)
		}
	}
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.ip, callersPort) }

// connect opens a connection to the node's listener for callers.
func (n *node) connect() (net.Conn, error) {
	return net.DialTimeout("tcp4", n.callers(), waitTimeout)
}

// ask sends one ordinary small request on a new connection, and returns nil if it was served.
func (n *node) ask() error {
	ctx, cancel := context.WithTimeout(n.t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers()+"/look/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Host = "farm.example"
	req.Header.Set("X-Primrosemoor-Attempt-Id", fmt.Sprint("ask-", time.Now().UnixNano()))
	req.Header.Set("X-Primrosemoor-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// peakMebibytes returns the most memory of the node's process that was resident.
func (n *node) peakMebibytes() int {
	n.t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		n.t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kibibytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
			if err != nil {
				n.t.Fatal(err)
			}
			return kibibytes >> 10
		}
	}
	n.t.Fatal("no VmHWM")
	return 0
}

// descriptors returns how many descriptors the node's process has open.
func (n *node) descriptors() int {
	n.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID()))
	if err != nil {
		n.t.Fatal(err)
	}
	return len(entries)
}

// requireDescriptors fails the test if it may not open so many descriptors itself.
func requireDescriptors(t *testing.T, count int) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if limit.Cur < uint64(count) {
		t.Fatalf("this process may open %d descriptors, needs %d: raise ulimit -n", limit.Cur, count)
	}
}
