package objects_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// serveMemory returns a handler that serves the object API over HTTP from a
// Memory.
func serveMemory(m *objects.Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		o, err := m.Get(r.Context(), r.PathValue("key"))
		respond(w, o.Version, o.Value, err)
	})
	mux.HandleFunc("PUT /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(body)
		v, err := m.Put(r.Context(), r.PathValue("key"), body, precondition(r))
		respond(w, v, nil, err)
	})
	mux.HandleFunc("DELETE /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, 0, nil, m.Delete(r.Context(), r.PathValue("key"), precondition(r)))
	})
	mux.HandleFunc("GET /v1/objects", func(w http.ResponseWriter, r *http.Request) {
		list, err := m.List(r.Context(), r.FormValue("prefix"))
		raw, _ := json.Marshal(objects.Changes{Objects: list})
		respond(w, 0, raw, err)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		cursor, _ := strconv.ParseUint(r.FormValue("cursor"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		changes, err := m.Watch(r.Context(), r.FormValue("prefix"), cursor, time.Duration(wait)*time.Millisecond)
		raw, _ := json.Marshal(changes)
		respond(w, 0, raw, err)
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 0, []byte(`[{"name":"vm1","leaving":true}]`), nil)
	})
	return mux
}

func precondition(r *http.Request) objects.Version {
	v, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return objects.Version(v)
}

func respond(w http.ResponseWriter, v objects.Version, body []byte, err error) {
	status := map[schema.ErrorKind]int{
		schema.ErrorKind_ERROR_KIND_UNSPECIFIED:       http.StatusOK,
		schema.ErrorKind_ERROR_KIND_NOT_FOUND:         http.StatusNotFound,
		schema.ErrorKind_ERROR_KIND_CONFLICT:          http.StatusPreconditionFailed,
		schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE: http.StatusServiceUnavailable,
		schema.ErrorKind_ERROR_KIND_THROTTLED:         http.StatusTooManyRequests,
	}[fault.KindOf(err)]
	if status == 0 {
		panic(http.ErrAbortHandler) // Closes the connection after the write has taken effect.
	}
	w.Header().Set("ETag", `"`+strconv.FormatUint(uint64(v), 10)+`"`)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func newHTTP(t *testing.T, handler http.Handler) *objects.HTTP {
	t.Helper()
	server := httptest.NewServer(handler)
	h, err := objects.NewHTTP(&schema.PlatformSettings{Url: server.URL}, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.Close()
		server.Close()
	})
	return h
}

func TestHTTPImplementsTheObjectAPI(t *testing.T) {
	is := is.New(t)
	h := newHTTP(t, serveMemory(objects.NewMemory()))
	v, err := h.Put(t.Context(), "a/b c", []byte("1"), 0)
	is.NoErr(err)
	_, err = h.Put(t.Context(), "a/b c", []byte("2"), 0)
	is.True(objects.IsConflict(err))
	o, err := h.Get(t.Context(), "a/b c")
	is.NoErr(err)
	is.Equal(o, objects.Object{Key: "a/b c", Version: v, Value: []byte("1")})
	listed, err := h.List(t.Context(), "a/")
	is.NoErr(err)
	is.Equal(listed, []objects.Object{o})
	changes, err := h.Watch(t.Context(), "a/", 0, time.Second)
	is.NoErr(err)
	is.Equal(changes.Objects, []objects.Object{o})
	vms, err := h.VMs(t.Context())
	is.NoErr(err)
	is.Equal(vms, []objects.VMStatus{{Name: "vm1", Leaving: true}})
	is.NoErr(h.Delete(t.Context(), "a/b c", v))
	_, err = h.Get(t.Context(), "a/b c")
	is.True(objects.IsNotFound(err))
	is.Equal(h.Usage().Calls, uint64(8))
}

func TestBrokenConnectionAfterAWriteIsUnknownEffect(t *testing.T) {
	is := is.New(t)
	m := objects.NewMemory()
	lose := true
	m.Inject(func(operation objects.Operation, _ string) objects.Fault {
		f := objects.Fault{LoseResponse: lose && operation == objects.OperationPut}
		lose = false
		return f
	})
	h := newHTTP(t, serveMemory(m))
	_, err := h.Put(t.Context(), "k", []byte("x"), 0)
	is.True(objects.IsUnknownEffect(err))
	o, err := h.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(o.Value), "x")
}

func TestUnavailableAndThrottledWritesHadNoEffect(t *testing.T) {
	is := is.New(t)
	m := objects.NewMemory()
	f := objects.Fault{Unavailable: true}
	m.Inject(func(objects.Operation, string) objects.Fault { return f })
	h := newHTTP(t, serveMemory(m))
	_, err := h.Put(t.Context(), "k", nil, 0)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
	f = objects.Fault{Throttled: true}
	_, err = h.Put(t.Context(), "k", nil, 0)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_THROTTLED)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	h, err := objects.NewHTTP(&schema.PlatformSettings{Url: server.URL}, "")
	is.NoErr(err)
	server.Close()
	_, err = h.Put(t.Context(), "k", nil, 0)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
}

// The head of an answer of the object API was bounded at 10 MiB only.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-A", strings.Repeat("a", 1<<20))
		_, _ = w.Write([]byte(`[]`))
	}))
	_, err := h.VMs(t.Context())
	is.True(err != nil)
}

// Of an error, the status and the headers only are used.
func TestErrorWithoutEndIsNotRead(t *testing.T) {
	is := is.New(t)
	sent := make(chan int, 1)
	h := newHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		sum, block := 0, make([]byte, 32<<10)
		for sum < 80<<20 {
			n, err := w.Write(block)
			if sum += n; err != nil {
				break
			}
		}
		sent <- sum
	}))
	_, err := h.VMs(t.Context())
	is.True(err != nil)
	is.True(<-sent < 12<<20) // What the sockets hold.
}
