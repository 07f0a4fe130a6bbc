package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const permitValidity = 10 * time.Second

func messageContent(t *testing.T, body []byte) string {
	t.Helper()
	var c engine.Completion
	if err := json.Unmarshal(body, &c); err != nil {
		t.Fatalf("answer %q: %v", body, err)
	}
	return *c.Choices[0].Message.Content
}

// streamedContent joins the contents of a streamed response. It fails the test
// unless the events are numbered without gaps and followed by the end marker.
func streamedContent(t *testing.T, body string) string {
	t.Helper()
	reader := engine.NewEventReader(strings.NewReader(body))
	var a engine.Assembler
	for want := uint64(1); ; want++ {
		event, err := reader.Next()
		if err != nil {
			t.Fatalf("stream ends early: %v in %q", err, body)
		}
		if event.Done() {
			break
		}
		if event.ID != want {
			t.Fatalf("event %d where %d belongs", event.ID, want)
		}
		if err := a.Add(event.Data); err != nil {
			t.Fatal(err)
		}
	}
	completion, err := a.JSON()
	if err != nil {
		t.Fatal(err)
	}
	return messageContent(t, completion)
}

func TestBufferedAndStreamedResponsesAreDelivered(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 5)
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	d := newDispatcher(permits, nil)
	w := httptest.NewRecorder()
	result, err := d.Serve(t.Context(), w, chatRequest("a", false))
	is.NoErr(err)
	is.Equal(messageContent(t, w.Body.Bytes()), e.text("a"))
	is.True(result.Delivered)
	is.Equal(result.OutputTokens, uint32(5))
	w = httptest.NewRecorder()
	_, err = d.Serve(t.Context(), w, chatRequest("b", true))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("b"))
	returned := permits.returned[1]
	is.Equal(returned.GetResult(), schema.PermitResult_PERMIT_RESULT_COMPLETED)
	is.Equal(returned.GetPromptTokens(), uint32(11))
	is.Equal(returned.GetCachedTokens(), uint32(4))
	is.True(returned.GetFirstToken().AsDuration() > 0)
	is.True(returned.GetTokenGap() != nil)
}

func TestTargetDeathBeforeHeaderGivesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 5)
	e.hook = func(int, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	w := httptest.NewRecorder()
	result, err := newDispatcher(permits, nil).Serve(t.Context(), w, chatRequest("a", true))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_TARGET_FAILED)
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.Equal(result.Status, 0)
	is.Equal(e.started(), []string{"a"})
	is.Equal(permits.results(), []schema.PermitResult{schema.PermitResult_PERMIT_RESULT_TARGET_DIED})
}

func TestBrokenStreamIsResumedWithoutLossOrDuplicates(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint(stream), func(t *testing.T) {
			is := is.New(t)
			e := newFakeEngine(t, 9)
			e.hook = func(connection, event int, _ http.ResponseWriter, _ *http.Request) {
				if connection < 4 && event == 3*connection {
					panic(http.ErrAbortHandler)
				}
			}
			permits := &fakePermits{address: e.address(), validFor: permitValidity}
			w := httptest.NewRecorder()
			result, err := newDispatcher(permits, nil).Serve(t.Context(), w, chatRequest("a", stream))
			is.NoErr(err)
			is.Equal(result.Resumes, 3)
			if stream {
				is.Equal(streamedContent(t, w.Body.String()), e.text("a"))
			} else {
				is.Equal(messageContent(t, w.Body.Bytes()), e.text("a"))
			}
			is.Equal(e.started(), []string{"a"})
		})
	}
}

func TestStreamUnknownToTargetGivesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 9)
	e.hook = func(_, event int, _ http.ResponseWriter, _ *http.Request) {
		if event == 4 {
			e.mu.Lock()
			e.streams = map[string]string{}
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	w := httptest.NewRecorder()
	result, err := newDispatcher(permits, nil).Serve(t.Context(), w, chatRequest("a", true))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.True(result.Truncated)
	is.True(!strings.Contains(w.Body.String(), "[DONE]"))
	is.True(strings.Contains(w.Body.String(), "event: error\ndata: {"))
	is.True(strings.Contains(w.Body.String(), `"outcome":"unknown"`))
	is.Equal(e.started(), []string{"a"})
}

func TestDuplicateAndReorderedEventsAreDeliveredOnceInOrder(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	e.hook = func(connection, event int, w http.ResponseWriter, _ *http.Request) {
		switch {
		case event == 3: // Repeats events that were already sent.
			fmt.Fprintf(w, "id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", e.chunk("a", 1), e.chunk("a", 2))
		case connection == 1 && event == 5: // Skips event 5.
			fmt.Fprintf(w, "id: 6\ndata: %s\n\n", e.chunk("a", 6))
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	w := httptest.NewRecorder()
	_, err := newDispatcher(permits, nil).Serve(t.Context(), w, chatRequest("a", true))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("a"))
}

func TestUnreachableTargetUsesMaxPermitsAndIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	permits := &fakePermits{address: listener.Addr().String(), validFor: permitValidity}
	is.NoErr(listener.Close())
	result, err := newDispatcher(permits, nil).Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_NO_TARGET)
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	is.True(!result.Dispatched)
	is.Equal(len(permits.results()), 4)
}

func TestNotStartedResponseIsRetriedWithAnotherPermit(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 3)
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	d := newDispatcher(permits, nil)
	w := httptest.NewRecorder()
	e.hook = func(connection, event int, w http.ResponseWriter, _ *http.Request) {
		if connection == 1 && event == 0 {
			w.Header().Set(engine.HeaderNotStarted, "true")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	_, err := d.Serve(t.Context(), w, chatRequest("a", true))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("a"))
	is.Equal(permits.results(), []schema.PermitResult{
		schema.PermitResult_PERMIT_RESULT_REFUSED, schema.PermitResult_PERMIT_RESULT_COMPLETED})
}

func TestServerErrorWithoutNotStartedIsNotRetried(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 3)
	e.hook = func(_, event int, w http.ResponseWriter, _ *http.Request) {
		if event == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	_, err := newDispatcher(permits, nil).Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.Equal(e.started(), []string{"a"})
}

func TestExpiredPermitIsNotUsed(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 3)
	permits := &fakePermits{address: e.address(), validFor: time.Nanosecond}
	_, err := newDispatcher(permits, nil).Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	is.Equal(len(e.started()), 0)
	for _, result := range permits.results() {
		is.Equal(result, schema.PermitResult_PERMIT_RESULT_UNUSED)
	}
}

func TestCallerHangupCancelsStream(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	e.hook = func(_, event int, _ http.ResponseWriter, r *http.Request) {
		if event == 2 {
			cancel()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	d := newDispatcher(permits, nil)
	result, err := d.Serve(ctx, httptest.NewRecorder(), chatRequest("a", true))
	is.True(err != nil)
	is.True(result.CallerDisconnected)
	is.NoErr(d.Wait(t.Context()))
	is.Equal(<-e.cancelled, "s-a")
	is.Equal(permits.results(), []schema.PermitResult{schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

func TestRefusedPermitIsNotRun(t *testing.T) {
	is := is.New(t)
	refusal := fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "shed", "retry")
	d := newDispatcher(&fakePermits{err: refusal}, nil)
	_, err := d.Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.True(errors.Is(err, &fault.Error{Kind: schema.ErrorKind_ERROR_KIND_OVERLOADED}))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
}

func TestStreamBeyondMaxDurationIsCancelled(t *testing.T) {
	// Long enough for a busy machine to open the stream.
	const maxStreamDuration = time.Second
	is := is.New(t)
	e := newFakeEngine(t, 5)
	e.hook = func(_, event int, _ http.ResponseWriter, r *http.Request) {
		if event == 3 {
			<-r.Context().Done()
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	signer, err := dispatch.NewSigner("")
	is.NoErr(err)
	d := dispatch.New(dispatch.Options{Permits: permits, Engine: engine.NewClient(engine.Options{}), Signer: signer,
		MaxStreamDuration: maxStreamDuration})
	_, err = d.Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	select {
	case id := <-e.cancelled:
		is.Equal(id, "s-a")
	case <-time.After(10 * maxStreamDuration):
		t.Fatal("the stream was not cancelled at the engine")
	}
	is.Equal(permits.results(), []schema.PermitResult{schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

func TestStalledStreamIsResumed(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 5)
	e.hook = func(connection, event int, _ http.ResponseWriter, r *http.Request) {
		if connection == 1 && event == 3 {
			<-r.Context().Done()
		}
	}
	w := httptest.NewRecorder()
	result, err := newDispatcher(&fakePermits{address: e.address(), validFor: permitValidity}, nil).
		Serve(t.Context(), w, chatRequest("a", true))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("a"))
	is.Equal(result.Resumes, 1)
}

func TestConcurrentCallersGetTheirOwnCompleteResponses(t *testing.T) {
	e := newFakeEngine(t, 20)
	last := make(chan struct{})
	e.hook = func(connection, event int, _ http.ResponseWriter, _ *http.Request) {
		switch {
		case connection%3 == 0 && event == 7:
			panic(http.ErrAbortHandler)
		case connection == 60 && event == 0:
			close(last)
		case connection%5 == 1 && connection < 60 && event == 12:
			<-last // Lets streams that started later overtake this one.
		}
	}
	d := newDispatcher(&fakePermits{address: e.address(), validFor: permitValidity}, nil)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			id := fmt.Sprintf("r%d", i)
			w := httptest.NewRecorder()
			if _, err := d.Serve(t.Context(), w, chatRequest(id, true)); err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			if got := streamedContent(t, w.Body.String()); got != e.text(id) {
				t.Errorf("%s got %q", id, got)
			}
		})
	}
	wg.Wait()
	if len(e.started()) != 60 {
		t.Errorf("%d dispatches of 60 requests", len(e.started()))
	}
}

func TestTargetDeathIsReportedBeforeCallerRetries(t *testing.T) {
	const callerRetryDelay = time.Second
	is := is.New(t)
	e := newFakeEngine(t, 5)
	e.hook = func(_, event int, _ http.ResponseWriter, _ *http.Request) {
		if event == 3 {
			e.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	start := time.Now()
	_, err := newDispatcher(permits, nil).Serve(t.Context(), httptest.NewRecorder(), chatRequest("a", true))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_TARGET_FAILED)
	is.Equal(permits.results(), []schema.PermitResult{schema.PermitResult_PERMIT_RESULT_TARGET_DIED})
	is.True(time.Since(start) < callerRetryDelay)
}
