package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	headerID       = "X-Primrosemoor-Attempt-Id"
	headerInstance = "X-Primrosemoor-Expect-Instance"
	headerSeal     = "X-Primrosemoor-Server-Seal"
	headerNotRun   = "X-Primrosemoor-Not-Executed"
	headerLoad     = "X-Primrosemoor-Server-Load"
	headerDeadline = "X-Primrosemoor-Deadline-Ms"
	headerTokens   = "X-Primrosemoor-Token-Count"
	headerKey      = "Api-Key"
	headerResumes  = "Resumes"
	headerLast     = "Last-Event-Id"
)

// tokensPerEvent is the stride of the engines.
const tokensPerEvent = 6

// worker stands in for one worker. Its streams have one event each interval; each event
// names the software version that made it.
type worker struct {
	id, service, zone string
	slots             int
	events            int
	interval          time.Duration
	// plain makes the worker answer with a body after one interval, instead of a stream.
	plain  bool
	store  *store
	record *recorder

	mu       sync.Mutex
	version  string
	born     int64
	address  string
	server   *http.Server
	listener net.Listener
	running  int
	conns    map[net.Conn]bool
	runs     map[string]int
}

// start listens, on the address that the worker had before if there was one, and writes its
// entry before it accepts connections.
func (w *worker) start(version string) error {
	address := w.address
	if address == "" {
		port, err := freePort()
		if err != nil {
			return err
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	listener := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
		return errors.Join(err, controlErr)
	}}
	l, err := listener.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.address, w.version, w.born, w.server, w.listener, w.conns = l.Addr().String(), version, time.Now().UnixMilli(), server, l, make(map[net.Conn]bool)
	if w.runs == nil {
		w.runs = make(map[string]int)
	}
	w.running = 0
	w.mu.Unlock()
	w.report("ready")
	go server.Serve(&tracked{l, w})
	w.record.add("worker %s starts, version %s, at %s", w.id, version, w.address)
	return nil
}

// report writes the worker's entry.
func (w *worker) report(state string) {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": w.born,
	}
	w.mu.Unlock()
	w.store.put("servers", w.id, entry)
}

// crash closes the listener and resets all connections.
func (w *worker) crash() {
	w.mu.Lock()
	server, conns := w.server, w.conns
	w.conns = make(map[net.Conn]bool)
	w.mu.Unlock()
	server.Close()
	for c := range conns {
		reset(c)
	}
	w.record.add("worker %s crashes", w.id)
}

// reset closes a connection with RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The connection is closed either way.
	}
	c.Close()
}

// refuseNew refuses new connections, and resets those from some ports. The others live on.
func (w *worker) refuseNew(resetPorts map[int]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener.Close()
	for c := range w.conns {
		if resetPorts[c.RemoteAddr().(*net.TCPAddr).Port] {
			reset(c)
			delete(w.conns, c)
		}
	}
}

// tracked is a listener that knows the worker's connections.
type tracked struct {
	net.Listener
	worker *worker
}

// Accept implements net.Listener.
func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.worker.mu.Lock()
	t.worker.conns[c] = true
	t.worker.mu.Unlock()
	return c, nil
}

// ranOf returns how often a request ran here.
func (w *worker) ranOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id, version, slots := w.id, w.version, w.slots
	w.mu.Unlock()
	h := rw.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Primrosemoor-Instance-Id", id)
		return
	}
	attempt := r.Header.Get(headerID)
	h.Set(headerID, attempt)
	h.Set("Keep-Alive", "timeout=60")
	if expected := r.Header.Get(headerInstance); expected != "" && expected != id {
		h.Set("X-Primrosemoor-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	full := w.running >= slots
	if !full {
		w.running++
		w.runs[attempt]++
	}
	running := w.running
	w.mu.Unlock()
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d", running, slots))
	if full {
		h.Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get(headerLast))
	w.record.add("worker %s version %s runs %s after event %d", id, version, attempt, after)
	h.Set(headerSeal, "seal-"+id)
	if w.plain {
		time.Sleep(w.interval)
		fmt.Fprintf(rw, "answer to %s\n", attempt)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Primrosemoor-Weight-Versions", "1")
	events := w.events
	if _, out, ok := strings.Cut(r.Header.Get(headerTokens), ","); ok {
		tokens, _ := strconv.Atoi(out)
		events = min(events, max(1, tokens/tokensPerEvent))
	}
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(w.interval):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: event %d of %s\n\n", n, n, version)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}
