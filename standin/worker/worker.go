// Package worker stands in for the platform's workers: plain services and
// streams of events behind the platform's headers. It counts what it runs and
// fails on request.
package worker

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/store"
)

// Headers as the platform names them.
const (
	headerID       = "X-Primrosemoor-Attempt-Id"
	headerInstance = "X-Primrosemoor-Expect-Instance"
	headerSeal     = "X-Primrosemoor-Server-Seal"
	headerNotRun   = "X-Primrosemoor-Not-Executed"
	headerLoad     = "X-Primrosemoor-Server-Load"
	headerTeam     = "X-Primrosemoor-Tenant"
	headerLast     = "Last-Event-Id"
)

// Faults are the failures that a worker brings about.
type Faults struct {
	// Full answers that the request was not run. Errors answers 500.
	Full, Errors bool
	// Reset runs a request and closes its connection without an answer.
	Reset bool
	// CutAfter ends a stream after this many events; 0 does not.
	CutAfter int
}

// Worker is one process that serves a service.
type Worker struct {
	ID      string
	Service string
	// Events is the number of events of a stream; 0 serves plain answers.
	Events int
	// Work is how long a request, or one event, takes.
	Work  time.Duration
	Slots int
	// Advertise is the address that the worker registers, if it is not the one
	// it listens on.
	Advertise func(listen string) (string, error)

	server *http.Server
	addr   string

	mu      sync.Mutex
	faults  Faults
	running int
	ran     map[string]int
	teams   map[string]string
}

// Start listens on loopback and registers the worker with the store.
func (w *Worker) Start(s *store.Store, zone string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.ID, err)
	}
	w.addr = l.Addr().String()
	if w.Advertise != nil {
		if w.addr, err = w.Advertise(w.addr); err != nil {
			l.Close()
			return fmt.Errorf("worker %s: %w", w.ID, err)
		}
	}
	w.ran, w.teams = make(map[string]int), make(map[string]string)
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	return w.Register(s, zone, "ready")
}

// Register writes the worker's entry.
func (w *Worker) Register(s *store.Store, zone, state string) error {
	return s.Put("servers", w.ID, map[string]any{
		"service": w.Service, "address": w.addr, "zone": zone, "version": "v1", "slots": w.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1,
	})
}

// Address returns the address that the worker registers.
func (w *Worker) Address() string { return w.addr }

// Stop ends the worker at once.
func (w *Worker) Stop() { w.server.Close() }

// SetFaults changes what fails from now on.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Ran returns how often each request id was run.
func (w *Worker) Ran() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := make(map[string]int, len(w.ran))
	for id, n := range w.ran {
		copied[id] = n
	}
	return copied
}

// Team returns the team that a request was sent for.
func (w *Worker) Team(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teams[id]
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	rw.Header().Set(headerID, id)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f, load := w.begin(id, r.Header.Get(headerTeam))
	if load == "" {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	rw.Header().Set(headerSeal, "seal-of-"+w.ID)
	rw.Header().Set(headerLoad, load)
	switch {
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Errors:
		rw.WriteHeader(http.StatusInternalServerError)
	case w.Events > 0:
		w.stream(rw, r, f)
	default:
		time.Sleep(w.Work)
		fmt.Fprintf(rw, "answer to %s", id)
	}
}

// begin counts a run, or returns no load if the worker is full.
func (w *Worker) begin(id, team string) (Faults, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Full {
		return w.faults, ""
	}
	w.running++
	w.ran[id]++
	w.teams[id] = team
	return w.faults, fmt.Sprintf("%d,0,%d", w.running, w.Slots)
}

func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, f Faults) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLast)); err == nil {
		first = last + 1
	}
	for id := first; id <= w.Events; id++ {
		if f.CutAfter > 0 && id > f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(w.Work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", id, id)
		_ = http.NewResponseController(rw).Flush()
	}
}
