package engine

import (
	"encoding/json"
	"strings"
)

// defaultMaxOutputTokens applies to requests without a token limit.
const defaultMaxOutputTokens = 16

// Message is one message of a chat request.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, encoded as a string or as a list of parts.
type Content string

// UnmarshalJSON accepts a string or a list of parts, whose texts it
// concatenates.
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

// Prompt returns the text that is tokenized and cached by prefix: for each
// message its role, a newline, its content and a newline.
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

func (r *ChatRequest) maxOutputTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxOutputTokens
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails reports how many tokens of the prompt were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a complete response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the single choice of a Completion. Message is set in a complete
// response, Delta in a chunk.
type Choice struct {
	Index        int              `json:"index"`
	Message      *ResponseMessage `json:"message,omitempty"`
	Delta        *ResponseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// ResponseMessage is the generated message of a Choice, or a part of it.
type ResponseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (s *stream) usage(outputTokens int) *Usage {
	return &Usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    outputTokens,
		TotalTokens:         s.promptTokens + outputTokens,
		PromptTokensDetails: PromptDetails{CachedTokens: s.cachedTokens},
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

// fullCompletion returns the response of a request that is not streamed.
func (s *stream) fullCompletion(p progress) Completion {
	var text strings.Builder
	for i := range p.outputTokens {
		text.WriteString(TokenText(s.requestID, i))
	}
	message := &ResponseMessage{Role: "assistant", Content: text.String()}
	c := s.completion("chat.completion", Choice{Message: message, FinishReason: &p.finishReason})
	c.Usage = s.usage(p.outputTokens)
	return c
}

// chunk returns the chunk of one token. Events are numbered from 1; only the
// first carries the role.
func (s *stream) chunk(event int) Completion {
	delta := &ResponseMessage{Content: TokenText(s.requestID, event-1)}
	if event == 1 {
		delta.Role = "assistant"
	}
	return s.completion("chat.completion.chunk", Choice{Delta: delta})
}

// lastChunk returns the chunk with the finish reason and the token usage.
func (s *stream) lastChunk(p progress) Completion {
	c := s.completion("chat.completion.chunk", Choice{Delta: &ResponseMessage{}, FinishReason: &p.finishReason})
	c.Usage = s.usage(p.outputTokens)
	return c
}
