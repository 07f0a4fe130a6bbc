package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/trace"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 16 << 20
	// bytesPerToken is the length of a word of a generated prompt.
	bytesPerToken = 4
)

// exchange is one request under way.
type exchange struct {
	player *Player
	id     string
	// due is the moment at which the trace asks for the request.
	due    time.Time
	result trace.Result
	text   strings.Builder
	last   time.Time
}

// send sends one request and reads its answer.
func (p *Player) send(ctx context.Context, q trace.Request, began time.Time) trace.Result {
	x := &exchange{player: p, id: p.options.RunID + q.ID, due: began.Add(time.Duration(q.At) * time.Millisecond)}
	x.result = trace.Result{Request: q, Ending: trace.EndingBroken, Sent: time.Since(began), Late: time.Since(x.due)}
	if p.options.AnswerTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.options.AnswerTimeout)
		defer cancel()
	}
	if err := x.run(ctx); err != nil && x.result.Error == "" {
		x.result.Error = brokenKind(err)
	}
	x.result.Total = time.Since(x.due)
	return x.result
}

func brokenKind(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no-answer-in-time"
	}
	return "connection-broken"
}

func (x *exchange) run(ctx context.Context) error {
	request, err := x.request(ctx)
	if err != nil {
		return err
	}
	response, err := x.player.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	x.result.Status = response.StatusCode
	if id := response.Header.Get(headerKey); id != "" {
		// The node names a request without a key.
		x.id = id
	}
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return x.problem(body)
	case x.result.Request.Kind == trace.KindCall:
		return x.call(body)
	case x.result.Request.Stream:
		return x.stream(body)
	default:
		return x.whole(body)
	}
}

func (x *exchange) request(ctx context.Context) (*http.Request, error) {
	q := x.result.Request
	method, path, body := q.Method, "/services/"+q.Service+q.Path, strings.Repeat("b", q.BodyBytes)
	if body == "" && method != http.MethodGet && method != http.MethodHead {
		body = "{}"
	}
	if q.Kind == trace.KindChat {
		method, path, body = http.MethodPost, "/v1/chat/completions", chatBody(q, x.id)
	}
	request, err := http.NewRequestWithContext(ctx, method, x.player.url()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send a request again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+x.player.options.Key(q.Team))
	if q.Keyed {
		request.Header.Set(headerKey, x.id)
	}
	if q.Deadline > 0 {
		request.Header.Set(headerDeadline, fmt.Sprint(q.Deadline))
	}
	return request, nil
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is a chat completion request.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// chatBody returns a request whose prompt begins with the shared prefix.
func chatBody(q trace.Request, id string) string {
	var messages []message
	if q.PrefixTokens > 0 {
		messages = append(messages, message{"system", filler(q.Prefix, q.PrefixTokens)})
	}
	messages = append(messages, message{"user", filler(id, q.PromptTokens-q.PrefixTokens)})
	body, err := json.Marshal(chatRequest{Model: q.Model, Messages: messages, MaxTokens: q.MaxTokens, Stream: q.Stream})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return string(body)
}

// filler returns text of about n tokens that differs from the first one on
// between names.
func filler(name string, n int) string {
	size := max(1, n) * bytesPerToken
	text := strings.Repeat(name+" ", size/(len(name)+1)+1)
	return text[:size]
}

// problem reads a typed error.
func (x *exchange) problem(body io.Reader) error {
	var details problem.Details
	x.result.Ending = trace.EndingRefused
	if err := json.NewDecoder(body).Decode(&details); err != nil {
		x.result.Error = fmt.Sprintf("status-%d", x.result.Status)
		return nil
	}
	x.fail(details)
	return nil
}

func (x *exchange) fail(details problem.Details) {
	x.result.Error = details.Kind
	switch details.Outcome {
	case "not_run":
		x.result.Ending = trace.EndingNotRun
	case "unknown":
		x.result.Ending = trace.EndingUnknown
	default:
		x.result.Ending = trace.EndingRefused
	}
}

// callAnswer is what the stand-in service answers.
type callAnswer struct {
	RequestID string `json:"request_id"`
	Run       int    `json:"run"`
}

func (x *exchange) call(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	x.result.FirstToken = time.Since(x.due)
	x.result.Ending = trace.EndingAnswer
	var answer callAnswer
	_ = json.Unmarshal(raw, &answer) // Another service's answer says nothing of runs.
	x.result.Runs = answer.Run
	x.result.Whole = answer.RequestID == "" || answer.RequestID == x.id
	return nil
}
