package engine

import (
	"encoding/json"
	"errors"
)

const (
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
	// Limits of one assembled completion.
	maxAnswerBytes = 16 << 20
	maxChoices     = 128
	maxToolCalls   = 128
)

// ErrAnswerTooLarge is returned for a completion that exceeds the assembler's
// limits.
var ErrAnswerTooLarge = errors.New("engine: answer exceeds the size limit")

// Assembler builds a non-streamed completion from the chunks of a stream.
type Assembler struct {
	completion Completion
	texts      [][]byte
	size       int
}

// Add merges one chunk: the data of an event other than the [DONE] marker.
func (a *Assembler) Add(data []byte) error {
	a.size += len(data)
	if a.size > maxAnswerBytes {
		return ErrAnswerTooLarge
	}
	chunk, err := parseDelta(data)
	if err != nil {
		return err
	}
	a.completion.ID = chunk.ID
	a.completion.Created = chunk.Created
	a.completion.Model = chunk.Model
	if chunk.Usage != nil {
		a.completion.Usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if err := a.addChoice(choice); err != nil {
			return err
		}
	}
	return nil
}

// JSON returns the completion as JSON. A choice with tool calls and no text has
// null content.
func (a *Assembler) JSON() ([]byte, error) {
	a.completion.Object = objectCompletion
	for i := range a.completion.Choices {
		choice := &a.completion.Choices[i]
		if len(a.texts[i]) > 0 || len(choice.Message.ToolCalls) == 0 {
			text := string(a.texts[i])
			choice.Message.Content = &text
		}
	}
	if a.completion.Choices == nil {
		a.completion.Choices = []Choice{}
	}
	return json.Marshal(&a.completion)
}

func (a *Assembler) addChoice(c deltaChoice) error {
	if c.Index < 0 || c.Index >= maxChoices {
		return ErrAnswerTooLarge
	}
	for len(a.completion.Choices) <= c.Index {
		index := len(a.completion.Choices)
		a.completion.Choices = append(a.completion.Choices, Choice{Index: index, Message: Answer{Role: roleAssistant}})
		a.texts = append(a.texts, nil)
	}
	choice := &a.completion.Choices[c.Index]
	a.texts[c.Index] = append(a.texts[c.Index], c.Delta.Content...)
	if c.Delta.Role != "" {
		choice.Message.Role = c.Delta.Role
	}
	if c.FinishReason != nil {
		choice.FinishReason = c.FinishReason
	}
	for _, call := range c.Delta.ToolCalls {
		if err := choice.Message.addToolCall(call); err != nil {
			return err
		}
	}
	return nil
}

// addToolCall merges a fragment of a tool call into the call with the same index.
func (m *Answer) addToolCall(fragment ToolCall) error {
	if fragment.Index < 0 || fragment.Index >= maxToolCalls {
		return ErrAnswerTooLarge
	}
	for len(m.ToolCalls) <= fragment.Index {
		m.ToolCalls = append(m.ToolCalls, ToolCall{Index: len(m.ToolCalls)})
	}
	call := &m.ToolCalls[fragment.Index]
	if fragment.ID != "" {
		call.ID = fragment.ID
	}
	if fragment.Type != "" {
		call.Type = fragment.Type
	}
	call.Function.Name += fragment.Function.Name
	call.Function.Arguments += fragment.Function.Arguments
	return nil
}
