// Package objectapi simulates the platform's object API: versioned objects with
// conditional updates and watches, and a list of VMs whose changes become
// visible after a lag. On request it injects outages, latency, lost responses
// and throttling.
package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// maxWatchWait is the maximum duration of a long poll.
const maxWatchWait = 60 * time.Second

// Options configures a Handler.
type Options struct {
	Faults Faults
	// VMLag is the time until a change of the VM list becomes visible.
	VMLag time.Duration
}

// Handler serves the object API and its admin API.
type Handler struct {
	store  *store
	faults *faultInjector
	vms    *vmList
	stats  *callCounters
	router *mux.Router
}

// NewHandler returns a Handler without objects.
func NewHandler(options Options) *Handler {
	h := &Handler{
		store:  newStore(),
		faults: newFaultInjector(options.Faults),
		vms:    newVMList(options.VMLag),
		stats:  newCallCounters(),
		router: mux.NewRouter(),
	}
	api := h.router.PathPrefix("/v1").Subrouter()
	api.HandleFunc("/objects/{key:.*}", h.withFaults("get", h.get)).Methods(http.MethodGet)
	api.HandleFunc("/objects/{key:.*}", h.withFaults("put", h.put)).Methods(http.MethodPut)
	api.HandleFunc("/objects/{key:.*}", h.withFaults("delete", h.remove)).Methods(http.MethodDelete)
	api.HandleFunc("/objects", h.withFaults("list", h.list)).Methods(http.MethodGet)
	api.HandleFunc("/watch", h.withFaults("watch", h.watch)).Methods(http.MethodGet)
	api.HandleFunc("/vms", h.withFaults("vms", h.listVMs)).Methods(http.MethodGet)
	admin := h.router.PathPrefix("/admin").Subrouter()
	admin.HandleFunc("/faults", h.setFaults).Methods(http.MethodPost)
	admin.HandleFunc("/vms", h.setVMs).Methods(http.MethodPost)
	admin.HandleFunc("/stats", h.getStats).Methods(http.MethodGet)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// SetFaults replaces the current faults.
func (h *Handler) SetFaults(f Faults) {
	h.faults.set(f)
}

// response is a buffered response. Buffering allows it to be dropped as a whole
// after the call took effect.
type response struct {
	status int
	etag   uint64
	body   []byte
}

// withFaults wraps the handler of one kind of call: it counts the calls and
// applies the current faults.
func (h *Handler) withFaults(kind string, serve func(*http.Request) response) http.HandlerFunc {
	write := kind == "put" || kind == "delete"
	return func(w http.ResponseWriter, r *http.Request) {
		h.faults.delay(r.Context())
		if f, _ := h.faults.current(); f.Down {
			h.stats.count("refused", 0)
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !h.faults.allow(write) {
			h.stats.count("throttled", 0)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		a := serve(r)
		h.stats.count(kind, len(a.body)+int(max(0, r.ContentLength)))
		if h.faults.losesResponse() {
			h.stats.count("lost", 0)
			panic(http.ErrAbortHandler)
		}
		if a.etag > 0 {
			w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(a.etag, 10)))
		}
		w.WriteHeader(a.status)
		w.Write(a.body)
	}
}

func (h *Handler) get(r *http.Request) response {
	o, err := h.store.get(mux.Vars(r)["key"])
	if err != nil {
		return errorResponse(err)
	}
	return response{status: http.StatusOK, etag: o.Version, body: o.Value}
}

func (h *Handler) put(r *http.Request) response {
	expected, err := expectedVersion(r)
	if err != nil {
		return response{status: http.StatusPreconditionRequired, body: []byte(err.Error())}
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		return response{status: http.StatusBadRequest, body: []byte(err.Error())}
	}
	if len(value) > MaxValueBytes {
		return response{status: http.StatusRequestEntityTooLarge}
	}
	version, err := h.store.put(mux.Vars(r)["key"], value, expected)
	if err != nil {
		return errorResponse(err)
	}
	return response{status: http.StatusOK, etag: version}
}

func (h *Handler) remove(r *http.Request) response {
	expected, err := expectedVersion(r)
	if err != nil {
		return response{status: http.StatusPreconditionRequired, body: []byte(err.Error())}
	}
	if err := h.store.remove(mux.Vars(r)["key"], expected); err != nil {
		return errorResponse(err)
	}
	return response{status: http.StatusOK}
}

func (h *Handler) list(r *http.Request) response {
	return jsonResponse(h.store.list(r.URL.Query().Get("prefix")))
}

func (h *Handler) watch(r *http.Request) response {
	query := r.URL.Query()
	cursor, err := strconv.ParseUint(query.Get("cursor"), 10, 64)
	if err != nil {
		return response{status: http.StatusBadRequest, body: []byte("cursor is not a number")}
	}
	millis, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		return response{status: http.StatusBadRequest, body: []byte("wait_ms is not a number")}
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	// A change of the faults ends the watch, so that it fails during an outage.
	_, faultsChanged := h.faults.current()
	go func() {
		select {
		case <-faultsChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	l := h.store.watch(ctx, query.Get("prefix"), cursor)
	if f, _ := h.faults.current(); f.Down {
		return response{status: http.StatusServiceUnavailable}
	}
	return jsonResponse(l)
}

func (h *Handler) listVMs(*http.Request) response {
	return jsonResponse(h.vms.visible(time.Now()))
}

// expectedVersion returns the version that an update is conditional on; zero
// means that the object must not exist.
func expectedVersion(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("update needs If-Match with a version, or If-None-Match: *")
	}
	return version, nil
}

func errorResponse(err error) response {
	if errors.Is(err, ErrNotFound) {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusPreconditionFailed}
}

func jsonResponse(v any) response {
	body, err := json.Marshal(v)
	if err != nil {
		return response{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	return response{status: http.StatusOK, body: body}
}
