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
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	// maxAnswerBytes limits the bytes read of one answer.
	maxAnswerBytes = 16 << 20
	// bytesPerToken is the number of bytes generated for each prompt token.
	bytesPerToken = 4
)

// exchange is one request in flight and its answer.
type exchange struct {
	player *Player
	id     string
	// scheduled is the time at which the trace sends the request.
	scheduled time.Time
	result    trace.Result
	text      strings.Builder
	// lastToken is the arrival time of the last token; zero before the first.
	lastToken time.Time
}

// send sends one request and reads its answer.
func (p *Player) send(ctx context.Context, q trace.Request, start time.Time) trace.Result {
	x := &exchange{player: p, id: p.options.RunID + q.ID, scheduled: start.Add(time.Duration(q.At) * time.Millisecond)}
	x.result = trace.Result{Request: q, Ending: trace.EndingBroken, Sent: time.Since(start), Late: time.Since(x.scheduled)}
	if p.options.AnswerTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.options.AnswerTimeout)
		defer cancel()
	}
	if err := x.run(ctx); err != nil && x.result.Error == "" {
		x.result.Error = transportErrorKind(err)
	}
	x.result.Total = time.Since(x.scheduled)
	return x.result
}

// transportErrorKind returns the error kind of a request whose answer could not
// be read to its end or could not be decoded.
func transportErrorKind(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no-answer-in-time"
	}
	return "connection-broken"
}

func (x *exchange) run(ctx context.Context) error {
	request, err := x.newRequest(ctx)
	if err != nil {
		return err
	}
	response, err := x.player.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	x.result.Status = response.StatusCode
	if id := response.Header.Get(headerIdempotencyKey); id != "" {
		// A request without a key gets its id from the node.
		x.id = id
	}
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return x.readProblem(body)
	case x.result.Request.Kind == trace.KindCall:
		return x.readCall(body)
	case x.result.Request.Stream:
		return x.readStream(body)
	default:
		return x.readCompletion(body)
	}
}

func (x *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	q := x.result.Request
	method, path, body := q.Method, "/services/"+q.Service+q.Path, strings.Repeat("b", q.BodyBytes)
	if body == "" && method != http.MethodGet && method != http.MethodHead {
		body = "{}"
	}
	if q.Kind == trace.KindChat {
		method, path, body = http.MethodPost, "/v1/chat/completions", chatBody(q, x.id)
	}
	request, err := http.NewRequestWithContext(ctx, method, x.player.nextURL()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send a request again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+x.player.options.Key(q.Team))
	if q.Keyed {
		request.Header.Set(headerIdempotencyKey, x.id)
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
		messages = append(messages, message{"system", fillerText(q.Prefix, q.PrefixTokens)})
	}
	messages = append(messages, message{"user", fillerText(id, q.PromptTokens-q.PrefixTokens)})
	body, err := json.Marshal(chatRequest{Model: q.Model, Messages: messages, MaxTokens: q.MaxTokens, Stream: q.Stream})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return string(body)
}

// fillerText returns text of about n tokens. It repeats the name, so that texts
// of different names differ from the first word on.
func fillerText(name string, n int) string {
	size := max(1, n) * bytesPerToken
	text := strings.Repeat(name+" ", size/(len(name)+1)+1)
	return text[:size]
}

// readProblem reads a typed error.
func (x *exchange) readProblem(body io.Reader) error {
	var details problem.Details
	x.result.Ending = trace.EndingRefused
	if err := json.NewDecoder(body).Decode(&details); err != nil {
		x.result.Error = fmt.Sprintf("status-%d", x.result.Status)
		return nil
	}
	x.recordError(details)
	return nil
}

// recordError records the kind and outcome of a typed error.
func (x *exchange) recordError(details problem.Details) {
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

// callResponse is the answer of the stand-in service to a call.
type callResponse struct {
	RequestID string `json:"request_id"`
	Run       int    `json:"run"`
}

// readCall reads the answer to a call.
func (x *exchange) readCall(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	x.result.FirstToken = time.Since(x.scheduled)
	x.result.Ending = trace.EndingAnswer
	var answer callResponse
	_ = json.Unmarshal(raw, &answer) // Only the stand-in service reports runs.
	x.result.Runs = answer.Run
	x.result.Complete = answer.RequestID == "" || answer.RequestID == x.id
	return nil
}
