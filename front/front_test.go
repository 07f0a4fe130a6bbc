package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/front"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	guestKey = "guest-key"
	chatBody = `{"model":"m","messages":[{"role":"user","content":"which walk?"}],"max_tokens":7}`
)

// stubDispatcher records requests and gives each the same response.
type stubDispatcher struct {
	requests []*dispatch.Request
	err      error
	// If the channels are set, each request sends on entered and then waits for
	// proceed.
	entered, proceed chan struct{}
}

func (s *stubDispatcher) Serve(_ context.Context, w http.ResponseWriter, r *dispatch.Request) (dispatch.Result, error) {
	if s.entered != nil {
		s.entered <- struct{}{}
		<-s.proceed
	}
	s.requests = append(s.requests, r)
	if err := r.Admit(); err != nil {
		return dispatch.Result{}, err
	}
	if s.err != nil {
		return dispatch.Result{}, s.err
	}
	_, _ = io.WriteString(w, "answer")
	return dispatch.Result{Source: dispatch.SourceRun, Status: 200, Delivered: true, Dispatched: true, Target: "vm/llm"}, nil
}

func (s *stubDispatcher) Resume(_ context.Context, w http.ResponseWriter, _, _ string, _ uint64) (dispatch.Result, error) {
	_, _ = io.WriteString(w, "resumed")
	return dispatch.Result{Source: dispatch.SourceResumed, Status: 200}, nil
}

// exhaustedLimits rejects every request as over the team's limits.
type exhaustedLimits struct{}

func (exhaustedLimits) Allow(string, uint32) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED, "over the limit", "wait").WithRetryAfter(time.Second)
}
func (exhaustedLimits) ChargeOutput(string, uint32) { panic("request was not admitted") }

type fixture struct {
	dispatcher *stubDispatcher
	options    front.Options
	front      *front.Front
	server     *httptest.Server
	logFile    string
}

func testConfig() *schema.Config {
	return &schema.Config{
		Tiers: []*schema.Tier{{Name: "guest", Rank: 0}, {Name: "staff", Rank: 1}, {Name: "batch", Rank: 2}},
		Services: []*schema.Service{
			{Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}, Tier: "batch"},
			{Name: "app", Kind: schema.ServiceKind_SERVICE_KIND_PLAIN, Routes: []*schema.Route{
				{Method: "POST", PathPrefix: "/search", Idempotent: true, Tier: "staff"},
				{PathPrefix: "/charge", Tier: "guest"},
			}},
		},
		Teams: []*schema.Team{
			{Name: "farm", KeyHashes: []string{hashOf(guestKey)}, Tiers: []*schema.TeamTier{{Service: "llm", Tier: "staff"}}},
			{Name: "night", KeyHashes: []string{hashOf("night-key")}},
		},
	}
}

func newFixture(t testing.TB, change func(*front.Options)) *fixture {
	t.Helper()
	x := &fixture{dispatcher: &stubDispatcher{}, logFile: filepath.Join(t.TempDir(), "log")}
	logger, err := logging.New(&schema.LogSettings{File: x.logFile})
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	signer, err := dispatch.NewSigner("")
	if err != nil {
		t.Fatal(err)
	}
	snapshot := topology.Build(testConfig(), nil, topology.Options{})
	x.options = front.Options{
		Settings: &schema.HttpSettings{MaxBodyBytes: 4096, MaxHeaderBytes: 2048,
			ReadTimeout: durationpb.New(5 * time.Second), IdleTimeout: durationpb.New(5 * time.Second)},
		Snapshot:   func() *topology.Snapshot { return snapshot },
		Dispatcher: x.dispatcher,
		Signer:     signer,
		Ready:      func() error { return nil },
		Limits:     front.NoLimits{},
		Telemetry:  metrics,
		Logger:     logger,
	}
	if change != nil {
		change(&x.options)
	}
	x.front = front.New(x.options)
	x.server = httptest.NewUnstartedServer(x.front)
	x.server.Config = x.front.NewServer()
	x.server.Start()
	t.Cleanup(x.server.Close)
	return x
}

// call sends a request with the given headers, each in the form "Name: value".
func (x *fixture) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, x.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+guestKey)
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		req.Header[name] = append(req.Header[name][:0:0], value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

func TestChatRequestIsPrepared(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	resp, text := x.call(t, "POST", "/v1/chat/completions", chatBody, "Idempotency-Key: order-1")
	is.Equal(resp.StatusCode, 200)
	is.Equal(text, "answer")
	r := x.dispatcher.requests[0]
	is.Equal(r.ID, "order-1")
	is.True(r.HasCallerID)
	is.Equal(r.Team, "farm")
	is.Equal(r.Service, "llm")
	is.Equal(r.Tier, uint32(1))
	is.Equal(r.PromptTokens, uint32(5)) // "user\nwhich walk?\n" has 17 bytes.
	is.Equal(r.MaxOutputTokens, uint32(7))
	is.True(strings.Contains(string(r.Body), `"stream":true`))
	x.call(t, "POST", "/v1/chat/completions", "\n"+chatBody, "Idempotency-Key: order-2")
	is.Equal(x.dispatcher.requests[1].Fingerprint, r.Fingerprint)
}

func TestCallerMayOnlyLowerItsTier(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	x.call(t, "POST", "/v1/chat/completions", chatBody, "X-Tier: guest")
	x.call(t, "POST", "/v1/chat/completions", chatBody, "X-Tier: batch")
	x.call(t, "POST", "/v1/chat/completions", chatBody, "Authorization: Bearer night-key")
	x.call(t, "POST", "/services/app/search/x", "", "Authorization: Bearer night-key")
	for i, want := range []uint32{1, 2, 2, 1} {
		is.Equal(x.dispatcher.requests[i].Tier, want)
	}
}

func TestPlainRequestIsClassifiedAndForwarded(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	x.call(t, "PUT", "/services/app/charge/a%2Fb?x=1", "sum", "X-Note: 1", "Connection: X-Drop", "X-Drop: 1")
	x.call(t, "POST", "/services/app/search", "q")
	x.call(t, "GET", "/services/app/lookup", "")
	x.call(t, "GET", "/services/app//charge", "")
	r := x.dispatcher.requests[0]
	is.Equal(r.Path, "/charge/a%2Fb?x=1")
	is.Equal(string(r.Body), "sum")
	is.True(!r.Idempotent)
	is.Equal(r.Header.Get("X-Note"), "1")
	is.Equal(r.Header.Get("X-Drop")+r.Header.Get("Authorization"), "")
	is.True(x.dispatcher.requests[1].Idempotent)
	is.True(x.dispatcher.requests[2].Idempotent)
	is.True(!x.dispatcher.requests[3].Idempotent) // The cleaned path determines the route.
}

func TestNodeGeneratedIDIsNotDispatchedAgain(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	x.call(t, "POST", "/v1/chat/completions", chatBody)
	id := x.dispatcher.requests[0].ID
	is.True(!x.dispatcher.requests[0].HasCallerID)
	resp, text := x.call(t, "POST", "/v1/chat/completions", chatBody, "Idempotency-Key: "+id)
	is.Equal(resp.StatusCode, 409)
	is.True(strings.Contains(text, `"outcome":"unknown"`))
	is.Equal(len(x.dispatcher.requests), 1)
}

func TestModelsHealthReadinessAndMetricsAreServed(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	_, text := x.call(t, "GET", "/v1/models", "")
	var list front.ModelList
	is.NoErr(json.Unmarshal([]byte(text), &list))
	is.Equal(list.Data, []front.Model{{ID: "m", Object: "model", OwnedBy: "llm"}})
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		resp, _ := x.call(t, "GET", path, "")
		is.Equal(resp.StatusCode, 200)
	}
	x.front.BeginDrain()
	resp, _ := x.call(t, "GET", "/readyz", "")
	is.Equal(resp.StatusCode, 503)
	resp, _ = x.call(t, "POST", "/v1/chat/completions", chatBody)
	is.Equal(resp.StatusCode, 200) // Requests are served while draining.
	is.True(resp.Close)
}

func TestRequestsInFlightAreCounted(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	x.dispatcher.entered, x.dispatcher.proceed = make(chan struct{}), make(chan struct{})
	is.Equal(x.front.InFlight(), 0)
	done := make(chan struct{})
	go func() {
		x.call(t, "POST", "/v1/chat/completions", chatBody)
		close(done)
	}()
	<-x.dispatcher.entered
	is.Equal(x.front.InFlight(), 1)
	close(x.dispatcher.proceed)
	<-done
}

func TestEachRequestWritesOneLogLineWithoutSecrets(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	x.call(t, "POST", "/v1/chat/completions", chatBody, "Idempotency-Key: order-1")
	x.call(t, "GET", "/services/app/lookup?guest=niamh", "")
	x.call(t, "POST", "/v1/chat/completions", "{")
	x.server.Close()
	is.NoErr(logging.Close(x.options.Logger))
	text, err := os.ReadFile(x.logFile)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "event=request request_id=order-1 caller_key=true team=farm tier=staff service=llm model=m"))
	is.True(strings.Contains(lines[0], "result=completed status=200 source=run target=vm/llm"))
	is.True(strings.Contains(lines[2], "result=bad-request status=400"))
	for _, secret := range []string{guestKey, "which walk", "niamh"} {
		is.True(!strings.Contains(string(text), secret))
	}
}

func decodeProblem(t *testing.T, resp *http.Response, text string) problem.Details {
	t.Helper()
	var d problem.Details
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		t.Fatalf("status %d, body %q: %v", resp.StatusCode, text, err)
	}
	if got := resp.Header.Get("Content-Type"); got != problem.ContentType {
		t.Errorf("content type %q", got)
	}
	if d.Remedy == "" || d.Title == "" || d.Detail == "" || d.Status != resp.StatusCode {
		t.Errorf("incomplete problem %+v", d)
	}
	return d
}
