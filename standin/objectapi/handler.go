// Package objectapi stands in for the platform's object API: versioned objects
// with conditional updates and watches, and a lagging list of VMs. It brings
// about outages, slow answers, lost answers and throttling on request.
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

// maxWatchWait bounds a long poll.
const maxWatchWait = 60 * time.Second

// Options configures a Handler.
type Options struct {
	Faults Faults
	// VMLag is the time after which a change of the VM list is visible.
	VMLag time.Duration
}

// Handler serves the object API and its administration.
type Handler struct {
	store    *store
	injector *injector
	vms      *vmList
	stats    *counters
	router   *mux.Router
}

// NewHandler returns a Handler without objects.
func NewHandler(options Options) *Handler {
	h := &Handler{
		store:    newStore(),
		injector: newInjector(options.Faults),
		vms:      newVMList(options.VMLag),
		stats:    newCounters(),
		router:   mux.NewRouter(),
	}
	api := h.router.PathPrefix("/v1").Subrouter()
	api.HandleFunc("/objects/{key:.*}", h.call("get", h.get)).Methods(http.MethodGet)
	api.HandleFunc("/objects/{key:.*}", h.call("put", h.put)).Methods(http.MethodPut)
	api.HandleFunc("/objects/{key:.*}", h.call("delete", h.remove)).Methods(http.MethodDelete)
	api.HandleFunc("/objects", h.call("list", h.list)).Methods(http.MethodGet)
	api.HandleFunc("/watch", h.call("watch", h.watch)).Methods(http.MethodGet)
	api.HandleFunc("/vms", h.call("vms", h.listVMs)).Methods(http.MethodGet)
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

// SetFaults replaces the faults in force.
func (h *Handler) SetFaults(f Faults) {
	h.injector.set(f)
}

// answer is a buffered response, so that it can be lost as a whole.
type answer struct {
	status int
	etag   uint64
	body   []byte
}

// call wraps one kind of call with counting and the faults in force.
func (h *Handler) call(kind string, serve func(*http.Request) answer) http.HandlerFunc {
	write := kind == "put" || kind == "delete"
	return func(w http.ResponseWriter, r *http.Request) {
		h.injector.delay(r.Context())
		if f, _ := h.injector.current(); f.Down {
			h.stats.count("refused", 0)
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !h.injector.allow(write) {
			h.stats.count("throttled", 0)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		a := serve(r)
		h.stats.count(kind, len(a.body)+int(max(0, r.ContentLength)))
		if h.injector.losesAnswer() {
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

func (h *Handler) get(r *http.Request) answer {
	o, err := h.store.get(mux.Vars(r)["key"])
	if err != nil {
		return failure(err)
	}
	return answer{status: http.StatusOK, etag: o.Version, body: o.Value}
}

func (h *Handler) put(r *http.Request) answer {
	expect, err := expectedVersion(r)
	if err != nil {
		return answer{status: http.StatusPreconditionRequired, body: []byte(err.Error())}
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		return answer{status: http.StatusBadRequest, body: []byte(err.Error())}
	}
	if len(value) > MaxValueBytes {
		return answer{status: http.StatusRequestEntityTooLarge}
	}
	version, err := h.store.put(mux.Vars(r)["key"], value, expect)
	if err != nil {
		return failure(err)
	}
	return answer{status: http.StatusOK, etag: version}
}

func (h *Handler) remove(r *http.Request) answer {
	expect, err := expectedVersion(r)
	if err != nil {
		return answer{status: http.StatusPreconditionRequired, body: []byte(err.Error())}
	}
	if err := h.store.remove(mux.Vars(r)["key"], expect); err != nil {
		return failure(err)
	}
	return answer{status: http.StatusOK}
}

func (h *Handler) list(r *http.Request) answer {
	return asJSON(h.store.list(r.URL.Query().Get("prefix")))
}

func (h *Handler) watch(r *http.Request) answer {
	query := r.URL.Query()
	cursor, err := strconv.ParseUint(query.Get("cursor"), 10, 64)
	if err != nil {
		return answer{status: http.StatusBadRequest, body: []byte("cursor is not a number")}
	}
	millis, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		return answer{status: http.StatusBadRequest, body: []byte("wait_ms is not a number")}
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	// An outage ends the calls that wait.
	_, faultsChanged := h.injector.current()
	go func() {
		select {
		case <-faultsChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	l := h.store.watch(ctx, query.Get("prefix"), cursor)
	if f, _ := h.injector.current(); f.Down {
		return answer{status: http.StatusServiceUnavailable}
	}
	return asJSON(l)
}

func (h *Handler) listVMs(*http.Request) answer {
	return asJSON(h.vms.visible(time.Now()))
}

// expectedVersion reads the condition of an update; zero stands for an object
// that must not exist.
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

func failure(err error) answer {
	if errors.Is(err, ErrNotFound) {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusPreconditionFailed}
}

func asJSON(v any) answer {
	body, err := json.Marshal(v)
	if err != nil {
		return answer{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	return answer{status: http.StatusOK, body: body}
}
