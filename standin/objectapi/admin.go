package objectapi

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// vmList is the list of VMs. Each change becomes visible after a lag.
type vmList struct {
	lag time.Duration

	mu      sync.Mutex
	current []VM
	pending []pendingVMs
}

// pendingVMs is a list of VMs that is not visible yet.
type pendingVMs struct {
	visibleAt time.Time
	vms       []VM
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag, current: []VM{}}
}

func (l *vmList) set(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingVMs{visibleAt: now.Add(l.lag), vms: vms})
}

func (l *vmList) visible(now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.current = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.current
}

// CallCount is the number of calls of one kind and their total payload.
type CallCount struct {
	Calls uint64 `json:"calls"`
	Bytes uint64 `json:"bytes"`
}

// callCounters counts calls by kind.
type callCounters struct {
	mu     sync.Mutex
	byKind map[string]CallCount
}

func newCallCounters() *callCounters {
	return &callCounters{byKind: make(map[string]CallCount)}
}

func (c *callCounters) count(kind string, bytes int) {
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
	h.faults.set(f)
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
