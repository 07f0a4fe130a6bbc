package gateway_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/hedge"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// countedHedges is a hedge.Manager whose outcomes are counted.
type countedHedges struct {
	*hedge.Manager
	mu     sync.Mutex
	counts map[hedge.Outcome]int
}

func newHedges(maxShare float64) *countedHedges {
	h := &countedHedges{counts: make(map[hedge.Outcome]int)}
	h.Manager = hedge.NewManager(hedge.Options{
		MaxShare: maxShare, AllowRetry: func(string) bool { return true },
		Count: func(_, outcome string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.counts[hedge.Outcome(outcome)]++
		},
	})
	return h
}

// newExperiencedHedges knows that responses take 20 to 40 ms and has room for copies.
func newExperiencedHedges() *countedHedges {
	h := newHedges(0.5)
	for i := range 100 {
		h.RecordRequest("s", time.Now())
		h.RecordTime("s", "r", time.Duration(20+i%20)*time.Millisecond, time.Now())
	}
	return h
}

// slowSender stands for targets of which each is slow for a time in every period.
type slowSender struct {
	began        time.Time
	slow, period time.Duration
}

const (
	usualTime = 30 * time.Millisecond
	slowTime  = 700 * time.Millisecond
)

func (s slowSender) Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	number, _ := strconv.Atoi(strings.TrimPrefix(to.ID, "i-"))
	script := streamScript("", false)
	script.silence, script.rest = usualTime/2+rand.N(usualTime), streamEvents(1, 3)
	if at := (time.Since(s.began) + time.Duration(number)*s.period/targets) % s.period; at < s.slow {
		script.silence = slowTime
	}
	h := script.header.Clone()
	h.Set(headerID, r.Header.Get(headerID))
	return &http.Response{
		StatusCode: script.status, Header: h, ContentLength: -1,
		Body: &scriptedBody{reader: strings.NewReader(""), script: script, ctx: ctx},
	}, nil
}

// slowestHundredth has callers send 200 requests a second for 50 s, and returns the time
// that 99 % of the responses stayed below.
func slowestHundredth(t *testing.T, kind catalog.Kind, s slowSender, h *countedHedges) time.Duration {
	t.Helper()
	const requests = 10_000
	g := newTestGatewayWithoutServer(t, patientRoute(kind), func(o *gateway.Options) {
		s.began = time.Now()
		o.Sender = s
		if h != nil {
			o.Hedges = h
		}
	})
	times := make([]time.Duration, requests)
	var running sync.WaitGroup
	for i := range requests {
		time.Sleep(rand.N(10 * time.Millisecond))
		running.Go(func() {
			r := httptest.NewRequest(http.MethodPost, "/walks/1", strings.NewReader("the body"))
			r.Host = "farm.example"
			r.Header.Set(headerID, strconv.Itoa(i))
			r.Header.Set("Api-Key", apiKey)
			w, began := httptest.NewRecorder(), time.Now()
			g.gateway.ServeHTTP(w, r)
			times[i] = time.Since(began)
			if w.Code != http.StatusOK || w.Body.String() != streamEvents(1, 3) {
				t.Errorf("request %d got %d %q", i, w.Code, w.Body.String())
			}
		})
	}
	running.Wait()
	slices.Sort(times)
	return times[requests*99/100]
}

// The slowest hundredth of the callers waits for targets that are slow now and then, although
// others have free slots. Slow for a second: the requests that run at a slow target keep others
// away from it; since a copy that wins ends its first attempt, the targets were asked more
// often with copies than without, and the slowest hundredth took 64 ms instead of 45.
func TestCopiesCutTheSlowestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		sender  slowSender
		without time.Duration
		with    time.Duration
	}{
		"slow for a moment": {slowSender{slow: 100 * time.Millisecond, period: 2500 * time.Millisecond}, slowTime, slowTime / 4},
		"slow for a second": {slowSender{slow: time.Second, period: 50 * time.Second}, 0, 2 * usualTime},
	} {
		for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.Streaming} {
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					without := slowestHundredth(t, kind, c.sender, nil)
					h := newHedges(0.05)
					with := slowestHundredth(t, kind, c.sender, h)
					t.Logf("99 %% of the responses within %v without copies, %v with them; copies: %v", without, with, h.counts)
					is.True(without >= c.without)
					is.True(with <= c.with)
					is.True(h.counts[hedge.Sent] <= 10_000/20)
					is.Equal(h.counts[hedge.Sent], h.counts[hedge.Won]+h.counts[hedge.Cancelled]+h.counts[hedge.Failed])
				})
			})
		}
	}
}

func newHedgingGateway(t *testing.T, route *catalog.Route, scripts ...targetScript) (*testGateway, *countedHedges) {
	t.Helper()
	h := newExperiencedHedges()
	return newTestGatewayWith(t, route, func(o *gateway.Options) { o.Hedges = h }, scripts...), h
}

// slowFirst begins to answer after 500 ms, which is slow, but no silence for which another
// target is looked for.
func slowFirst(kind catalog.Kind) targetScript {
	s := signedOK("")
	s.rest = "first"
	if kind == catalog.Streaming {
		s = streamScript("", false)
		s.rest = streamEvents(1, 6)
	}
	s.silence = 500 * time.Millisecond
	return s
}

func TestCopyThatBringsNothingChangesNothingForTheFirst(t *testing.T) {
	headersOnly := streamScript("", false)
	headersOnly.hang = true
	for name, second := range map[string]targetScript{
		"refused":            notExecuted(503),
		"reset":              {resetAfterSend: true},
		"unreachable":        {unsent: true},
		"hangs":              {hang: true},
		"hangs with headers": headersOnly,
		"fails":              {status: 500, header: http.Header{headerSeal: {"s"}}},
		"no seal":            {status: 200, body: streamEvents(1, 6), header: http.Header{"Content-Type": {"text/event-stream"}}},
	} {
		for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.Streaming} {
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				first := slowFirst(kind)
				g, h := newHedgingGateway(t, patientRoute(kind), first, second)
				got := g.sendPatiently(t)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, first.rest)
				sends := g.sender.sent()
				is.Equal(len(sends), 2)
				is.True(endedWithin(sends[1], time.Second))
				is.Equal(h.counts[hedge.Sent], 1)
				is.Equal(h.counts[hedge.Won], 0)
			})
		}
	}
}

func TestFirstTargetIsCancelledOnceTheCopyHasBegun(t *testing.T) {
	is := is.New(t)
	silent := streamScript("", false)
	silent.hang = true
	second := streamScript(streamEvents(1, 6), false)
	second.pause = 100 * time.Millisecond
	g, h := newHedgingGateway(t, patientRoute(catalog.Streaming), silent, second)
	done := make(chan callerResponse)
	go func() { done <- g.sendPatiently(t) }()
	for len(g.sender.sent()) < 2 {
		time.Sleep(time.Millisecond)
	}
	sends := g.sender.sent()
	is.True(endedWithin(sends[0], 400*time.Millisecond))
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	is.True(sends[0].to.ID != sends[1].to.ID)
	is.Equal(h.counts[hedge.Won], 1)
}

// The copy uses up the attempts of the route. Its stream is not lost where it breaks off,
// because the first target may still be asked.
func TestStreamOfACopyThatBreaksGoesOnAtTheFirstTarget(t *testing.T) {
	is := is.New(t)
	silent := streamScript("", false)
	silent.hang = true
	g, _ := newHedgingGateway(t, patientRoute(catalog.Streaming), silent, streamScript(streamEvents(1, 3), true), streamScript(streamEvents(4, 6), false))
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(1, 6))
	sends := g.sender.sent()
	is.Equal(len(sends), 3)
	is.Equal(sends[2].to.ID, sends[0].to.ID)
}

// A copy that broke has used up the attempts of the route. Where the first target breaks
// later, the request may still go to the copy's target again.
func TestRequestWhoseCopyBrokeIsRepeatedWhereTheFirstTargetBreaks(t *testing.T) {
	is := is.New(t)
	first := slowFirst(catalog.Idempotent)
	first.truncated = true
	g, _ := newHedgingGateway(t, patientRoute(catalog.Idempotent), first, targetScript{resetAfterSend: true}, signedOK("repeated"))
	got := g.sendPatiently(t)
	is.NoErr(got.err)
	is.Equal(got.body, "repeated")
	sends := g.sender.sent()
	is.Equal(len(sends), 3)
	is.Equal(sends[2].to.ID, sends[1].to.ID)
}

// A first target that refuses the request speaks for itself only. Guards against a status that
// promises that the request was not run, while the target of the copy may have run it.
func TestRefusalOfTheFirstTargetPromisesNothingForTheCopy(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := targetScript{status: status, header: http.Header{headerSeal: {"s"}}, delay: 500 * time.Millisecond}
			g, h := newHedgingGateway(t, patientRoute(catalog.Idempotent), first, targetScript{hang: true}, first)
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(h.counts[hedge.Sent], 1)
			is.Equal(len(g.allowance.refunds()), 0)
		})
	}
}

func TestBothAttemptsEndWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	g, h := newHedgingGateway(t, patientRoute(catalog.Idempotent), targetScript{hang: true}, targetScript{hang: true})
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan callerResponse)
	go func() { done <- g.send(t, ctx, nil) }()
	for len(g.sender.sent()) < 2 {
		time.Sleep(time.Millisecond)
	}
	leave()
	<-done
	for _, s := range g.sender.sent() {
		is.True(endedWithin(s, 500*time.Millisecond))
	}
	g.server.Close() // Waits for the request to end.
	is.Equal(h.counts[hedge.Cancelled], 1)
}

// queueingBalancer has requests wait that must not, as an owner of an older release does.
type queueingBalancer struct {
	gateway.Balancer
	withdrawn chan struct{}
}

func (b queueingBalancer) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	if !w.NoWait {
		return b.Balancer.Acquire(ctx, w)
	}
	<-ctx.Done()
	close(b.withdrawn)
	return nil, context.Cause(ctx)
}

func TestCopyThatAnOlderOwnerHasWaitIsWithdrawn(t *testing.T) {
	is := is.New(t)
	g, h := newHedgingGateway(t, patientRoute(catalog.Idempotent), slowFirst(catalog.Idempotent))
	b := queueingBalancer{g.gateway.Balancer, make(chan struct{})}
	g.gateway.Balancer = b
	done := make(chan callerResponse)
	go func() { done <- g.sendPatiently(t) }()
	<-b.withdrawn
	select {
	case <-done:
		t.Fatal("the copy has waited until the first target responded")
	default:
	}
	is.Equal((<-done).body, "first")
	is.Equal(h.counts[hedge.Sent], 0)
}

// predictingBalancer expects a time to the first event, as of an engine.
type predictingBalancer struct {
	gateway.Balancer
	expected time.Duration
}

func (b predictingBalancer) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	grant, err := b.Balancer.Acquire(ctx, w)
	if err != nil {
		return nil, err
	}
	return balance.NewGrant(grant.Target, balance.Prediction{Expected: b.expected, Step: 3 * time.Millisecond}, grant.Reporter()), nil
}

// The longest prompts of a route are among its slowest responses at any target, and would take
// most of the copies.
func TestNoCopyOfALongPromptThatIsAsQuickAsExpected(t *testing.T) {
	for expected, sends := range map[time.Duration]int{10 * time.Millisecond: 2, 400 * time.Millisecond: 1} {
		t.Run(expected.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g, _ := newHedgingGateway(t, patientRoute(catalog.Streaming), slowFirst(catalog.Streaming), targetScript{hang: true})
			g.gateway.Balancer = predictingBalancer{g.gateway.Balancer, expected}
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(len(g.sender.sent()), sends)
		})
	}
}

func TestNoCopyOfARequestThatMustNotRunTwice(t *testing.T) {
	once := patientRoute(catalog.Idempotent)
	once.MaxAttempts = 1
	notResumable := patientRoute(catalog.Streaming)
	notResumable.Resume = false
	for name, route := range map[string]*catalog.Route{
		"not idempotent": patientRoute(catalog.NonIdempotent), "one attempt": once, "not resumable": notResumable,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := slowFirst(route.Kind)
			g, _ := newHedgingGateway(t, route, first)
			got := g.sendPatiently(t)
			is.NoErr(got.err)
			is.Equal(got.body, first.rest)
			is.Equal(len(g.sender.sent()), 1)
		})
	}
}

// A stream that the caller takes up again has begun.
func TestNoCopyOfAStreamThatHasBegun(t *testing.T) {
	is := is.New(t)
	first := streamScript("", false)
	first.silence, first.rest = 500*time.Millisecond, streamEvents(4, 6)
	g, _ := newHedgingGateway(t, patientRoute(catalog.Streaming), first)
	got := g.send(t, t.Context(), func(r *http.Request) { r.Header.Set("Last-Event-Id", "3") })
	is.NoErr(got.err)
	is.Equal(got.body, streamEvents(4, 6))
	is.Equal(len(g.sender.sent()), 1)
}
