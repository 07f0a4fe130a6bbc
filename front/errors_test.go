package front_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/front"
	"github.com/primrosemoor/primrosemoor/schema"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestBadInput covers every row of the table in docs/operators/errors.md that a
// caller can cause with one request.
func TestBadInput(t *testing.T) {
	const chat = "/v1/chat/completions"
	long := strings.Repeat("x", 5000)
	for _, c := range []struct {
		name         string
		method, path string
		body         string
		header       string
		status       int
		kind         string
	}{
		{"no key", "POST", chat, chatBody, "Authorization: ", 401, "unauthenticated"},
		{"wrong key", "POST", chat, chatBody, "Authorization: Bearer wrong", 401, "unauthenticated"},
		{"other scheme", "POST", chat, chatBody, "Authorization: Basic Z3Vlc3Q=", 401, "unauthenticated"},
		{"no key for models", "GET", "/v1/models", "", "Authorization: ", 401, "unauthenticated"},
		{"no key for service", "GET", "/services/app/x", "", "Authorization: ", 401, "unauthenticated"},
		{"no key for resume", "GET", "/v1/streams/resume", "", "Authorization: ", 401, "unauthenticated"},
		{"empty body", "POST", chat, "", "", 400, "bad-request"},
		{"no JSON", "POST", chat, "{", "", 400, "bad-request"},
		{"JSON list", "POST", chat, "[]", "", 400, "bad-request"},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, "", 400, "bad-request"},
		{"no messages", "POST", chat, `{"model":"m"}`, "", 400, "bad-request"},
		{"content is a number", "POST", chat, `{"model":"m","messages":[{"content":1}]}`, "", 400, "bad-request"},
		{"negative max_tokens", "POST", chat, `{"model":"m","messages":[{"content":""}],"max_tokens":-1}`, "", 400, "bad-request"},
		{"unknown model", "POST", chat, `{"model":"z","messages":[{"content":"x"}]}`, "", 404, "not-found"},
		{"long body", "POST", chat, long, "", 413, "body-too-large"},
		{"long header", "POST", chat, chatBody, "X-Long: " + strings.Repeat("h", 3000), 431, "header-too-large"},
		{"deadline is no number", "POST", chat, chatBody, "X-Deadline-Ms: soon", 400, "bad-request"},
		{"deadline is zero", "POST", chat, chatBody, "X-Deadline-Ms: 0", 400, "bad-request"},
		{"deadline beyond an hour", "POST", chat, chatBody, "X-Deadline-Ms: 3600001", 400, "bad-request"},
		{"unknown tier", "POST", chat, chatBody, "X-Tier: royal", 400, "bad-request"},
		{"key with a space", "POST", chat, chatBody, "Idempotency-Key: a b", 400, "bad-request"},
		{"empty idempotency key", "POST", chat, chatBody, "Idempotency-Key: ", 400, "bad-request"},
		{"long idempotency key", "POST", chat, chatBody, "Idempotency-Key: " + strings.Repeat("k", 256), 400, "bad-request"},
		{"forged node key", "POST", chat, chatBody, "Idempotency-Key: pm1-x-00", 400, "bad-request"},
		{"unknown service", "GET", "/services/none/x", "", "", 404, "not-found"},
		{"engine as a plain service", "GET", "/services/llm/x", "", "", 404, "not-found"},
		{"dot segments", "POST", "/services/app/search/../charge", "", "", 400, "bad-request"},
		{"escaped dot segments", "POST", "/services/app/search/%2e%2e/charge", "", "", 400, "bad-request"},
		{"resume without ticket", "GET", "/v1/streams/resume", "", "", 400, "bad-request"},
		{"resume after no number", "GET", "/v1/streams/resume", "", "Last-Event-ID: x", 400, "bad-request"},
		{"unknown path", "GET", "/nothing", "", "", 404, "not-found"},
		{"unknown method", "DELETE", chat, "", "", 404, "not-found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t, nil)
			headers := []string{}
			if c.header != "" {
				headers = append(headers, c.header)
			}
			if strings.HasPrefix(c.header, "Last-Event-ID") {
				headers = append(headers, "X-Stream-Ticket: x")
			}
			resp, text := x.call(t, c.method, c.path, c.body, headers...)
			d := decodeProblem(t, resp, text)
			is.Equal(d.Status, c.status)
			is.Equal(d.Kind, c.kind)
			is.Equal(d.Outcome, "not_run")
			is.Equal(len(x.dispatcher.requests), 0)
		})
	}
}

func TestDispatcherErrorsReachTheCaller(t *testing.T) {
	for _, c := range []struct {
		kind   schema.ErrorKind
		status int
	}{
		{schema.ErrorKind_ERROR_KIND_OVERLOADED, 503},
		{schema.ErrorKind_ERROR_KIND_DEADLINE, 504},
		{schema.ErrorKind_ERROR_KIND_NO_TARGET, 503},
		{schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, 503},
		{schema.ErrorKind_ERROR_KIND_IN_PROGRESS, 409},
		{schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED, 409},
		{schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, 409},
		{schema.ErrorKind_ERROR_KIND_KEY_REUSED, 422},
		{schema.ErrorKind_ERROR_KIND_KEY_EXPIRED, 409},
		{schema.ErrorKind_ERROR_KIND_QUARANTINED, 422},
		{schema.ErrorKind_ERROR_KIND_TARGET_FAILED, 502},
	} {
		is := is.New(t)
		x := newFixture(t, nil)
		x.dispatcher.err = fault.New(c.kind, "message", "remedy").WithOutcomeUnknown().WithRetryAfter(2 * time.Second)
		resp, text := x.call(t, "POST", "/v1/chat/completions", chatBody)
		d := decodeProblem(t, resp, text)
		is.Equal(d.Status, c.status)
		is.Equal(d.Outcome, "unknown")
		is.Equal(resp.Header.Get("Retry-After"), "2")
		is.True(resp.Header.Get("Idempotency-Key") != "")
	}
}

func TestTeamOverItsLimitsReturns429(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, func(o *front.Options) { o.Limits = exhaustedLimits{} })
	resp, text := x.call(t, "POST", "/v1/chat/completions", chatBody)
	is.Equal(decodeProblem(t, resp, text).Kind, "limit-exceeded")
	is.Equal(resp.StatusCode, 429)
	is.Equal(resp.Header.Get("Retry-After"), "1")
}

func TestReadyzReportsWhyTheNodeIsNotReady(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, func(o *front.Options) {
		o.Ready = func() error {
			return fault.New(schema.ErrorKind_ERROR_KIND_ISOLATED, "node sees no peers", "check its links")
		}
	})
	resp, text := x.call(t, "GET", "/readyz", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(decodeProblem(t, resp, text).Kind, "isolated")
}

// exchangeRaw sends raw bytes on a new connection and reads the response.
func exchangeRaw(t *testing.T, x *fixture, text string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestBodyReadTimeoutReturns408(t *testing.T) {
	for key, outcome := range map[string]string{"": "not_run", "Idempotency-Key: k\r\n": "unknown"} {
		is := is.New(t)
		x := newFixture(t, func(o *front.Options) { o.Settings.ReadTimeout = durationpb.New(50 * time.Millisecond) })
		resp, text := exchangeRaw(t, x, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"+
			"Authorization: Bearer %s\r\n%sContent-Length: 10\r\n\r\n{", guestKey, key))
		is.Equal(resp.StatusCode, 408)
		d := decodeProblem(t, resp, text)
		is.Equal(d.Kind, "timeout")
		is.Equal(d.Outcome, outcome)
	}
}

func TestChunkedBodyOverTheLimitReturns413(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, nil)
	chunk := fmt.Sprintf("1388\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 0x1388))
	resp, text := exchangeRaw(t, x, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"+
		"Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", guestKey, chunk))
	is.Equal(resp.StatusCode, 413)
	is.Equal(decodeProblem(t, resp, text).Kind, "body-too-large")
}
