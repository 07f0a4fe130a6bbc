// Package caller sends requests as a team's program does, and writes down
// what it sent and received. It never retries by itself.
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

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 4 << 20

// Call is one request to be sent.
type Call struct {
	history.Request
	// URL is the base URL of the entry.
	URL string
	// Key is the team's bearer key.
	Key string
	// Deadline is the time allowed to the first token; zero leaves it to the
	// entry.
	Deadline time.Duration
	// Model and Prompt are those of a chat; Body is that of a plain call.
	Model  string
	Prompt string
	Body   string
}

// Caller sends calls.
type Caller struct {
	history *history.Writer
	client  *http.Client
}

// New returns a caller that writes to the history. Each attempt uses a
// connection of its own, so that nothing below it sends a request again.
func New(h *history.Writer) *Caller {
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Caller{history: h, client: &http.Client{Transport: transport}}
}

const dialTimeout = 2 * time.Second

// Headers between callers and entries.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
)

// Send sends the call once and returns what came back. The error concerns the
// history only.
func (c *Caller) Send(ctx context.Context, call Call) (history.Response, error) {
	attempt, err := c.history.Sent(call.Request)
	if err != nil {
		return history.Response{}, err
	}
	response := c.exchange(ctx, call)
	if ctx.Err() != nil && response.Result == history.ResultBroken {
		response.Result = history.ResultAbandoned
	}
	return response, c.history.Received(attempt, response)
}

func (c *Caller) exchange(ctx context.Context, call Call) history.Response {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return history.Response{Result: history.ResultUnreachable, Problem: err.Error()}
	}
	started := time.Now()
	answer, err := c.client.Do(request)
	if err != nil {
		if connected.Load() {
			return history.Response{Result: history.ResultBroken, Problem: err.Error()}
		}
		return history.Response{Result: history.ResultUnreachable, Problem: err.Error()}
	}
	defer answer.Body.Close()
	response := readWhole
	if call.Stream && answer.StatusCode == http.StatusOK {
		response = readStream
	}
	r := response(answer, call.Chat, started)
	if r.RequestID == "" {
		r.RequestID = answer.Header.Get(headerKey)
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
		request.Header.Set(headerKey, call.ID)
	}
	if call.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

// problem is the part of a typed error that a caller reads (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	// RequestID names the request that the error concerns.
	RequestID string `json:"request_id"`
}

// name returns the kind, or the last part of the type.
func (p problem) name() string {
	if p.Kind != "" {
		return p.Kind
	}
	parts := strings.FieldsFunc(p.Type, func(r rune) bool { return r == '/' || r == ':' || r == '#' })
	if len(parts) == 0 {
		return ""
	}
	return parts[len(parts)-1]
}

func (p problem) response(status int, text string) history.Response {
	return history.Response{
		Result:    history.ResultRefused,
		Status:    status,
		Problem:   p.name(),
		Outcome:   p.Outcome,
		RequestID: p.RequestID,
		Text:      text,
	}
}

func readWhole(answer *http.Response, chat bool, _ time.Time) history.Response {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return history.Response{Result: history.ResultBroken, Status: answer.StatusCode, Problem: err.Error()}
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		var p problem
		if json.Unmarshal(body, &p) != nil {
			p = problem{Kind: "untyped"}
		}
		return p.response(answer.StatusCode, "")
	}
	r := history.Response{Result: history.ResultAnswer, Status: answer.StatusCode, Text: string(body)}
	if chat {
		r.Text = wholeText(body)
	}
	return r
}
