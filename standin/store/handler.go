package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pageSize is small, so that tests with few objects see several pages.
	pageSize = 3
	maxWait  = 30 * time.Second
	prefix   = "/api/objects/"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case f.Silent:
		// Only once the body has been read does the server notice that the caller
		// has left.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.Method == http.MethodGet && r.FormValue("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, r.FormValue("afterRevision"))
	case r.Method == http.MethodGet:
		s.serveOne(w, kind, name)
	default:
		s.write(w, r, kind, name, f)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	page, more := s.list(kind, after, pageSize)
	revision := s.revision
	s.mu.Unlock()
	if page == nil {
		page = []Object{}
	}
	reply(w, http.StatusOK, map[string]any{"entries": page, "hasMore": more, "asOf": revision})
}

func (s *Store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

// watch answers as soon as there is a change, or when the wait is over. A wait
// is cut off when the faults change or the history goes.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.FormValue("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	over := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		events, revision, gone := s.since(kind, after), s.revision, after < s.compacted
		changed, f := s.changed, s.faults
		s.mu.Unlock()
		switch {
		case f.Down || f.Silent:
			panic(http.ErrAbortHandler)
		case gone:
			reply(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, map[string]any{"events": []Event{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var body Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if f.LateWrites > 0 {
		time.AfterFunc(f.LateWrites, func() { s.apply(r.Method, kind, name, body) })
	}
	status, o := http.StatusOK, Object{}
	if f.LateWrites == 0 {
		status, o = s.apply(r.Method, kind, name, body)
	}
	if f.LoseWrites || f.LateWrites > 0 {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, o)
}

// apply does one write and returns its status and the object as it is then.
func (s *Store) apply(method, kind, name string, body Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = body.Metadata.Name
	}
	current, exists := s.kinds[kind][name]
	conflict := body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision
	switch {
	case method == http.MethodPost && exists, exists && conflict:
		return http.StatusConflict, current
	case method == http.MethodPost:
		return http.StatusCreated, s.put(kind, name, body.Spec)
	case !exists:
		return http.StatusNotFound, Object{}
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, current
	default:
		return http.StatusOK, s.put(kind, name, body.Spec)
	}
}
