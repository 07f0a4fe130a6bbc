package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// record is what was sent, answered and run; it is written to record.txt.
type record struct {
	file  *os.File
	start time.Time

	mu       sync.Mutex
	runs     map[string][]string
	crashes  []time.Time
	arrivals map[string][]arrival
}

// arrival is a request's arrival at a worker.
type arrival struct {
	worker string
	at     time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), runs: make(map[string][]string), arrivals: make(map[string][]arrival)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// arrival notes that a request has reached a worker.
func (r *record) arrival(id, worker string, at time.Time) {
	r.mu.Lock()
	r.arrivals[id] = append(r.arrivals[id], arrival{worker, at})
	r.mu.Unlock()
	r.line("request %s reaches %s", id, worker)
}

// run notes that a worker has begun to work on a request.
func (r *record) run(id, worker string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], worker)
	r.mu.Unlock()
	r.line("request %s runs at %s", id, worker)
}

func (r *record) arrivalsOf(id string) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals[id])
}

func (r *record) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id]) > 0
}

// crash notes that a worker has crashed.
func (r *record) crash(worker string) {
	r.mu.Lock()
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.line("worker %s crashed", worker)
}

func (r *record) crashTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// reached reports whether a request has reached a worker.
func (r *record) reached(id, worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.arrivals[id], func(a arrival) bool { return a.worker == worker })
}
