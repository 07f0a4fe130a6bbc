package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerID        = "X-Primrosemoor-Attempt-Id"
	headerDeadline  = "X-Primrosemoor-Deadline-Ms"
	headerTokens    = "X-Primrosemoor-Token-Count"
	headerModel     = "X-Primrosemoor-Model"
	headerPrompt    = "X-Primrosemoor-Prompt-Prefix"
	headerInstance  = "X-Primrosemoor-Expect-Instance"
	headerSeal      = "X-Primrosemoor-Server-Seal"
	headerNotRun    = "X-Primrosemoor-Not-Executed"
	headerLoad      = "X-Primrosemoor-Server-Load"
	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"
	headerKey       = "Api-Key"
	headerLeaving   = "Server-Leaving"
)

// worker is a sound worker of the platform, unless crashPart is set. Each start is a new
// lifetime with a new id and the same address.
type worker struct {
	name, service, zone, version string
	slots, queue                 int
	// firstAfter is the time to the first event of a stream, or to a whole answer; pace
	// is the time between two events, of which a stream has events.
	firstAfter, pace time.Duration
	events           int
	// crashPart is the part of a prompt on which the worker crashes as it begins to write;
	// it is back after downtime.
	crashPart string
	downtime  time.Duration
	store     *store
	record    *record

	mu       sync.Mutex
	address  string
	id       string
	lives    int
	sequence int
	born     int64
	conns    map[net.Conn]bool
	listener net.Listener
	sem      chan struct{}
	waiting  int
	state    string
	crashes  int
}

// start listens and registers the worker.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.lives++
	w.address, w.listener, w.conns = l.Addr().String(), l, make(map[net.Conn]bool)
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.lives)
	w.born, w.sequence, w.waiting = time.Now().UnixMilli(), 0, 0
	w.sem, w.state = make(chan struct{}, w.slots), "ready"
	w.registerLocked()
	life := &lifetime{worker: w, id: w.id, version: w.version, sem: w.sem, gone: make(chan struct{})}
	server := &http.Server{Handler: life, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateClosed {
			delete(w.conns, c)
		} else if w.listener == l {
			w.conns[c] = true
		}
	}}
	go server.Serve(l)
	return nil
}

func (w *worker) registerLocked() {
	w.sequence++
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots,
		"state": w.state, "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
		"phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// drain reports in the store and in all answers that the worker leaves; it goes on serving.
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = "draining"
	w.registerLocked()
}

// leave removes the worker's entry; it goes on serving.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = "left"
	w.store.remove("servers", w.id)
}

// leaves reports whether the worker says that it leaves.
func (w *worker) leaves() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state != "ready"
}

// crash ends the lifetime: all channels are reset and the address refuses new ones, as if
// the process had been killed. The entry of the lifetime lapses; a new one starts later.
func (w *worker) crash() {
	w.mu.Lock()
	l, id := w.listener, w.id
	if l == nil {
		w.mu.Unlock()
		return
	}
	w.listener = nil
	w.crashes++
	conns := w.conns
	w.conns = nil
	w.mu.Unlock()
	l.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	w.record.crash(id)
	time.AfterFunc(w.downtime, func() {
		w.store.remove("servers", id)
		if err := w.start(); err != nil {
			w.record.line("worker %s cannot start again: %v", w.name, err)
			return
		}
		w.record.line("worker %s is back as %s", w.name, w.id)
	})
}

// lifetime serves the requests of one start of a worker.
type lifetime struct {
	worker      *worker
	id, version string
	sem         chan struct{}
	gone        chan struct{}
}

// ServeHTTP implements http.Handler.
func (l *lifetime) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w, id := l.worker, r.Header.Get(headerID)
	if id == "" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	rw.Header().Set(headerID, id)
	if want := r.Header.Get(headerInstance); want != "" && want != l.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.leaves() {
		rw.Header().Set(headerLeaving, "1")
	}
	io.Copy(io.Discard, r.Body)
	w.record.arrival(id, l.id, time.Now())
	if !l.admit(r) {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.sem }()
	w.record.run(id, l.id)
	rw.Header().Set(headerSeal, "seal."+l.id+"."+id)
	rw.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", len(l.sem), w.slots))
	select {
	case <-time.After(w.firstAfter):
	case <-r.Context().Done():
		return
	}
	if w.crashPart != "" && hasPart(r, w.crashPart) {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	if w.events == 0 {
		fmt.Fprintf(rw, "answer to %s", id)
		return
	}
	l.stream(rw, r)
}

// admit waits for a slot, and returns false if too many requests wait.
func (l *lifetime) admit(r *http.Request) bool {
	select {
	case l.sem <- struct{}{}:
		return true
	default:
	}
	w := l.worker
	w.mu.Lock()
	full := w.waiting >= w.queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case l.sem <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream writes events that say which version wrote them.
func (l *lifetime) stream(rw http.ResponseWriter, r *http.Request) {
	w := l.worker
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		first = last + 1
	}
	for n := first; n <= w.events; n++ {
		if n > first {
			select {
			case <-time.After(w.pace):
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, l.version)
		http.NewResponseController(rw).Flush()
	}
}

// hasPart reports whether a part, other than the last one, belongs to a prompt.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get(headerPrompt), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, part+":") })
}
