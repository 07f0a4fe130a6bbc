package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ChatRequest holds the fields of a chat completion request that routing uses.
type ChatRequest struct {
	Model               string
	Messages            []Message
	Stream              bool
	StreamOptions       *StreamOptions
	MaxTokens           uint32
	MaxCompletionTokens uint32

	// object holds all fields of the body.
	object jsonObject
}

// StreamOptions holds the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of the prompt.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string, null or a list of
// parts.
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

// MaxOutputTokens returns the caller's limit on output tokens; 0 means none.
func (r *ChatRequest) MaxOutputTokens() uint32 {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// IncludeUsage reports whether the caller requested a usage chunk.
func (r *ChatRequest) IncludeUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// jsonObject is a JSON object with undecoded values. Its keys are matched exactly,
// as targets match them; encoding/json ignores case when it decodes to structs.
type jsonObject map[string]json.RawMessage

// decode decodes the named field into v. If the field is absent, v is unchanged.
func (o jsonObject) decode(name string, v any) error {
	raw, ok := o[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("field %s: %w", name, err)
	}
	return nil
}

// ParseChat parses a chat completion request. Errors are of kind bad-request.
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

// Normalized returns the request's body without the stream fields and in a form
// that does not depend on white space or field order. It removes the stream
// fields from the request.
func (r *ChatRequest) Normalized() ([]byte, error) {
	delete(r.object, "stream")
	delete(r.object, "stream_options")
	normalized, err := json.Marshal(r.object)
	if err != nil {
		return nil, fmt.Errorf("normalize chat request: %w", err)
	}
	return normalized, nil
}

// streamFields ends a normalized request with the fields for a streamed response.
var streamFields = []byte(`,"stream":true,"stream_options":{"include_usage":true}}`)

// StreamedBody adds to a normalized request the fields that request a streamed
// response with usage.
func StreamedBody(normalized []byte) []byte {
	unclosed := bytes.TrimSuffix(normalized, []byte("}"))
	body := make([]byte, 0, len(unclosed)+len(streamFields))
	body = append(body, unclosed...)
	return append(body, streamFields...)
}
