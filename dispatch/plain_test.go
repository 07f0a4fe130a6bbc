package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func plainRequest(id, method string) *dispatch.Request {
	return &dispatch.Request{ID: id, Team: "drumlin", Service: "paddock-app", Kind: schema.ServiceKind_SERVICE_KIND_PLAIN,
		Method: method, Path: "/bookings?x=1", Header: http.Header{"X-A": {"1"}, "Connection": {"X-B"}, "X-B": {"2"}},
		Body: []byte("body"), Arrived: time.Now(), Deadline: 10 * time.Second}
}

func startPlain(t *testing.T, h http.HandlerFunc) *fakePermits {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &fakePermits{address: server.Listener.Addr().String(), validFor: permitValidity}
}

func TestPlainRequestAndResponseAreForwarded(t *testing.T) {
	is := is.New(t)
	permits := startPlain(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-C", "3")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s %s%s %s", r.Method, r.RequestURI, body, r.Header.Get("X-A"), r.Header.Get("X-B"), r.Header.Get("X-Request-Id"))
	})
	w := httptest.NewRecorder()
	result, err := newDispatcher(permits, nil).Serve(t.Context(), w, plainRequest("p", "POST"))
	is.NoErr(err)
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "POST /bookings?x=1 body 1 p")
	is.Equal(w.Header().Get("X-C"), "3")
	is.True(result.Delivered)
}

func TestTruncatedPlainResponseGivesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	permits := startPlain(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	result, err := newDispatcher(permits, nil).Serve(t.Context(), httptest.NewRecorder(), plainRequest("p", "POST"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.Equal(result.Status, 0)
	is.Equal(permits.results(), []schema.PermitResult{schema.PermitResult_PERMIT_RESULT_TARGET_DIED})
}

func TestPlainRequestIsStoredAndReplayedAfterCallerHangup(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var runs atomic.Int32
	permits := startPlain(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		cancel()
		_, _ = io.WriteString(w, "booked")
	})
	d := newDispatcher(permits, newFakeClaims())
	r := plainRequest("k", "POST")
	r.HasCallerID = true
	_, err := d.Serve(ctx, httptest.NewRecorder(), r)
	is.NoErr(err)
	is.NoErr(d.Wait(t.Context()))
	w := httptest.NewRecorder()
	_, err = d.Serve(t.Context(), w, r)
	is.NoErr(err)
	is.Equal(w.Body.String(), "booked")
	is.Equal(runs.Load(), int32(1))
}
