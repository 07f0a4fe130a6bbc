package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// maxBodyBytes is the maximum size of a chat request body.
const maxBodyBytes = 8 << 20

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/state", e.serveState).Methods(http.MethodGet)
	router.HandleFunc("/admin/speed", e.serveSpeed).Methods(http.MethodPost)
	router.HandleFunc("/admin/leaving", e.serveLeaving).Methods(http.MethodPost)
	return router
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request ChatRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		rejectNotStarted(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	served := e.serving.serves(request.Model)
	e.mu.Unlock()
	if !served {
		rejectNotStarted(w, http.StatusNotFound, "model is not loaded")
		return
	}
	id := r.Header.Get("X-Request-Id")
	s := e.start(id, r.URL.Path, request.Model, request.Prompt(), request.maxOutputTokens())
	if s == nil {
		rejectNotStarted(w, http.StatusServiceUnavailable, "engine is shutting down")
		return
	}
	defer s.detach()
	w.Header().Set("X-Stream-Id", s.id)
	if request.Stream {
		writeEvents(w, r, s, 0)
		return
	}
	writeCompletion(w, r, s)
}

// rejectNotStarted responds with an error and marks the request as not started,
// so that it can be sent to another engine.
func rejectNotStarted(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Started", "true")
	http.Error(w, message, status)
}

func writeCompletion(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		p := s.progress()
		if p.finishReason != "" {
			writeJSON(w, s.fullCompletion(p))
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeEvents sends the events with numbers above sent until the stream ends or
// the reader disconnects.
func writeEvents(w http.ResponseWriter, r *http.Request, s *stream, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	flusher.Flush()
	for {
		p := s.progress()
		for sent < p.outputTokens {
			sent++
			writeEvent(w, sent, s.chunk(sent))
		}
		if p.finishReason != "" {
			writeEvent(w, p.outputTokens+1, s.lastChunk(p))
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, index int, c Completion) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	s := e.findStream(mux.Vars(r)["id"])
	if s == nil {
		http.Error(w, "stream is not known", http.StatusNotFound)
		return
	}
	s.attach()
	defer s.detach()
	w.Header().Set("X-Stream-Id", s.id)
	writeEvents(w, r, s, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(mux.Vars(r)["id"])
	if s == nil {
		http.Error(w, "stream is not known", http.StatusNotFound)
		return
	}
	e.finish(s, finishCancelled)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.currentLoad())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsSince(since, time.Now().Add(-e.options.CacheEventLag))
	e.mu.Unlock()
	writeJSON(w, events)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
