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
	// pageSize is small, so that tests with few objects get several pages.
	pageSize     = 3
	maxWatchWait = 30 * time.Second
	pathPrefix   = "/api/objects/"
	headerEra    = "Store-Era"
	// statusSuffix follows the name of an object whose status is written.
	statusSuffix = "/status"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	s.mu.Lock()
	s.callCounts[r.Method+" "+kind]++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	s.mu.Lock()
	s.setEra(w)
	s.mu.Unlock()
	switch {
	case f.Unresponsive:
		// The server detects that the caller has disconnected only after the body has
		// been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.Method == http.MethodGet && r.FormValue("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, r.FormValue("afterRevision"))
	case r.Method == http.MethodGet:
		s.serveObject(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name, f)
	}
}

// setEra sets the header that names the store's era. The lock must be held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}

func (s *Store) writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := s.encode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(text)
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	page, hasMore := s.list(kind, after, pageSize)
	revision := s.revision
	s.setEra(w)
	s.mu.Unlock()
	if page == nil {
		page = []Object{}
	}
	s.writeJSON(w, http.StatusOK, map[string]any{"entries": page, "hasMore": hasMore, "asOf": revision})
}

func (s *Store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.setEra(w)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeJSON(w, http.StatusOK, o)
}

// serveWatch replies as soon as there is a change, or when the wait times out. A waiting
// call is aborted when the store becomes unavailable or unresponsive or is restored, and
// gets status 410 when the changes that it asks for have been compacted or the store does
// not have their revision.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.FormValue("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	s.mu.Lock()
	s.setEra(w)
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, revision, restored := s.eventsSince(kind, after), s.revision, s.era != era
		gone := after < s.compacted || after > s.revision
		notify, f := s.notify, s.faults
		s.mu.Unlock()
		switch {
		case f.Down || f.Unresponsive || restored:
			panic(http.ErrAbortHandler)
		case gone:
			s.writeJSON(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-notify:
		case <-timeout:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var body Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if f.WriteDelay > 0 {
		time.AfterFunc(f.WriteDelay, func() { s.apply(r.Method, kind, name, body) })
	}
	status, o := http.StatusOK, Object{}
	if f.WriteDelay == 0 {
		status, o = s.apply(r.Method, kind, name, body)
		s.mu.Lock()
		s.setEra(w)
		s.mu.Unlock()
	}
	if f.DropWriteReplies || f.WriteDelay > 0 {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, status, o)
}

// apply applies one write and returns its status and the resulting object. On a
// conflict that is the current object, on a deletion the deleted one.
func (s *Store) apply(method, kind, name string, body Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = body.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, statusSuffix)
	current, exists := s.kinds[kind][name]
	conflict := body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision
	switch {
	case method == http.MethodPost && exists, exists && conflict:
		return http.StatusConflict, current
	case method == http.MethodPost:
		return http.StatusCreated, s.put(kind, name, body.Spec)
	case !exists:
		return http.StatusNotFound, Object{}
	case isStatus:
		return http.StatusOK, s.putStatus(kind, current, body.Status)
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, current
	default:
		return http.StatusOK, s.put(kind, name, body.Spec)
	}
}
