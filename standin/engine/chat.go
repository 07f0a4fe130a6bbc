package engine

import (
	"encoding/json"
	"strings"
)

// defaultMaxOutput is the answer's length when the caller names none.
const defaultMaxOutput = 16

// Message is one turn of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, given as a string or as parts.
type Content string

// UnmarshalJSON accepts both forms of the content.
func (c *Content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		text.WriteString(p.Text)
	}
	*c = Content(text.String())
	return nil
}

type contentPart struct {
	Text string `json:"text"`
}

// ChatRequest is the part of a chat completion request that the engine reads.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
}

// Prompt returns the text whose blocks the prefix cache holds: role, newline,
// content and newline of each message.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

func (r *ChatRequest) maxOutput() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxOutput
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of the prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a whole answer, or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only alternative of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      *Answer `json:"message,omitempty"`
	Delta        *Answer `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Answer is the text of a choice.
type Answer struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (s *stream) usage(output int) *Usage {
	return &Usage{
		PromptTokens:        s.prompt,
		CompletionTokens:    output,
		TotalTokens:         s.prompt + output,
		PromptTokensDetails: PromptDetails{CachedTokens: s.cached},
	}
}

func (s *stream) completion(object string, choice Choice) Completion {
	return Completion{
		ID:      "chatcmpl-" + s.id,
		Object:  object,
		Created: s.line.StartUnixNanos / int64(1e9),
		Model:   s.model,
		Choices: []Choice{choice},
	}
}

// whole returns the whole answer.
func (s *stream) whole(p progress) Completion {
	var text strings.Builder
	for i := range p.output {
		text.WriteString(TokenText(s.requestID, i))
	}
	message := &Answer{Role: "assistant", Content: text.String()}
	c := s.completion("chat.completion", Choice{Message: message, FinishReason: &p.finish})
	c.Usage = s.usage(p.output)
	return c
}

// chunk returns the chunk of one token; events count from 1.
func (s *stream) chunk(event int) Completion {
	delta := &Answer{Content: TokenText(s.requestID, event-1)}
	if event == 1 {
		delta.Role = "assistant"
	}
	return s.completion("chat.completion.chunk", Choice{Delta: delta})
}

// lastChunk returns the chunk that ends the stream.
func (s *stream) lastChunk(p progress) Completion {
	c := s.completion("chat.completion.chunk", Choice{Delta: &Answer{}, FinishReason: &p.finish})
	c.Usage = s.usage(p.output)
	return c
}
