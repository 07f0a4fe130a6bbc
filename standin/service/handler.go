// Package service stands in for a plain application server: idempotent
// lookups by GET, and bookings, charges and dispatches whose runs it counts
// by request id. It never deduplicates.
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

// maxBodyBytes bounds the body that the service reads.
const maxBodyBytes = 1 << 20

// Options configures a Handler.
type Options struct {
	Name string
	// Delay is the time that one run takes.
	Delay time.Duration
	// Concurrency bounds the runs at a time; zero means no bound.
	Concurrency int
	Recorder    *record.Recorder
}

// Answer is the body of every answer.
type Answer struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Run is how often this process ran the request id, this run included.
	Run       int `json:"run"`
	BodyBytes int `json:"body_bytes"`
}

// State is the target's own word on itself.
type State struct {
	Leaving bool `json:"leaving"`
}

// Load is the target's load report.
type Load struct {
	Running  int64 `json:"running"`
	Waiting  int64 `json:"waiting"`
	AtMillis int64 `json:"at_unix_ms"`
}

// Handler serves any path as a run of the service.
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
	h.router.PathPrefix("/").HandlerFunc(h.run)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// RequestID returns the id under which a run is counted.
func RequestID(header http.Header) string {
	if id := header.Get("Idempotency-Key"); id != "" {
		return id
	}
	return header.Get("X-Request-Id")
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request) {
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
