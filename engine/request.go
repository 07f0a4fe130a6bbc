package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ChatRequest is the part of a chat completion request that routing reads.
type ChatRequest struct {
	Model               string
	Messages            []Message
	Stream              bool
	StreamOptions       *StreamOptions
	MaxTokens           uint32
	MaxCompletionTokens uint32

	object fields
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of the prompt.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a message's text, given as a string or as parts.
type Content string

type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON accepts a string, null, or a list of parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		var parts []contentPart
		if err := json.Unmarshal(data, &parts); err != nil {
			return err
		}
		var text []byte
		for _, p := range parts {
			text = append(text, p.Text...)
		}
		*c = Content(text)
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*c = Content(text)
	return nil
}

// MaxOutputTokens returns the caller's bound on the answer; 0 means none.
func (r *ChatRequest) MaxOutputTokens() uint32 {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// IncludeUsage reports whether the caller asked for a usage chunk.
func (r *ChatRequest) IncludeUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// fields is a JSON object whose values stay as they were written. Its keys are
// matched exactly, as targets do; encoding/json ignores case for structs.
type fields map[string]json.RawMessage

// decode reads the field name into v; an absent field leaves v as it is.
func (f fields) decode(name string, v any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("field %s: %w", name, err)
	}
	return nil
}

// ParseChat reads a chat completion request. Errors are of kind bad-request.
func ParseChat(body []byte) (*ChatRequest, error) {
	request := &ChatRequest{}
	if err := request.parse(body); err != nil {
		return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"the body is not a chat completion request", "send a JSON object with model and messages")
	}
	if request.Model == "" {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"the body names no model", "set model to one listed by GET /v1/models")
	}
	if len(request.Messages) == 0 {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"the body has no messages", "send at least one message")
	}
	return request, nil
}

func (r *ChatRequest) parse(body []byte) error {
	if err := json.Unmarshal(body, &r.object); err != nil {
		return err
	}
	return errors.Join(
		r.object.decode("model", &r.Model),
		r.object.decode("messages", &r.Messages),
		r.object.decode("stream", &r.Stream),
		r.object.decode("stream_options", &r.StreamOptions),
		r.object.decode("max_tokens", &r.MaxTokens),
		r.object.decode("max_completion_tokens", &r.MaxCompletionTokens),
	)
}

// Normalized returns the request's body in a form that does not depend on
// white space, order of fields, or the way of delivery.
func (r *ChatRequest) Normalized() ([]byte, error) {
	delete(r.object, "stream")
	delete(r.object, "stream_options")
	normalized, err := json.Marshal(r.object)
	if err != nil {
		return nil, fmt.Errorf("normalize chat request: %w", err)
	}
	return normalized, nil
}

var streamFields = []byte(`,"stream":true,"stream_options":{"include_usage":true}}`)

// StreamedBody turns a normalized request into one for a streamed answer with
// usage.
func StreamedBody(normalized []byte) []byte {
	open := bytes.TrimSuffix(normalized, []byte("}"))
	body := make([]byte, 0, len(open)+len(streamFields))
	body = append(body, open...)
	return append(body, streamFields...)
}
