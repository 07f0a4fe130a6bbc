package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// A sound target that pauses before each event must not have its request sent to more
// targets than the route allows.
func TestRepeatedSilenceStaysWithinTheAttemptsOfTheRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first := streamScript(streamEvents(1, 5), false)
	first.pause = 1300 * time.Millisecond
	route := patientRoute(catalog.Streaming)
	route.MaxAttempts = 2
	g := newTestGateway(t, route, first, targetScript{hang: true}, targetScript{hang: true}, targetScript{hang: true})
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 5))
	is.True(g.sender.ranCount() <= route.MaxAttempts) // targets that may have run the request
}

// Headers alone are no answer: a second target may break off behind them.
func TestStreamOfASilentTargetIsNotLostWhereTheSecondBreaksBehindItsHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6), streamScript("", true))
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
}

func TestAnswerOfASilentTargetIsNotLostWhereTheSecondBreaksBehindItsHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, second := signedOK("fir"), signedOK("se")
	first.silence, first.rest = soundSilence, "st"
	second.truncated = true
	g := newTestGateway(t, patientRoute(catalog.Idempotent), first, second)
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "first")
}

// refusingBudget allows no retry until it was asked a number of times.
type refusingBudget struct {
	mu      sync.Mutex
	refused int
}

func (*refusingBudget) RecordFirstAttempt(string) {}
func (b *refusingBudget) AllowRetry(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused--
	return b.refused < 0
}

// Targets that the retry budget kept from being asked are not used up by that.
func TestStreamIsResumedAfterSilencesBeyondTheRetryBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first := streamScript(streamEvents(1, 3), true)
	first.silence, first.rest = 4500*time.Millisecond, streamEvents(4, 4)
	g := newTestGateway(t, patientRoute(catalog.Streaming), first, streamScript(streamEvents(5, 6), false))
	g.gateway.Retries = &refusingBudget{refused: 4} // One for each second of silence.
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
}

func TestCrashOfTheSecondTargetIsRecorded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6), targetScript{resetAfterSend: true})
	g.prober.refuses = true
	g.sendPatiently(t)
	crashes, _, _ := g.culprits.Since(0)
	is.Equal(len(crashes), 1)
}

// A quarantine ends both attempts of a request, that of the second target too.
func TestQuarantineEndsTheSecondAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), targetScript{hang: true}, targetScript{hang: true})
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.send(t, t.Context(), func(r *http.Request) {
			r.Header.Set("X-Primrosemoor-Deadline-Ms", "10000")
			r.Header.Set("X-Primrosemoor-Prompt-Prefix", "a:10,b:10")
		})
	}()
	for len(g.sender.sent()) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	now := clock.Now()
	var crashes []culprit.Crash
	for i := range 3 {
		crashes = append(crashes, culprit.Crash{Target: uint64(i + 1), Features: []culprit.Feature{0xa}, At: now.Add(time.Duration(i-3) * time.Second)})
	}
	g.culprits.Apply(crashes, nil)
	sends := g.sender.sent()
	is.True(endedWithin(sends[0], 300*time.Millisecond))
	is.True(endedWithin(sends[1], 300*time.Millisecond))
	<-done
}

// recordingBalancer grants target after target and records how each grant ended.
type recordingBalancer struct {
	mu      sync.Mutex
	granted int
	// addresses are those of the targets in order, the last one again and again.
	addresses []string
	ends      map[string][]balance.Result
	// patience is how long each request would still wait, in order.
	patience []time.Duration
}

func (b *recordingBalancer) Acquire(_ context.Context, w *balance.Work) (*balance.Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.patience = append(b.patience, time.Until(w.Patience))
	id := fmt.Sprintf("i-%d", b.granted)
	address := "10.0.0.1:80"
	if len(b.addresses) > 0 {
		n := min(b.granted, len(b.addresses)-1)
		id, address = fmt.Sprintf("i-%d", n), b.addresses[n]
	}
	b.granted++
	return balance.NewGrant(&catalog.Target{ID: id, Address: address}, balance.Prediction{}, &recordingReporter{b, id}), nil
}

func (b *recordingBalancer) ended(id string) []balance.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]balance.Result(nil), b.ends[id]...)
}

type recordingReporter struct {
	balancer *recordingBalancer
	id       string
}

func (*recordingReporter) FirstEvent(time.Duration)    {}
func (*recordingReporter) SpeedSampled(balance.Sample) {}
func (r *recordingReporter) Ended(result balance.Result, _ balance.Sample) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	r.balancer.ends[r.id] = append(r.balancer.ends[r.id], result)
}

// Silence alone is no failure of a target: the balancer would back off from it.
func TestSilentTargetIsNotReportedAsBroken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6), streamScript(streamEvents(4, 6), false))
	b := &recordingBalancer{ends: make(map[string][]balance.Result)}
	g.gateway.Balancer = b
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	is.Equal(b.ended("i-1"), []balance.Result{balance.Answered})
	is.Equal(len(b.ended("i-0")), 1)
	is.True(b.ended("i-0")[0] != balance.Broken) // it had passed on events and was silent for a second
}

// That other requests hold back much is no failure of a target either.
func TestTargetIsNotReportedAsBrokenForWhatOthersHoldBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		heldBytes, eventBytes int
		want                  balance.Result
	}{
		"others hold back much":     {1, 40_000, balance.Unreported},
		"the event is too long":     {0, 2 << 20, balance.Broken},
		"the event may be held":     {1, 10_000, balance.Answered},
		"nobody holds back so much": {0, 40_000, balance.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := streamScript("id: 1\ndata: "+strings.Repeat("x", c.eventBytes)+"\n\n", false)
			g := newTestGatewayWith(t, newRoute(catalog.Streaming), func(o *gateway.Options) { o.HeldBytes = c.heldBytes }, script)
			b := &recordingBalancer{ends: make(map[string][]balance.Result)}
			g.gateway.Balancer = b
			g.send(t, t.Context(), nil)
			is.Equal(b.ended("i-0"), []balance.Result{c.want})
		})
	}
}

// Each grant ends exactly once, whatever the second target does.
func TestGrantsOfBothAttemptsEndOnce(t *testing.T) {
	sealed := http.Header{headerSeal: {"s"}}
	for name, scripts := range map[string][]targetScript{
		"first goes on":         {fallsSilent(3, 6), {hang: true}},
		"second refuses":        {fallsSilent(3, 6), notExecuted(503), notExecuted(503), notExecuted(503)},
		"second fails":          {fallsSilent(3, 6), {status: 500, header: sealed, body: "e"}},
		"second is unreachable": {fallsSilent(3, 6), {unsent: true}, {unsent: true}, {unsent: true}},
		"second is reset":       {fallsSilent(3, 6), {resetAfterSend: true}},
		"second takes over":     {fallsSilent(3, 6), streamScript(streamEvents(4, 6), false)},
		"both break":            {{hang: true}, streamScript("", true)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newTestGateway(t, patientRoute(catalog.Streaming), scripts...)
			b := &recordingBalancer{ends: make(map[string][]balance.Result)}
			g.gateway.Balancer = b
			g.sendPatiently(t)
			g.server.Close() // waits for the handler
			for i := range b.granted {
				is.Equal(len(b.ended(fmt.Sprintf("i-%d", i))), 1)
			}
		})
	}
}

// Callers leave a stream after a gap since its last event, so that a stream that is
// resumed late may still wait for a target.
func TestResumedStreamMayWaitForATarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first := streamScript(streamEvents(1, 3), true)
	first.silence, first.rest = 2200*time.Millisecond, streamEvents(4, 4)
	route := patientRoute(catalog.Streaming)
	route.Patience, route.GapGoal = 2*time.Second, time.Second // no other target is looked for before 3 s
	g := newTestGateway(t, route, first, streamScript(streamEvents(5, 6), false))
	b := &recordingBalancer{ends: make(map[string][]balance.Result)}
	g.gateway.Balancer = b
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(len(b.patience), 2)
	is.True(b.patience[1] > 0)
}

// The connection to a target that has taken over is kept after the whole answer.
func TestConnectionToTheSuccessorIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	silent := newWorker(t, func(r *http.Request) { <-r.Context().Done() })
	sound := newWorker(t, func(*http.Request) {})
	var dials atomic.Int32
	client := upstream.NewClient(upstream.NewDial(), func() { dials.Add(1) })
	g := newTestGateway(t, patientRoute(catalog.Idempotent))
	b := &recordingBalancer{ends: make(map[string][]balance.Result), addresses: []string{silent, sound}}
	g.gateway.Balancer, g.gateway.Sender = b, client
	for range 2 {
		got := g.sendPatiently(t)
		is.NoErr(got.err)
		is.Equal(got.body, "whole")
	}
	is.Equal(dials.Load(), int32(2)) // one to each target
}

func newWorker(t *testing.T, before func(*http.Request)) (address string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		before(r)
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerSeal, "s")
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// The silent target goes on at about the moment at which the second begins to answer.
func TestGoingOnAndTakingOverAtTheSameMoment(t *testing.T) {
	for i := range 60 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := fallsSilent(3, 6)
			first.silence = time.Second + rand.N(12*time.Millisecond)
			second := streamScript(streamEvents(4, 6), false)
			second.delay = rand.N(8 * time.Millisecond)
			g := newTestGateway(t, patientRoute(catalog.Streaming), first, second)
			b := &recordingBalancer{ends: make(map[string][]balance.Result)}
			g.gateway.Balancer = b
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(got.body, streamEvents(1, 6))
			g.server.Close()
			for i := range b.granted {
				is.Equal(len(b.ended(fmt.Sprintf("i-%d", i))), 1)
			}
		})
	}
}

// The second target begins to answer at about the moment at which its time for that ends.
func TestStreamIsNotLostToASecondTargetThatBeginsAsItsTimeEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const margin = 200 * time.Microsecond
	var lost atomic.Int32
	var running sync.WaitGroup
	for range 200 {
		first := fallsSilent(3, 6)
		first.silence = 2200 * time.Millisecond // It goes on after that time.
		second := streamScript(streamEvents(4, 6), false)
		second.delay = time.Second - rand.N(margin)
		g := newTestGateway(t, patientRoute(catalog.Streaming), first, second)
		running.Go(func() {
			if got := g.sendPatiently(t); got.err != nil || got.body != streamEvents(1, 6) {
				lost.Add(1)
			}
		})
	}
	running.Wait()
	is.Equal(lost.Load(), int32(0))
}

// workers returns the targets that received a request.
func workers(sends []sentRequest) map[string]bool {
	ids := make(map[string]bool)
	for _, s := range sends {
		ids[s.to.ID] = true
	}
	return ids
}

// breaksAfterSilence makes a stream that falls silent go on and break.
func breaksAfterSilence() targetScript {
	s := fallsSilent(3, 4)
	s.truncated = true
	return s
}

// The second target was cancelled because the first one went on; that one breaks later.
func TestStreamThatBreaksAfterASilenceIsResumedAtTheTargetThatWasAsked(t *testing.T) {
	rest := streamScript(streamEvents(5, 6), false)
	begunLate := streamScript(streamEvents(4, 6), false)
	begunLate.delay = time.Second
	for name, second := range map[string]targetScript{"no headers": {hang: true}, "late": begunLate} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newTestGateway(t, patientRoute(catalog.Streaming), breaksAfterSilence(), second, rest)
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(got.body, streamEvents(1, 6))
			sends := g.sender.sent()
			is.Equal(len(sends), 3)
			is.Equal(sends[2].to.ID, sends[1].to.ID)
			is.Equal(sends[2].request.Header.Get("Last-Event-Id"), "4")
			is.Equal(len(workers(sends)), 2) // as many as the route allows
		})
	}
}

// A target that was asked and failed is not asked again.
func TestStreamThatBreaksAfterASilenceIsNotResumedAtATargetThatFailed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGateway(t, patientRoute(catalog.Streaming), breaksAfterSilence(), targetScript{resetAfterSend: true}, streamScript(streamEvents(5, 6), false))
	got := g.sendPatiently(t)
	is.True(got.err != nil)
	is.Equal(len(g.sender.sent()), 2)
}

// suspectingCulprits suspect every request once they are told to.
type suspectingCulprits struct {
	gateway.Culprits
	suspect atomic.Bool
}

func (c *suspectingCulprits) Judge(features []culprit.Feature) culprit.Verdict {
	if c.suspect.Load() {
		return culprit.Verdict{State: culprit.Suspect}
	}
	return c.Culprits.Judge(features)
}

// A crash elsewhere may make requests suspect while a second target begins to answer.
func TestStreamThatWasTakenOverIsNotLostToASuspicion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	second := streamScript(streamEvents(4, 6), false)
	second.delay = 200 * time.Millisecond
	g := newTestGateway(t, patientRoute(catalog.Streaming), fallsSilent(3, 6), second)
	culprits := &suspectingCulprits{Culprits: g.culprits}
	g.gateway.Culprits = culprits
	go func() {
		for len(g.sender.sent()) < 2 {
			time.Sleep(time.Millisecond)
		}
		culprits.suspect.Store(true)
	}()
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
}
