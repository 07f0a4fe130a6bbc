package objectapi

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// VM is one line of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// vmList shows each change after a lag.
type vmList struct {
	lag time.Duration

	mu      sync.Mutex
	shown   []VM
	pending []vmChange
}

type vmChange struct {
	visibleAt time.Time
	vms       []VM
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag, shown: []VM{}}
}

func (l *vmList) set(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{visibleAt: now.Add(l.lag), vms: vms})
}

func (l *vmList) visible(now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.shown = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.shown
}

// CallCount is the number and the payload of one kind of call.
type CallCount struct {
	Calls uint64 `json:"calls"`
	Bytes uint64 `json:"bytes"`
}

// counters counts calls by kind.
type counters struct {
	mu     sync.Mutex
	byKind map[string]CallCount
}

func newCounters() *counters {
	return &counters{byKind: make(map[string]CallCount)}
}

func (c *counters) count(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byKind[kind]
	n.Calls++
	n.Bytes += uint64(bytes)
	c.byKind[kind] = n
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.injector.set(f)
}

func (h *Handler) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.vms.set(vms, time.Now())
}

func (h *Handler) getStats(w http.ResponseWriter, _ *http.Request) {
	h.stats.mu.Lock()
	defer h.stats.mu.Unlock()
	json.NewEncoder(w).Encode(h.stats.byKind)
}
