// Package worker is a test double of the platform's workers: plain services and
// event streams with the platform's headers. It counts the requests that it runs and
// simulates failures.
package worker

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/store"
)

// These are the headers of the platform.
const (
	headerID          = "X-Primrosemoor-Attempt-Id"
	headerInstance    = "X-Primrosemoor-Expect-Instance"
	headerSeal        = "X-Primrosemoor-Server-Seal"
	headerNotExecuted = "X-Primrosemoor-Not-Executed"
	headerLoad        = "X-Primrosemoor-Server-Load"
	headerTeam        = "X-Primrosemoor-Tenant"
	headerLastEventID = "Last-Event-Id"
	headerPrompt      = "X-Primrosemoor-Prompt-Prefix"
	headerLimit       = "Server-Limit"
	headerLeaving     = "Server-Leaving"
	headerRetryAfter  = "Retry-After"
	headerBrittle     = "Server-Brittle"
)

// Faults are the failures that a worker simulates. The zero value is a healthy worker.
type Faults struct {
	// Overloaded makes the worker reply that a request was not executed. Errors makes
	// it run the request and reply with status 500.
	Overloaded, Errors bool
	// Reset makes the worker run a request and close its connection without a response.
	Reset bool
	// CutAfter is the id of the event after which the connection of a stream is closed;
	// 0 means never.
	CutAfter int
	// SilentAfter is the id of the event after which a stream is silent for Silence and
	// then goes on; 0 means never.
	SilentAfter int
	Silence     time.Duration
	// CrashOn is a part of a prompt on which the worker crashes as it begins to answer;
	// it is back after Downtime.
	CrashOn  string
	Downtime time.Duration
	// Limit is the number of requests a second that the worker says it takes from all
	// nodes together; 0 is none.
	Limit float64
	// Leaving makes the worker say in all its answers that it leaves.
	Leaving bool
	// Brittle is how many requests the worker may turn away in a second for want of a slot,
	// which it says in all its answers. With more it crashes, and is back after Downtime.
	// 0 lets any number of requests run.
	Brittle int
	// RetryAfter is the time, in seconds, that an overloaded worker states in
	// Retry-After; 0 is none.
	RetryAfter float64
	// Pace is how long work takes, in hundredths of the usual time, which the worker adds
	// to its load reports; with 0 it takes as long as usual and is not reported.
	Pace int
}

// slowed returns how long work takes that usually takes d.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.Pace == 0 {
		return d
	}
	return d * time.Duration(f.Pace) / 100
}

// Arrival is one request that reached the worker.
type Arrival struct {
	// ID is the request's id.
	ID string
	At time.Time
	// Refused means that the worker was overloaded and did not run it. Pause is the time
	// that it stated in Retry-After; 0 is none.
	Refused bool
	Pause   time.Duration
}

// Worker is one instance of a service.
type Worker struct {
	ID      string
	Service string
	// Version is the version of its software; empty for v1. If ShowVersion is set, each
	// event of a stream ends with it.
	Version     string
	ShowVersion bool
	// Events is the number of events of a stream; with 0, responses are plain text.
	Events int
	// ServiceTime is the time that a plain response, or each event of a stream, takes.
	ServiceTime time.Duration
	Slots       int
	// Engine makes streams behave as those of a model engine; nil runs any number of them.
	Engine *Engine
	// Advertise returns the address to register for the address that the worker
	// listens on. If it is nil, they are the same.
	Advertise func(listen string) (string, error)

	// registrations counts the calls of Register.
	registrations atomic.Int64

	address string
	// listen is the address on which the worker listens.
	listen string

	mu        sync.Mutex
	server    *http.Server
	stopped   bool
	faults    Faults
	running   int
	runCounts map[string]int
	arrivals  []Arrival
	// crashedAt lists the times of its crashes, and down is set during one that it brought
	// about itself.
	crashedAt []time.Time
	down      bool
	teamByID  map[string]string
}

// Start listens on loopback and registers the worker with the store.
func (w *Worker) Start(s *store.Store, zone string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.ID, err)
	}
	w.listen = l.Addr().String()
	w.address = w.listen
	if w.Advertise != nil {
		if w.address, err = w.Advertise(w.address); err != nil {
			l.Close()
			return fmt.Errorf("worker %s: %w", w.ID, err)
		}
	}
	w.runCounts, w.teamByID = make(map[string]int), make(map[string]string)
	w.serve(l)
	return w.Register(s, zone, "ready")
}

func (w *Worker) serve(l net.Listener) {
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.server, w.down = server, false
	w.mu.Unlock()
	go server.Serve(l)
}

// crash closes the listener and all connections, and listens again after a time.
func (w *Worker) crash(downtime time.Duration) {
	w.mu.Lock()
	server, listen := w.server, w.listen
	w.crashedAt = append(w.crashedAt, time.Now())
	w.mu.Unlock()
	server.Close()
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		l, err := net.Listen("tcp4", listen)
		switch {
		case err != nil:
		case stopped:
			l.Close()
		default:
			w.serve(l)
		}
	})
}

// Crashes returns the times at which the worker crashed.
func (w *Worker) Crashes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.crashedAt)
}

// bornAt is the start of all workers, in Unix milliseconds.
const bornAt = 1767052800000

// Register writes the worker's object, with a state, to the store.
func (w *Worker) Register(s *store.Store, zone, state string) error {
	return s.Put("servers", w.ID, map[string]any{
		"service": w.Service, "address": w.address, "zone": zone, "version": cmp.Or(w.Version, "v1"), "slots": w.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": w.registrations.Add(1), "born": bornAt,
	})
}

// Address returns the registered address.
func (w *Worker) Address() string { return w.address }

// Stop closes the worker's listener and all of its connections at once.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	server := w.server
	w.mu.Unlock()
	server.Close()
}

// SetFaults replaces the faults, for requests that start from now on.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// RunCounts returns how often each request was run, by request id.
func (w *Worker) RunCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.runCounts))
	for id, n := range w.runCounts {
		counts[id] = n
	}
	return counts
}

// Team returns the team of the request's last run.
func (w *Worker) Team(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamByID[id]
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	rw.Header().Set(headerID, id)
	if wantID := r.Header.Get(headerInstance); wantID != "" && wantID != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Engine != nil {
		if !w.Engine.admit(r) {
			rw.Header().Set(headerNotExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer w.Engine.release()
	}
	f, load := w.startRequest(id, r.Header.Get(headerTeam))
	if f.Brittle > 0 {
		rw.Header().Set(headerBrittle, strconv.Itoa(f.Brittle))
	}
	if f.Leaving {
		rw.Header().Set(headerLeaving, "1")
	}
	if load == "" {
		rw.Header().Set(headerNotExecuted, "1")
		if f.RetryAfter > 0 {
			rw.Header().Set(headerRetryAfter, strconv.FormatFloat(f.RetryAfter, 'f', -1, 64))
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.endRequest()
	rw.Header().Set(headerSeal, "seal-of-"+w.ID)
	rw.Header().Set(headerLoad, load)
	if f.Limit > 0 {
		rw.Header().Set(headerLimit, strconv.FormatFloat(f.Limit, 'f', -1, 64))
	}
	switch {
	case f.CrashOn != "" && hasPart(r, f.CrashOn):
		rw.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw).Flush()
		w.crash(f.Downtime)
		panic(http.ErrAbortHandler)
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Errors:
		rw.WriteHeader(http.StatusInternalServerError)
	case w.Events > 0:
		w.serveStream(rw, r, f)
	default:
		time.Sleep(f.slowed(w.ServiceTime))
		fmt.Fprintf(rw, "answer to %s", id)
	}
}

// Arrivals returns the requests that reached the worker, in order.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// RunTimes returns the times at which the requests that the worker ran arrived.
func (w *Worker) RunTimes() []time.Time {
	var times []time.Time
	for _, a := range w.Arrivals() {
		if !a.Refused {
			times = append(times, a.At)
		}
	}
	return times
}

// hasPart reports whether a part belongs to the prompt of a request.
func hasPart(r *http.Request, part string) bool {
	for entry := range strings.SplitSeq(r.Header.Get(headerPrompt), ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// startRequest counts a run and returns the value of the load header, or an empty
// string if the worker is overloaded.
func (w *Worker) startRequest(id, team string) (Faults, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	full := w.faults.Brittle > 0 && w.running >= w.Slots
	arrival := Arrival{ID: id, At: time.Now(), Refused: w.faults.Overloaded || full}
	if w.faults.Overloaded {
		arrival.Pause = time.Duration(w.faults.RetryAfter * float64(time.Second))
	}
	w.arrivals = append(w.arrivals, arrival)
	if full && w.refusedWithin(time.Second) > w.faults.Brittle && !w.down {
		w.down = true
		go w.crash(w.faults.Downtime)
	}
	if arrival.Refused {
		return w.faults, ""
	}
	w.running++
	w.runCounts[id]++
	w.teamByID[id] = team
	load := fmt.Sprintf("%d,0,%d", w.running, w.Slots)
	if w.faults.Pace > 0 {
		load += fmt.Sprintf(",%d", w.faults.Pace)
	}
	return w.faults, load
}

// refusedWithin returns how many requests the worker has turned away in the last time. The
// caller must hold w.mu.
func (w *Worker) refusedWithin(d time.Duration) int {
	count := 0
	for i := len(w.arrivals) - 1; i >= 0 && time.Since(w.arrivals[i].At) < d; i-- {
		if w.arrivals[i].Refused {
			count++
		}
	}
	return count
}

func (w *Worker) endRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *Worker) serveStream(rw http.ResponseWriter, r *http.Request, f Faults) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLastEventID)); err == nil {
		first = last + 1
	}
	events := w.Events
	if w.Engine != nil {
		events = w.Engine.read(r)
	}
	for id := first; id <= events; id++ {
		if f.CutAfter > 0 && id > f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		pause := f.slowed(w.ServiceTime)
		if f.SilentAfter > 0 && id == f.SilentAfter+1 {
			pause += f.Silence
		}
		if w.awaitEvent(r, pause) != nil {
			return
		}
		shown := ""
		if w.ShowVersion {
			shown = " " + cmp.Or(w.Version, "v1")
		}
		fmt.Fprintf(rw, "id: %d\ndata: event %d%s\n\n", id, id, shown)
		_ = http.NewResponseController(rw).Flush()
	}
}

// awaitEvent waits until the next event of a stream is made, or its caller has left.
func (w *Worker) awaitEvent(r *http.Request, pause time.Duration) error {
	if w.Engine != nil {
		return w.Engine.awaitStep(r.Context(), pause)
	}
	select {
	case <-time.After(pause):
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}
