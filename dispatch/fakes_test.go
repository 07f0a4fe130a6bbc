package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/schema"
)

// fakeEngine produces a numbered stream for each request. hook can change how a
// connection is served.
type fakeEngine struct {
	server *httptest.Server
	tokens int
	// hook is called before each event of each connection; connections and
	// events are numbered from 1, and event 0 precedes the response header. It
	// may break the connection by panicking with http.ErrAbortHandler.
	hook func(connection, event int, w http.ResponseWriter, r *http.Request)

	mu          sync.Mutex
	startedIDs  []string
	streams     map[string]string
	connections int
	cancelled   chan string
}

func newFakeEngine(t *testing.T, tokens int) *fakeEngine {
	e := &fakeEngine{tokens: tokens, streams: make(map[string]string), cancelled: make(chan string, 64)}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.start).Methods("POST")
	router.HandleFunc("/v1/streams/{id}", e.resume).Methods("GET")
	router.HandleFunc("/v1/streams/{id}", e.cancel).Methods("DELETE")
	e.server = httptest.NewServer(router)
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) address() string { return e.server.Listener.Addr().String() }

func (e *fakeEngine) started() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.startedIDs...)
}

func (e *fakeEngine) start(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engine.HeaderRequestID)
	e.mu.Lock()
	e.startedIDs = append(e.startedIDs, id)
	e.streams["s-"+id] = id
	e.mu.Unlock()
	e.serve(w, r, "s-"+id, 0)
}

func (e *fakeEngine) resume(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	id := mux.Vars(r)["id"]
	e.mu.Lock()
	_, ok := e.streams[id]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown", http.StatusNotFound)
		return
	}
	e.serve(w, r, id, after)
}

func (e *fakeEngine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.cancelled <- mux.Vars(r)["id"]
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request, stream string, after int) {
	e.mu.Lock()
	e.connections++
	connection := e.connections
	id := e.streams[stream]
	e.mu.Unlock()
	if e.hook != nil {
		e.hook(connection, 0, w, r)
	}
	if w.Header().Get(engine.HeaderNotStarted) != "" {
		return // The hook refused the request.
	}
	w.Header().Set(engine.HeaderStreamID, stream)
	for i := after + 1; i <= e.tokens+1; i++ {
		if e.hook != nil {
			e.hook(connection, i, w, r)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.chunk(id, i))
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *fakeEngine) chunk(id string, event int) string {
	if event <= e.tokens {
		return fmt.Sprintf(`{"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"%s:%d "},"finish_reason":null}]}`, id, event)
	}
	return fmt.Sprintf(`{"id":"c","model":"m","choices":[{"index":0,"delta":{},"finish_reason":"length"}],`+
		`"usage":{"prompt_tokens":11,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":4}}}`, e.tokens)
}

func (e *fakeEngine) text(id string) string {
	var b strings.Builder
	for i := 1; i <= e.tokens; i++ {
		fmt.Fprintf(&b, "%s:%d ", id, i)
	}
	return b.String()
}

// fakePermits always grants the same address and records the returned permits.
type fakePermits struct {
	address  string
	validFor time.Duration
	err      error

	mu       sync.Mutex
	granted  int
	returned []*schema.PermitReturn
}

func (p *fakePermits) Acquire(context.Context, *schema.PermitRequest) (*schema.Permit, error) {
	if p.err != nil {
		return nil, p.err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted++
	return &schema.Permit{Number: uint64(p.granted), Target: "vm/llm", Group: "llm/a/0",
		Address: p.address, ValidFor: durationpb.New(p.validFor)}, nil
}

func (p *fakePermits) Return(r *schema.PermitReturn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned = append(p.returned, r)
}

func (p *fakePermits) results() []schema.PermitResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	var results []schema.PermitResult
	for _, r := range p.returned {
		results = append(results, r.GetResult())
	}
	return results
}

// fakeClaims is an in-memory ledger shared by several dispatchers.
type fakeClaims struct {
	// err, if set, is returned by every claim.
	err     error
	mu      sync.Mutex
	entries map[string]*schema.ClaimReply
	changed chan struct{}
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{entries: make(map[string]*schema.ClaimReply), changed: make(chan struct{}, 64)}
}

func (c *fakeClaims) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	if c.err != nil {
		return nil, c.err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.entries[r.GetRequestId()]; ok {
		return entry, nil
	}
	c.entries[r.GetRequestId()] = &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_RUNNING}
	return &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_NEW}, nil
}

// forget replaces the entry by one with an unknown state, as at a new owner that
// lacks the previous owner's in-memory state.
func (c *fakeClaims) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id] = &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_UNKNOWN}
}

func (c *fakeClaims) Finish(_ context.Context, r *schema.FinishRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.GetNotRun() {
		delete(c.entries, r.GetRequestId())
	} else {
		c.entries[r.GetRequestId()] = &schema.ClaimReply{State: r.GetState(), Target: r.GetTarget(),
			Address: r.GetAddress(), StreamId: r.GetStreamId(), Outcome: r.GetOutcome()}
	}
	c.changed <- struct{}{}
	return nil
}

func newDispatcher(permits dispatch.Permits, claims dispatch.Claims) *dispatch.Dispatcher {
	signer, _ := dispatch.NewSigner("c2hhcmVk")
	return dispatch.New(dispatch.Options{Node: "n1", Permits: permits, Claims: claims,
		Engine: engine.NewClient(engine.Options{}), Signer: signer, MaxStoredOutcome: 1 << 16,
		StallTimeout: 200 * time.Millisecond})
}

func chatRequest(id string, stream bool) *dispatch.Request {
	return &dispatch.Request{ID: id, Team: "drumlin", Service: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE,
		Model: "m", Idempotent: true, Body: []byte(`{"stream":true}`), Stream: stream, PromptTokens: 10,
		Arrived: time.Now(), Deadline: 10 * time.Second}
}
