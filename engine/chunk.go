package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     uint32        `json:"prompt_tokens"`
	CompletionTokens uint32        `json:"completion_tokens"`
	TotalTokens      uint32        `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of the prompt came from the prefix cache.
type PromptDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// FinishCancelled is the finish reason of a stream that was cancelled.
const FinishCancelled = "cancelled"

// ChunkEnd is what routing reads of a stream's chunks.
type ChunkEnd struct {
	Usage        *Usage
	FinishReason string
	// UsageOnly says that the chunk has no choices.
	UsageOnly bool
	// HasToken says that the chunk also carries output.
	HasToken bool
}

var (
	usageKey  = []byte(`"usage"`)
	finishKey = []byte(`"finish_reason"`)
	nullValue = []byte("null")
)

type endChunk struct {
	Choices []endChoice `json:"choices"`
	Usage   *Usage      `json:"usage"`
}

type endChoice struct {
	FinishReason string   `json:"finish_reason"`
	Delta        endDelta `json:"delta"`
}

type endDelta struct {
	Content   string            `json:"content"`
	ToolCalls []json.RawMessage `json:"tool_calls"`
}

func (d endDelta) hasToken() bool {
	return d.Content != "" || len(d.ToolCalls) > 0
}

// ParseChunkEnd returns usage and finish reason of a chunk. Most chunks have
// neither and are not decoded; ok is false for them, and each is a token.
func ParseChunkEnd(data []byte) (end ChunkEnd, ok bool) {
	if !hasValue(data, usageKey) && !hasValue(data, finishKey) {
		return ChunkEnd{}, false
	}
	var chunk endChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return ChunkEnd{}, false
	}
	end.Usage = chunk.Usage
	end.UsageOnly = len(chunk.Choices) == 0
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			end.FinishReason = choice.FinishReason
		}
		end.HasToken = end.HasToken || choice.Delta.hasToken()
	}
	return end, true
}

// hasValue reports whether any occurrence of key is followed by something
// other than null.
func hasValue(data, key []byte) bool {
	for {
		i := bytes.Index(data, key)
		if i < 0 {
			return false
		}
		data = bytes.TrimLeft(data[i+len(key):], " :")
		if !bytes.HasPrefix(data, nullValue) {
			return true
		}
	}
}

// Completion is a whole chat completion.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Answer  `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

// Answer is the message of a Choice.
type Answer struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a function call that the model asks for.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function FunctionCall `json:"function"`
}

// FunctionCall names a function and its arguments as JSON text.
type FunctionCall struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type deltaChunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []deltaChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
}

type deltaChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []ToolCall `json:"tool_calls"`
}

// parseDelta decodes one chunk of a stream.
func parseDelta(data []byte) (deltaChunk, error) {
	var chunk deltaChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return deltaChunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	return chunk, nil
}
