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

// PromptDetails counts the prompt tokens that came from the prefix cache.
type PromptDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// FinishCancelled is the finish reason of a stream that was cancelled.
const FinishCancelled = "cancelled"

// ChunkMetadata holds the fields of a chunk that the dispatcher reads.
type ChunkMetadata struct {
	Usage        *Usage
	FinishReason string
	// UsageOnly is true if the chunk has no choices.
	UsageOnly bool
	// HasToken is true if the chunk also contains output.
	HasToken bool
}

var (
	usageKey  = []byte(`"usage"`)
	finishKey = []byte(`"finish_reason"`)
	nullValue = []byte("null")
)

// chunkFields is the JSON form of the fields that ParseChunkMetadata reads.
type chunkFields struct {
	Choices []choiceFields `json:"choices"`
	Usage   *Usage         `json:"usage"`
}

type choiceFields struct {
	FinishReason string      `json:"finish_reason"`
	Delta        deltaFields `json:"delta"`
}

type deltaFields struct {
	Content   string            `json:"content"`
	ToolCalls []json.RawMessage `json:"tool_calls"`
}

func (d deltaFields) hasToken() bool {
	return d.Content != "" || len(d.ToolCalls) > 0
}

// ParseChunkMetadata returns the usage and finish reason of a chunk. Most
// chunks have neither: they are not decoded, ok is false, and each counts as
// one token.
func ParseChunkMetadata(data []byte) (metadata ChunkMetadata, ok bool) {
	if !hasValue(data, usageKey) && !hasValue(data, finishKey) {
		return ChunkMetadata{}, false
	}
	var chunk chunkFields
	if err := json.Unmarshal(data, &chunk); err != nil {
		return ChunkMetadata{}, false
	}
	metadata.Usage = chunk.Usage
	metadata.UsageOnly = len(chunk.Choices) == 0
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			metadata.FinishReason = choice.FinishReason
		}
		metadata.HasToken = metadata.HasToken || choice.Delta.hasToken()
	}
	return metadata, true
}

// hasValue reports whether any occurrence of key in data is followed by a value
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

// Completion is a non-streamed chat completion.
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

// ToolCall is a function call that the model requests.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function FunctionCall `json:"function"`
}

// FunctionCall holds a function's name and its arguments as JSON text.
type FunctionCall struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// deltaChunk is one chunk of a streamed completion.
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
