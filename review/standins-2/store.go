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

const objectsPrefix = "/api/objects/"

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

// store stands in for the platform's metadata store. Each machine has an address of its own
// at the same store, so that the store can turn single machines away.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// away holds the machines that get 503 for all calls, waiting watches included.
	away map[string]bool
}

func newStore() *store {
	return &store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{}), away: make(map[string]bool)}
}

// serveFor listens for one machine and returns its address of the store.
func (s *store) serveFor(machine string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })
	go (&http.Server{Handler: handler}).Serve(l)
	return l.Addr().String(), nil
}

// turnAway makes the store refuse all calls of a machine, or serve them again.
func (s *store) turnAway(machine string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[machine] = away
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	old, existed := s.kinds[kind][name]
	if existed && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if existed {
		o.Metadata.Created, o.Status = old.Metadata.Created, old.Status
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind, s.revision, event{Object: o}})
	s.wake()
	return o
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPrefix), "/")
	s.mu.Lock()
	away := s.away[machine]
	s.mu.Unlock()
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.FormValue("watch") != "":
		s.watch(machine, w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries := []object{}
	for _, o := range s.kinds[kind] {
		entries = append(entries, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "asOf": asOf})
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.FormValue("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []event
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c.event)
			}
		}
		asOf, changed, away := s.revision, s.changed, s.away[machine]
		s.mu.Unlock()
		switch {
		case away:
			// A watch that is waiting may be cut off.
			panic(http.ErrAbortHandler)
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	current, exists := s.kinds[kind][name]
	status, o := http.StatusOK, current
	switch {
	case r.Method == http.MethodPost && exists, exists && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		status = http.StatusConflict
	case r.Method == http.MethodPost:
		status, o = http.StatusCreated, s.write(kind, name, body.Spec)
	case !exists:
		status = http.StatusNotFound
	case isStatus:
		s.revision++
		o.Metadata.Revision, o.Status = s.revision, body.Status
		s.kinds[kind][name] = o
		s.history = append(s.history, change{kind, s.revision, event{Object: o}})
		s.wake()
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		s.history = append(s.history, change{kind, s.revision, event{current, true}})
		s.wake()
	default:
		o = s.write(kind, name, body.Spec)
	}
	s.mu.Unlock()
	reply(w, status, o)
}
