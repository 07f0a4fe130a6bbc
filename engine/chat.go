// Package engine holds the adapters to targets: engines that speak the OpenAI
// chat format as server-sent events, with resumable and cancellable streams,
// and plain HTTP services. A request is sent at most once; errors report whether
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
	// maxErrorBodyBytes limits how much of an error response's body is read.
	maxErrorBodyBytes = 4 << 10
)

// StatusError is a target's response with an error status; to a request for a
// stream that is any status other than 200.
type StatusError struct {
	Status int
	// NotStarted is true if the target declared that it did not start the request.
	NotStarted bool
	RetryAfter time.Duration
	// Message is the beginning of the response body. It may contain what the caller
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
	// ID identifies the stream at its target.
	ID     string
	body   io.ReadCloser
	events *EventReader
}

// Next returns the stream's next event.
func (s *Stream) Next() (Event, error) {
	return s.events.Next()
}

// Buffered reports whether received bytes of the stream are waiting to be parsed.
func (s *Stream) Buffered() bool {
	return s.events.reader.Buffered() > 0
}

// Interrupt makes a blocked Next fail. Unlike the other methods, it may be called
// from any goroutine.
func (s *Stream) Interrupt() {
	// The read that this interrupts returns the relevant error.
	_ = s.body.Close()
}

// Close stops reading. The stream continues at the engine until it is cancelled.
// Close may be called more than once.
func (s *Stream) Close() {
	// Closing a body before its end only prevents reuse of its connection.
	_ = s.body.Close()
	if s.events != nil {
		s.events.release()
		s.events = nil
	}
}

// ChatCall is a chat completion request to one target.
type ChatCall struct {
	Address   string
	RequestID string
	// Body is a chat completion request with stream set to true.
	Body []byte
	// NotAfter is the latest time to send the first byte; zero means no limit.
	NotAfter time.Time
}

// StartChat sends a chat completion request. The error is a *SendError, a
// *StatusError, or a *fault.Error if the response is for another request id.
func (c *Client) StartChat(ctx context.Context, call ChatCall) (*Stream, error) {
	req, err := newRequest(ctx, http.MethodPost, call.Address, chatPath, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, call.RequestID)
	stream, echoedID, err := c.openStream(req, call.NotAfter)
	if err != nil {
		return nil, err
	}
	if echoedID != "" && echoedID != call.RequestID {
		stream.Close()
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_TARGET_FAILED,
			"target answered another request", "check the target's engine").WithOutcomeUnknown()
	}
	return stream, nil
}

// ResumeChat reads an existing stream from the event that follows the event with
// index after; 0 reads it from the start.
func (c *Client) ResumeChat(ctx context.Context, address, streamID string, after uint64) (*Stream, error) {
	path := streamPath + url.PathEscape(streamID) + "?after=" + strconv.FormatUint(after, 10)
	req, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "text/event-stream")
	stream, _, err := c.openStream(req, time.Time{})
	if err != nil {
		return nil, err
	}
	if stream.ID == "" {
		stream.ID = streamID
	}
	return stream, nil
}

// CancelChat cancels a stream at the engine. A stream that is unknown to the
// engine counts as cancelled.
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

// openStream sends a request for a stream. It returns the stream and the request
// id that the target echoed, if any.
func (c *Client) openStream(req *http.Request, notAfter time.Time) (*Stream, string, error) {
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, singleUseBody(body))
	if err != nil {
		return nil, &SendError{Address: address, Err: err}
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

func statusError(resp *http.Response) *StatusError {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &StatusError{
		Status:     resp.StatusCode,
		NotStarted: notStarted(resp),
		RetryAfter: retryAfter(resp.Header),
		Message:    string(message),
	}
}

// notStarted reports whether the target rejected the request before it started
// it.
func notStarted(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderNotStarted) == "true"
}

// retryAfter returns the delay in a Retry-After header given in seconds, or 0.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
