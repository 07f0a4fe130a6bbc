package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound metadata store of the platform: objects by kind and name with
// revisions, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]storeObject
	history  []storeChange
	changed  chan struct{}
}

type storeMetadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

type storeChange struct {
	kind     string
	revision uint64
	event    storeEvent
}

const (
	objectsPath = "/api/objects/"
	pageSize    = 500
	maxWatch    = 30 * time.Second
)

func newStore() *store {
	return &store{revision: 1, kinds: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// serve listens on loopback and returns the address.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, s)
	return l.Addr().String(), nil
}

// put creates or replaces an object, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) storeObject {
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]storeObject)
		s.kinds[kind] = objects
	}
	old, existed := objects[name]
	if existed && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	o := storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: raw, Status: json.RawMessage("null")}
	if existed {
		o.Metadata.Created = old.Metadata.Created
	}
	objects[name] = o
	s.record(kind, storeEvent{Object: o})
	return o
}

func (s *store) remove(kind, name string) (storeObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if ok {
		s.revision++
		delete(s.kinds[kind], name)
		s.record(kind, storeEvent{Object: o, Deleted: true})
	}
	return o, ok
}

func (s *store) record(kind string, e storeEvent) {
	s.history = append(s.history, storeChange{kind, s.revision, e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method == http.MethodGet && r.FormValue("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.FormValue("afterRevision"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		o, ok := s.remove(kind, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storeObject
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case create && exists, exists && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, body.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	page := []storeObject{}
	for _, name := range names {
		page = append(page, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"entries": page, "hasMore": more, "asOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.FormValue("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWatch))
	for {
		s.mu.Lock()
		events, revision, changed := []storeEvent{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}
