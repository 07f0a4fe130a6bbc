package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
)

// crashInterval is longer than the time within which crashes count once.
const crashInterval = 120 * time.Millisecond

// withPrompt sets the parts of a request's prompt, and makes its path its own.
func withPrompt(i int, parts string) func(*http.Request) {
	return func(r *http.Request) {
		r.URL.Path = fmt.Sprint("/walks/", i)
		r.Header.Set("X-Primrosemoor-Prompt-Prefix", fmt.Sprintf("%s,%x:9", parts, 0xffff+i))
	}
}

// crashOnHead is a target that crashes as it begins to answer.
func crashOnHead() targetScript { return streamScript("", true) }

func wholeStream() targetScript { return streamScript(streamEvents(1, 3), false) }

// recordCrashes records the crashes of other nodes' targets with the part 0xdead.
func (g *testGateway) recordCrashes(count int) {
	for i := range count {
		g.culprits.RecordCrash(culprit.Crash{
			Target: uint64(i), Features: []culprit.Feature{0xdead, culprit.Feature(i)}, At: clock.Now().Add(time.Duration(i-count) * time.Second),
		})
	}
}

func TestRequestsLikeThoseThatCrashedTargetsAreNotSent(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), crashOnHead(), crashOnHead(), crashOnHead(), wholeStream())
	g.prober.refuses = true
	for i := range 3 {
		is.Equal(g.send(t, t.Context(), withPrompt(i, "aa:60,dead:9")).status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	got := g.send(t, t.Context(), withPrompt(3, "aa:60,dead:9"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(g.sender.sent()), 3)
	is.Equal(g.send(t, t.Context(), withPrompt(4, "aa:60")).status, http.StatusOK)
}

func TestRequestThatCrashesItsTargetsEachTimeIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), targetScript{resetAfterSend: true}, targetScript{resetAfterSend: true}, targetScript{resetAfterSend: true})
	g.prober.refuses = true
	for range 3 {
		is.Equal(g.send(t, t.Context(), nil).status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	is.Equal(g.send(t, t.Context(), nil).status, http.StatusServiceUnavailable)
	is.Equal(len(g.sender.sent()), 3)
}

func TestConnectionsThatBreakAtLiveTargetsRaiseNoSuspicion(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), crashOnHead(), crashOnHead(), crashOnHead(), crashOnHead(), wholeStream())
	for i := range 4 {
		is.Equal(g.send(t, t.Context(), withPrompt(i, "aa:60,dead:9")).status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	is.Equal(g.send(t, t.Context(), withPrompt(5, "aa:60,dead:9")).status, http.StatusOK)
}

func TestStreamsThatWereUnderWayAtACrashAreNotSuspected(t *testing.T) {
	is := is.New(t)
	underWay := streamScript(streamEvents(1, 2), true)
	g := newTestGateway(t, newRoute(catalog.Streaming), underWay, underWay, underWay, underWay, wholeStream())
	g.prober.refuses = true
	for i := range 4 {
		is.True(g.send(t, t.Context(), withPrompt(i, "aa:60,dead:9")).err != nil)
		time.Sleep(crashInterval)
	}
	crashes, _, _ := g.culprits.Since(0)
	is.Equal(len(crashes), 0)
	is.Equal(g.send(t, t.Context(), withPrompt(5, "aa:60,dead:9")).status, http.StatusOK)
}

func TestSuspectRequestIsNotSentToASecondTarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, resumableRoute(), crashOnHead())
	g.prober.refuses = true
	g.recordCrashes(1)
	got := g.send(t, t.Context(), withPrompt(1, "dead:9"))
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(g.sender.sent()), 1)
}

func TestRequestInFlightIsCancelledWhenItIsQuarantined(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), targetScript{hang: true})
	answers := make(chan callerResponse, 1)
	began := time.Now()
	go func() { answers <- g.send(t, t.Context(), withPrompt(1, "dead:9")) }()
	for len(g.sender.sent()) == 0 {
		time.Sleep(time.Millisecond)
	}
	g.recordCrashes(3)
	got := <-answers
	is.Equal(got.status, http.StatusBadGateway) // It may have run.
	is.True(time.Since(began) < time.Second)
}

func TestCrashIsNotRecordedByANodeThatReachesNoTarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent), targetScript{resetAfterSend: true}, targetScript{resetAfterSend: true}, targetScript{resetAfterSend: true})
	g.prober.refuses = true
	g.links.lost.Store(true)
	for range 3 {
		is.Equal(g.send(t, t.Context(), nil).status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	crashes, _, _ := g.culprits.Since(0)
	is.Equal(len(crashes), 0)
}

// A target that leaves ends with what it has not answered, and refuses connections then.
func TestEndOfTargetsThatLeaveIsNotTakenForACrash(t *testing.T) {
	is := is.New(t)
	leaving := crashOnHead()
	leaving.header.Set("Server-Leaving", "1")
	g := newTestGateway(t, newRoute(catalog.Streaming), leaving, leaving, leaving, wholeStream())
	g.prober.refuses = true
	for i := range 3 {
		is.Equal(g.send(t, t.Context(), withPrompt(i, "aa:60,dead:9")).status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	is.Equal(g.send(t, t.Context(), withPrompt(3, "aa:60,dead:9")).status, http.StatusOK)
	crashes, _, _ := g.culprits.Since(0)
	is.Equal(len(crashes), 0)
}
