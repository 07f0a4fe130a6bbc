// Package caller is the HTTP client of a simulated team. It records the requests
// that it sends and the responses that it receives in a history, and never
// retries.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
)

// maxResponseBytes is the maximum number of bytes read of a response body, and of
// one line of a stream.
const maxResponseBytes = 4 << 20

// Call is one request to send.
type Call struct {
	history.Request
	// URL is the base URL of the entry node.
	URL string
	// Key is the team's API key, sent as bearer token.
	Key string
	// Deadline is the maximum time to the first token; zero means that the entry
	// node decides.
	Deadline time.Duration
	// Model and Prompt are set for a chat completion, Body for any other request.
	Model  string
	Prompt string
	Body   string
}

// Caller sends calls.
type Caller struct {
	history *history.Writer
	client  *http.Client
}

// New returns a caller that writes to the history. Each attempt uses a new
// connection, because net/http may retry requests on reused connections.
func New(h *history.Writer) *Caller {
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Caller{history: h, client: &http.Client{Transport: transport}}
}

const dialTimeout = 2 * time.Second

// Request headers that entry nodes read.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
)

// Send sends the call once and returns the response. The error is non-nil only
// if writing the history failed.
func (c *Caller) Send(ctx context.Context, call Call) (history.Response, error) {
	attempt, err := c.history.Sent(call.Request)
	if err != nil {
		return history.Response{}, err
	}
	response := c.roundTrip(ctx, call)
	if ctx.Err() != nil && response.Result == history.ResultBroken {
		response.Result = history.ResultAbandoned
	}
	return response, c.history.Received(attempt, response)
}

func (c *Caller) roundTrip(ctx context.Context, call Call) history.Response {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return history.Response{Result: history.ResultUnreachable, Problem: err.Error()}
	}
	started := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		if connected.Load() {
			return history.Response{Result: history.ResultBroken, Problem: err.Error()}
		}
		return history.Response{Result: history.ResultUnreachable, Problem: err.Error()}
	}
	defer response.Body.Close()
	read := readFull
	if call.Stream && response.StatusCode == http.StatusOK {
		read = readStream
	}
	r := read(response, call.Chat, started)
	if r.RequestID == "" {
		r.RequestID = response.Header.Get(headerIdempotencyKey)
	}
	return r
}

// chatBody is a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body := []byte(call.Body)
	if call.Chat {
		var err error
		body, err = json.Marshal(chatBody{
			Model:     call.Model,
			Messages:  []chatMessage{{Role: "user", Content: call.Prompt}},
			MaxTokens: call.MaxTokens,
			Stream:    call.Stream,
		})
		if err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+call.Key)
	if call.ID != "" {
		request.Header.Set(headerIdempotencyKey, call.ID)
	}
	if call.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

// problem holds the fields of a problem details object (RFC 9457) that the
// caller reads.
type problem struct {
	Type    string `json:"type"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	// RequestID is the id of the failed request.
	RequestID string `json:"request_id"`
}

// kindName returns the kind or, if there is none, the last segment of the type.
func (p problem) kindName() string {
	if p.Kind != "" {
		return p.Kind
	}
	parts := strings.FieldsFunc(p.Type, func(r rune) bool { return r == '/' || r == ':' || r == '#' })
	if len(parts) == 0 {
		return ""
	}
	return parts[len(parts)-1]
}

func (p problem) toResponse(status int, text string) history.Response {
	return history.Response{
		Result:    history.ResultRefused,
		Status:    status,
		Problem:   p.kindName(),
		Outcome:   p.Outcome,
		RequestID: p.RequestID,
		Text:      text,
	}
}

func readFull(response *http.Response, chat bool, _ time.Time) history.Response {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return history.Response{Result: history.ResultBroken, Status: response.StatusCode, Problem: err.Error()}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var p problem
		if json.Unmarshal(body, &p) != nil {
			p = problem{Kind: "untyped"}
		}
		return p.toResponse(response.StatusCode, "")
	}
	r := history.Response{Result: history.ResultAnswer, Status: response.StatusCode, Text: string(body)}
	if chat {
		r.Text = completionText(body)
	}
	return r
}
