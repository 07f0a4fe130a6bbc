// Package service simulates a plain application server with idempotent lookups
// by GET, and with bookings, charges and dispatches. It counts the executions of
// each request id and never deduplicates them.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// maxBodyBytes is the maximum number of bytes read of a request body.
const maxBodyBytes = 1 << 20

// Options configures a Handler.
type Options struct {
	Name string
	// Delay is the duration of one run.
	Delay time.Duration
	// Concurrency is the maximum number of concurrent runs; zero means no limit.
	Concurrency int
	Recorder    *record.Recorder
}

// Answer is the body of the response to a run.
type Answer struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Run is the number of runs of the request id in this process, including
	// this one.
	Run       int `json:"run"`
	BodyBytes int `json:"body_bytes"`
}

// State is the state that the target reports.
type State struct {
	Leaving bool `json:"leaving"`
}

// Load is the load that the target reports: the numbers of running and of
// waiting requests.
type Load struct {
	Running  int64 `json:"running"`
	Waiting  int64 `json:"waiting"`
	AtMillis int64 `json:"at_unix_ms"`
}

// Handler executes a request to any path other than those of its state, load
// and admin endpoints as a run of the service.
type Handler struct {
	options Options
	router  *mux.Router
	slots   chan struct{}
	leaving atomic.Bool
	running atomic.Int64
	waiting atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	h := &Handler{options: options, router: mux.NewRouter(), runs: make(map[string]int)}
	if options.Concurrency > 0 {
		h.slots = make(chan struct{}, options.Concurrency)
	}
	h.router.HandleFunc("/v1/state", h.getState).Methods(http.MethodGet)
	h.router.HandleFunc("/v1/load", h.getLoad).Methods(http.MethodGet)
	h.router.HandleFunc("/admin/leaving", h.setLeaving).Methods(http.MethodPost)
	h.router.PathPrefix("/").HandlerFunc(h.serveRun)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// RequestID returns the request id by which runs are counted.
func RequestID(header http.Header) string {
	if id := header.Get("Idempotency-Key"); id != "" {
		return id
	}
	return header.Get("X-Request-Id")
}

func (h *Handler) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := RequestID(r.Header)
	h.acquire()
	defer h.release()
	line := h.options.Recorder.Start(record.Line{RequestID: id, Method: r.Method, Path: r.URL.Path})
	time.Sleep(h.options.Delay)
	answer := Answer{
		Target:    h.options.Name,
		RequestID: id,
		Path:      r.URL.Path,
		Run:       h.countRun(id),
		BodyBytes: len(body),
	}
	h.options.Recorder.End(line, record.ResultDone)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// acquire waits for a free slot if the concurrency is limited.
func (h *Handler) acquire() {
	if h.slots != nil {
		h.waiting.Add(1)
		h.slots <- struct{}{}
		h.waiting.Add(-1)
	}
	h.running.Add(1)
}

func (h *Handler) release() {
	h.running.Add(-1)
	if h.slots != nil {
		<-h.slots
	}
}

func (h *Handler) countRun(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
	return h.runs[id]
}

func (h *Handler) getState(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(State{Leaving: h.leaving.Load()})
}

func (h *Handler) getLoad(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(Load{
		Running:  h.running.Load(),
		Waiting:  h.waiting.Load(),
		AtMillis: time.Now().UnixMilli(),
	})
}

func (h *Handler) setLeaving(w http.ResponseWriter, r *http.Request) {
	var s State
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.leaving.Store(s.Leaving)
	if s.Leaving {
		h.options.Recorder.Leaving()
	}
}
