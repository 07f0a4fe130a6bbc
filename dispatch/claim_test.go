package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func keyedRequest(id string) *dispatch.Request {
	r := chatRequest(id, true)
	r.HasCallerID = true
	return r
}

func TestRepeatedRequestAtAnotherEntryAttachesToRunningStream(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	release := make(chan struct{})
	e.hook = func(connection, event int, _ http.ResponseWriter, _ *http.Request) {
		if connection == 1 && event == 3 {
			<-release
		}
	}
	claims := newFakeClaims()
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	first, second := newDispatcher(permits, claims), newDispatcher(permits, claims)
	w1 := httptest.NewRecorder()
	done := make(chan error)
	go func() {
		_, err := first.Serve(t.Context(), w1, keyedRequest("k"))
		done <- err
	}()
	<-claims.changed // The first entry reported its stream.
	w2 := httptest.NewRecorder()
	result, err := second.Serve(t.Context(), w2, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(result.Source, dispatch.SourceAttached)
	is.Equal(streamedContent(t, w2.Body.String()), e.text("k"))
	close(release)
	is.NoErr(<-done)
	is.Equal(streamedContent(t, w1.Body.String()), e.text("k"))
	is.Equal(e.started(), []string{"k"})
	is.Equal(len(permits.results()), 1)
}

func TestRunningRequestIsReportedToNewShardOwner(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	release := make(chan struct{})
	e.hook = func(connection, event int, _ http.ResponseWriter, _ *http.Request) {
		if connection == 1 && event == 3 {
			<-release
		}
	}
	claims := newFakeClaims()
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	first, second := newDispatcher(permits, claims), newDispatcher(permits, claims)
	done := make(chan error)
	go func() {
		_, err := first.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
		done <- err
	}()
	<-claims.changed
	claims.forget("k")
	_, err := second.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT)
	first.ResendClaimReports(func(team, id string) bool { return team == "drumlin" && id == "k" })
	<-claims.changed
	w := httptest.NewRecorder()
	_, err = second.Serve(t.Context(), w, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("k"))
	close(release)
	is.NoErr(<-done)
	is.Equal(e.started(), []string{"k"})
}

func TestFinishedRequestsAreReportedToNewShardOwner(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	claims := newFakeClaims()
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	first, second := newDispatcher(permits, claims), newDispatcher(permits, claims)
	_, err := first.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("done"))
	is.NoErr(err)
	permits.err = fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "shed", "retry")
	_, err = first.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("shed"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	is.NoErr(first.Wait(t.Context()))
	permits.err = nil
	claims.forget("done")
	claims.forget("shed")
	first.ResendClaimReports(func(_, id string) bool { return id != "other" })
	is.NoErr(first.Wait(t.Context()))
	w := httptest.NewRecorder()
	result, err := second.Serve(t.Context(), w, keyedRequest("done"))
	is.NoErr(err)
	is.Equal(result.Source, dispatch.SourceStored)
	is.Equal(streamedContent(t, w.Body.String()), e.text("done"))
	w = httptest.NewRecorder()
	_, err = second.Serve(t.Context(), w, keyedRequest("shed"))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("shed"))
	is.Equal(e.started(), []string{"done", "shed"})
}

func TestFinishedRequestIsReplayedWithoutRunningAgain(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 4)
	claims := newFakeClaims()
	d := newDispatcher(&fakePermits{address: e.address(), validFor: permitValidity}, claims)
	w1 := httptest.NewRecorder()
	_, err := d.Serve(t.Context(), w1, keyedRequest("k"))
	is.NoErr(err)
	is.NoErr(d.Wait(t.Context()))
	w2 := httptest.NewRecorder()
	result, err := d.Serve(t.Context(), w2, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(result.Source, dispatch.SourceStored)
	is.Equal(w2.Body.String(), w1.Body.String())
	is.Equal(w2.Header().Get(dispatch.HeaderReplayed), "true")
	is.Equal(e.started(), []string{"k"})
}

func TestUnknownOutcomeIsReplayed(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 4)
	e.hook = func(int, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	d := newDispatcher(&fakePermits{address: e.address(), validFor: permitValidity}, newFakeClaims())
	_, err := d.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.NoErr(d.Wait(t.Context()))
	w := httptest.NewRecorder()
	_, err = d.Serve(t.Context(), w, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(e.started(), []string{"k"})
}

func TestNotRunRequestCanBeRetriedImmediately(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 4)
	permits := &fakePermits{err: fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "shed", "retry")}
	d := newDispatcher(permits, newFakeClaims())
	_, err := d.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	permits.err, permits.address, permits.validFor = nil, e.address(), permitValidity
	w := httptest.NewRecorder()
	_, err = d.Serve(t.Context(), w, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("k"))
}

func TestStreamOfDeadEntryIsRecoveredByRepeatedRequest(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	e.streams["s-k"] = "k"
	claims := newFakeClaims()
	claims.entries["k"] = &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_UNKNOWN,
		Target: "vm/llm", Address: e.address(), StreamId: "s-k"}
	w := httptest.NewRecorder()
	_, err := newDispatcher(&fakePermits{}, claims).Serve(t.Context(), w, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("k"))
	is.Equal(len(e.started()), 0)
	delete(e.streams, "s-k")
	_, err = newDispatcher(&fakePermits{}, claims).Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
}

func TestClaimStatesThatRefuseRequests(t *testing.T) {
	for state, want := range map[schema.ClaimState]schema.ErrorKind{
		schema.ClaimState_CLAIM_STATE_RUNNING: schema.ErrorKind_ERROR_KIND_IN_PROGRESS,
		schema.ClaimState_CLAIM_STATE_DONE:    schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED,
		schema.ClaimState_CLAIM_STATE_UNKNOWN: schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT,
	} {
		is := is.New(t)
		claims := newFakeClaims()
		claims.entries["k"] = &schema.ClaimReply{State: state}
		permits := &fakePermits{}
		_, err := newDispatcher(permits, claims).Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
		is.Equal(fault.KindOf(err), want)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
		is.Equal(permits.granted, 0)
	}
}

func TestFailedClaimGivesUnknownOutcomeUnlessKeyReused(t *testing.T) {
	for kind, want := range map[schema.ErrorKind]schema.Outcome{
		schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE: schema.Outcome_OUTCOME_UNKNOWN,
		schema.ErrorKind_ERROR_KIND_UNREACHABLE:       schema.Outcome_OUTCOME_UNKNOWN,
		schema.ErrorKind_ERROR_KIND_KEY_EXPIRED:       schema.Outcome_OUTCOME_UNKNOWN,
		schema.ErrorKind_ERROR_KIND_KEY_REUSED:        schema.Outcome_OUTCOME_NOT_RUN,
	} {
		is := is.New(t)
		claims := newFakeClaims()
		claims.err = fault.New(kind, "message", "remedy").WithOutcomeNotRun()
		_, err := newDispatcher(&fakePermits{}, claims).Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
		is.Equal(fault.KindOf(err), kind)
		is.Equal(fault.From(err).Outcome, want)
	}
}

// lostClaimReplies makes claims but loses their replies.
type lostClaimReplies struct{ *fakeClaims }

func (c lostClaimReplies) Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	_, _ = c.fakeClaims.Claim(ctx, r)
	return nil, fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE, "the answer is lost", "retry")
}

func TestClaimWithLostReplyIsReleased(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 4)
	claims := newFakeClaims()
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	first := newDispatcher(permits, lostClaimReplies{claims})
	_, err := first.Serve(t.Context(), httptest.NewRecorder(), keyedRequest("k"))
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_UNKNOWN)
	is.NoErr(first.Wait(t.Context()))
	w := httptest.NewRecorder()
	_, err = newDispatcher(permits, claims).Serve(t.Context(), w, keyedRequest("k"))
	is.NoErr(err)
	is.Equal(streamedContent(t, w.Body.String()), e.text("k"))
}

func TestAnotherEntryResumesByTicket(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, 6)
	permits := &fakePermits{address: e.address(), validFor: permitValidity}
	w := httptest.NewRecorder()
	_, err := newDispatcher(permits, nil).Serve(t.Context(), w, chatRequest("a", true))
	is.NoErr(err)
	ticket := w.Header().Get(dispatch.HeaderStreamTicket)
	other := newDispatcher(permits, nil)
	w = httptest.NewRecorder()
	result, err := other.Resume(t.Context(), w, "drumlin", ticket, 4)
	is.NoErr(err)
	is.Equal(result.Source, dispatch.SourceResumed)
	is.True(len(w.Body.String()) > 0)
	is.Equal(w.Body.String()[:6], "id: 5\n")
	_, err = other.Resume(t.Context(), httptest.NewRecorder(), "medlar", ticket, 4)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
	_, err = other.Resume(t.Context(), httptest.NewRecorder(), "drumlin", "A"+ticket[1:], 4)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
	is.Equal(e.started(), []string{"a"})
}

func TestOriginDistinguishesCallerNodeAndForgedIDs(t *testing.T) {
	is := is.New(t)
	s, err := dispatch.NewSigner("c2hhcmVk")
	is.NoErr(err)
	id := s.NewID("drumlin")
	is.Equal(s.Origin(id, "drumlin"), dispatch.IDFromNode)
	is.Equal(s.Origin(id, "medlar"), dispatch.IDForged)
	is.Equal(s.Origin(id[:len(id)-1]+"x", "drumlin"), dispatch.IDForged)
	is.Equal(s.Origin("order-7", "drumlin"), dispatch.IDFromCaller)
}
