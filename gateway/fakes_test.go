package gateway_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	apiKey            = "k1"
	targets           = 4
	headerID          = "X-Primrosemoor-Attempt-Id"
	headerSeal        = "X-Primrosemoor-Server-Seal"
	headerNotExecuted = "X-Primrosemoor-Not-Executed"
)

// targetScript is the scripted behaviour of a target for one request.
type targetScript struct {
	// unsent and resetAfterSend fail the send before and after the request left; unsent with
	// hang fails it when the request's context ends.
	unsent, resetAfterSend bool
	status                 int
	body                   string
	header                 http.Header
	// truncated ends the body early, with truncation if that is set.
	truncated  bool
	truncation error
	// hang delays the headers, or the end of the body if there is one, until the
	// request's context ends.
	hang bool
	// panics makes the read of the body panic.
	panics bool
	// drip is the pause before each byte of dripped, which follows the body; pause is
	// that before each event of the body.
	drip, pause time.Duration
	dripped     string
	// delay is the time before the headers. silence is that between the body and rest,
	// which follows it.
	delay, silence time.Duration
	rest           string
}

// ran reports whether the target may have run the request.
func (s targetScript) ran() bool {
	return !s.unsent && s.header.Get(headerNotExecuted) == ""
}

func signedOK(body string) targetScript {
	return targetScript{status: 200, body: body, header: http.Header{headerSeal: {"s"}}}
}

func notExecuted(status int) targetScript {
	return targetScript{status: status, header: http.Header{headerNotExecuted: {"1"}}}
}

// sentRequest is one request as a target received it.
type sentRequest struct {
	to      upstream.Address
	request upstream.Request
	script  targetScript
	// ended is closed when the request's context has ended.
	ended <-chan struct{}
}

// fakeSender responds to requests with the next script.
type fakeSender struct {
	mu      sync.Mutex
	scripts []targetScript
	sends   []sentRequest
}

var (
	errReset           = fmt.Errorf("read: %w", syscall.ECONNRESET)
	errTruncatedByPeer = fmt.Errorf("%w: %w", upstream.ErrTruncated, io.ErrUnexpectedEOF)
	errRefused         = errors.New("connection refused")
)

func (s *fakeSender) Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	s.mu.Lock()
	script := signedOK("default")
	if len(s.scripts) > 0 {
		script = s.scripts[0]
		s.scripts = s.scripts[1:]
	}
	s.sends = append(s.sends, sentRequest{to, *r, script, ctx.Done()})
	s.mu.Unlock()
	switch {
	case script.unsent && script.hang:
		<-ctx.Done()
		return nil, &upstream.SendError{Address: to, Err: context.Cause(ctx)}
	case script.unsent:
		return nil, &upstream.SendError{Address: to, Err: errRefused}
	case script.resetAfterSend:
		return nil, &upstream.SendError{Address: to, Sent: true, PeerClosed: true, Err: errReset}
	case script.hang && script.body == "":
		<-ctx.Done()
		return nil, &upstream.SendError{Address: to, Sent: true, Err: context.Cause(ctx)}
	}
	select {
	case <-time.After(script.delay):
	case <-ctx.Done():
		return nil, &upstream.SendError{Address: to, Sent: true, Err: context.Cause(ctx)}
	}
	h := script.header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(headerID, r.Header.Get(headerID))
	return &http.Response{
		StatusCode: script.status, Header: h, ContentLength: -1,
		Body: &scriptedBody{reader: strings.NewReader(script.body), script: script, ctx: ctx},
	}, nil
}

func (s *fakeSender) sent() []sentRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sentRequest(nil), s.sends...)
}

// ranCount returns how many targets may have run the request.
func (s *fakeSender) ranCount() int {
	n := 0
	for _, c := range s.sent() {
		if c.script.ran() {
			n++
		}
	}
	return n
}

// scriptedBody is a response body that may be truncated or hang at its end.
type scriptedBody struct {
	reader io.Reader
	script targetScript
	ctx    context.Context
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	if b.script.panics {
		panic("scripted")
	}
	if cause := context.Cause(b.ctx); cause != nil {
		return 0, cause
	}
	if b.script.pause > 0 {
		return b.readEvent(p)
	}
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && n == 0 && b.script.dripped != "" {
		return b.readDripped(p)
	}
	if err == nil {
		return n, nil
	}
	if b.script.rest != "" {
		if err := b.wait(b.script.silence); err != nil {
			return 0, err
		}
		b.reader, b.script.rest = strings.NewReader(b.script.rest), ""
		return b.Read(p)
	}
	if b.script.hang {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	if b.script.truncated {
		return n, cmp.Or(b.script.truncation, errTruncatedByPeer)
	}
	return n, err
}

// readEvent returns the next event after a pause.
func (b *scriptedBody) readEvent(p []byte) (int, error) {
	event, rest, _ := strings.Cut(b.script.body, "\n\n")
	if event == "" {
		return 0, io.EOF
	}
	b.script.body = rest
	return copy(p, event+"\n\n"), b.wait(b.script.pause)
}

// readDripped returns the next dripped byte after a pause.
func (b *scriptedBody) readDripped(p []byte) (int, error) {
	if err := b.wait(b.script.drip); err != nil {
		return 0, err
	}
	n := copy(p, b.script.dripped[:1])
	b.script.dripped = b.script.dripped[1:]
	return n, nil
}

func (b *scriptedBody) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-b.ctx.Done():
		return context.Cause(b.ctx)
	}
}

func (b *scriptedBody) Close() error { return nil }

// fakeConfig is a configuration that a test may replace.
type fakeConfig struct {
	mu         sync.Mutex
	table      *catalog.Table
	keysProven bool
}

func (c *fakeConfig) Table() *catalog.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

func (c *fakeConfig) set(table *catalog.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = table
}

func (c *fakeConfig) Ready() bool      { return c.Table() != nil }
func (c *fakeConfig) KeysProven() bool { return c.keysProven }

// fakeAllowance rejects every charge if retryAfter is not zero.
type fakeAllowance struct {
	retryAfter time.Duration
	mu         sync.Mutex
	amount     float64
	returned   []refund
}

// refund is a charge that was refunded.
type refund struct {
	amount  float64
	charged time.Time
}

func (a *fakeAllowance) Return(_ *catalog.Team, amount float64, charged time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returned = append(a.returned, refund{amount, charged})
}

func (a *fakeAllowance) refunds() []refund {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.returned)
}

func (a *fakeAllowance) Take(_ *catalog.Team, amount float64) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.amount = amount
	return a.retryAfter, a.retryAfter == 0
}

// fakeRetryBudget allows a fixed number of retries.
type fakeRetryBudget struct{ left int }

func (r *fakeRetryBudget) RecordFirstAttempt(string) {}
func (r *fakeRetryBudget) AllowRetry(string) bool {
	r.left--
	return r.left >= 0
}

// discardReporter discards the progress of a request.
type discardReporter struct{}

func (discardReporter) FirstEvent(time.Duration)             {}
func (discardReporter) SpeedSampled(balance.Sample)          {}
func (discardReporter) Ended(balance.Result, balance.Sample) {}

// fakeProber reports that targets that closed a connection have crashed.
type fakeProber struct{ refuses bool }

func (p *fakeProber) Refuses(context.Context, upstream.Address) bool { return p.refuses }

// signals records what targets ask of this node in its balancer only.
type signals struct{ *balance.Manager }

func (s signals) RecordSignal(signal balance.Signal) { s.Manager.RecordSignal(signal) }

// nopMetrics discards all metrics.
type nopMetrics struct{}

func (nopMetrics) RequestDispatched(string, int, time.Duration) {}
func (nopMetrics) RequestEnded(telemetry.EndedRequest)          {}
func (nopMetrics) RequestRetried(string)                        {}

// testGateway is a gateway with scripted targets behind a real HTTP server.
type testGateway struct {
	config    *fakeConfig
	allowance *fakeAllowance
	retries   *fakeRetryBudget
	sender    *fakeSender
	culprits  *culprit.Manager
	prober    *fakeProber
	streams   *resume.Registry
	links     *fakeLinks
	gateway   *gateway.Gateway
	server    *httptest.Server
}

// emptyStreamStore is a resume.Store with no records.
type emptyStreamStore struct{}

func (emptyStreamStore) ReadPossible(context.Context) error { return nil }

func (emptyStreamStore) ReadRecords(context.Context) error { return nil }

func newRoute(kind catalog.Kind) *catalog.Route {
	return &catalog.Route{
		Name: "r", Host: "farm.example", PathPrefix: "/walks/", Kind: kind, MaxAttempts: 2,
		Shares: []catalog.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Goal: 250 * time.Millisecond,
	}
}

// testVersion is the version of all targets.
const testVersion = "v1"

func newTestGateway(tb testing.TB, route *catalog.Route, scripts ...targetScript) *testGateway {
	tb.Helper()
	return newTestGatewayWith(tb, route, func(*gateway.Options) {}, scripts...)
}

// newTestGatewayWith returns a gateway whose options are changed by edit.
func newTestGatewayWith(tb testing.TB, route *catalog.Route, edit func(*gateway.Options), scripts ...targetScript) *testGateway {
	tb.Helper()
	g := newTestGatewayWithoutServer(tb, route, edit, scripts...)
	g.server = httptest.NewServer(g.gateway)
	tb.Cleanup(g.server.Close)
	return g
}

// newTestGatewayWithoutServer returns a gateway that is called directly, for tests in virtual
// time.
func newTestGatewayWithoutServer(tb testing.TB, route *catalog.Route, edit func(*gateway.Options), scripts ...targetScript) *testGateway {
	tb.Helper()
	config := &catalog.Config{
		Version: 1, Routes: []*catalog.Route{route},
		Teams: []*catalog.Team{{Name: "t1", Keys: []string{apiKey}, Rate: 100, Burst: 100, ByTokens: true, DefaultTokens: 200}},
	}
	g := &testGateway{
		config:    &fakeConfig{table: catalog.NewTable(config), keysProven: true},
		allowance: &fakeAllowance{},
		retries:   &fakeRetryBudget{left: 10},
		sender:    &fakeSender{scripts: scripts},
		culprits:  culprit.New(func() {}, logging.Discard()),
		prober:    &fakeProber{},
		links:     &fakeLinks{},
	}
	balancer := balance.NewManager(balance.Options{
		Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
		Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		balancer.Run(ctx)
		close(done)
	}()
	var list []*catalog.Target
	for i := range targets {
		list = append(list, &catalog.Target{
			ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 8, Version: testVersion,
		})
	}
	balancer.ApplyTargets(list, nil)
	g.streams = resume.NewRegistry(func() {})
	g.streams.Update(config.Routes, list)
	finder := &resume.Finder{Registry: g.streams, Store: emptyStreamStore{}, Holders: func() []string { return nil }}
	options := gateway.Options{
		Config: g.config, HeaderCodec: platform.HeaderCodec{}, Balancer: balancer, Allowance: g.allowance,
		Retries: g.retries, Sender: g.sender, Culprits: g.culprits, Prober: g.prober, Limits: balancer, Signals: signals{balancer}, Streams: finder, Links: g.links, Metrics: nopMetrics{}, Logger: logging.Discard(),
	}
	edit(&options)
	g.gateway = gateway.New(options)
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

// callerResponse is what the caller received.
type callerResponse struct {
	status int
	body   string
	header http.Header
	// err is set if the response was truncated or never arrived.
	err error
	// closed reports that the connection ends with the response.
	closed bool
}

// send sends a request with the usual headers, modified by edit.
func (g *testGateway) send(tb testing.TB, ctx context.Context, edit func(*http.Request)) callerResponse {
	tb.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/walks/1", strings.NewReader("the body"))
	if err != nil {
		tb.Fatal(err)
	}
	req.Host = "farm.example"
	req.Header.Set(headerID, "id-1")
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("X-Primrosemoor-Deadline-Ms", "2000")
	if edit != nil {
		edit(req)
	}
	resp, err := g.server.Client().Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, string(body), resp.Header, err, resp.Close}
}

// fakeLinks are this node's links to targets.
type fakeLinks struct{ lost atomic.Bool }

// Verify implements gateway.Links.
func (l *fakeLinks) Verify(context.Context) bool { return !l.lost.Load() }
