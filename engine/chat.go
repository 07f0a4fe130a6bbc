// Package engine holds the adapters to targets: engines that speak the OpenAI
// chat format as server-sent events, with resumable and cancellable streams,
// and plain HTTP services. A request is sent at most once; errors tell whether
// any byte of it may have reached the target.
package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Headers between nodes and targets.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderStreamID   = "X-Stream-Id"
	HeaderNotStarted = "X-Not-Started"
)

const (
	chatPath   = "/v1/chat/completions"
	streamPath = "/v1/streams/"
	// maxRefusalBytes bounds what is read of a refusal's body.
	maxRefusalBytes = 4 << 10
)

// StatusError is a target's answer with a status other than 200.
type StatusError struct {
	Status int
	// NotStarted says that the target stated that it did not start the request.
	NotStarted bool
	RetryAfter time.Duration
	// Message is the start of the answer's body. It may repeat what the caller
	// sent, so it is not part of the error's text.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered %d", e.Status)
}

// Stream is one running chat completion. Its methods are not safe for
// concurrent use.
type Stream struct {
	// ID names the stream at its target.
	ID     string
	body   io.ReadCloser
	events *EventReader
}

// Next returns the stream's next event.
func (s *Stream) Next() (Event, error) {
	return s.events.Next()
}

// Buffered reports whether more of the stream has been received already.
func (s *Stream) Buffered() bool {
	return s.events.reader.Buffered() > 0
}

// Interrupt makes a waiting Next fail. It may be called by any goroutine.
func (s *Stream) Interrupt() {
	// The next read reports what matters.
	_ = s.body.Close()
}

// Close stops reading; the stream goes on at the engine until it is cancelled.
// It may be called twice.
func (s *Stream) Close() {
	// An unread body only costs its connection.
	_ = s.body.Close()
	if s.events != nil {
		s.events.release()
		s.events = nil
	}
}

// ChatCall is a chat completion to be sent to one target.
type ChatCall struct {
	Address   string
	RequestID string
	// Body is a chat completion request that asks for a streamed answer.
	Body []byte
	// NotAfter is the latest time to send the first byte; zero sets no bound.
	NotAfter time.Time
}

// StartChat sends a chat completion. The error is a *SendError, a
// *StatusError, or a typed error if the answer is not for this request.
func (c *Client) StartChat(ctx context.Context, call ChatCall) (*Stream, error) {
	req, err := newRequest(ctx, http.MethodPost, call.Address, chatPath, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, call.RequestID)
	stream, answered, err := c.open(req, call.NotAfter)
	if err != nil {
		return nil, err
	}
	if answered != "" && answered != call.RequestID {
		stream.Close()
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_TARGET_FAILED,
			"target answered another request", "check the target's engine").Unknown()
	}
	return stream, nil
}

// ResumeChat reads a stream again, from the event that follows after; 0 reads
// it from the start.
func (c *Client) ResumeChat(ctx context.Context, address, streamID string, after uint64) (*Stream, error) {
	path := streamPath + url.PathEscape(streamID) + "?after=" + strconv.FormatUint(after, 10)
	req, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "text/event-stream")
	stream, _, err := c.open(req, time.Time{})
	if err != nil {
		return nil, err
	}
	if stream.ID == "" {
		stream.ID = streamID
	}
	return stream, nil
}

// CancelChat ends a stream at the engine. A stream that the engine no longer
// knows counts as cancelled.
func (c *Client) CancelChat(ctx context.Context, address, streamID string) error {
	req, err := newRequest(ctx, http.MethodDelete, address, streamPath+url.PathEscape(streamID), nil)
	if err != nil {
		return err
	}
	resp, err := c.send(req, time.Time{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusNotFound {
		return statusError(resp)
	}
	return nil
}

// open sends a request for a stream and returns it with the request id that
// the target states.
func (c *Client) open(req *http.Request, notAfter time.Time) (*Stream, string, error) {
	resp, err := c.send(req, notAfter)
	if err != nil {
		return nil, "", err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, "", statusError(resp)
	}
	stream := &Stream{
		ID:     resp.Header.Get(HeaderStreamID),
		body:   resp.Body,
		events: NewEventReader(resp.Body),
	}
	return stream, resp.Header.Get(HeaderRequestID), nil
}

func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, onceBody(body))
	if err != nil {
		return nil, &SendError{Address: address, Err: err}
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

func statusError(resp *http.Response) *StatusError {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return &StatusError{
		Status:     resp.StatusCode,
		NotStarted: notStarted(resp),
		RetryAfter: retryAfter(resp.Header),
		Message:    string(message),
	}
}

// notStarted reports whether the target refused the request before starting
// it.
func notStarted(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderNotStarted) == "true"
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
