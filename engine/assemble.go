package engine

import (
	"encoding/json"
	"errors"
)

const (
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
	// Bounds of one whole answer.
	maxAnswerBytes = 16 << 20
	maxChoices     = 128
	maxToolCalls   = 128
)

// ErrAnswerTooLarge is returned for an answer beyond the assembler's bounds.
var ErrAnswerTooLarge = errors.New("engine: answer exceeds the size limit")

// Assembler builds the whole answer from a stream's chunks.
type Assembler struct {
	completion Completion
	texts      [][]byte
	size       int
}

// Add takes the data of one event, other than the end marker.
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

// JSON returns the whole answer.
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

// addToolCall merges one piece of a tool call into the call of its index.
func (m *Answer) addToolCall(piece ToolCall) error {
	if piece.Index < 0 || piece.Index >= maxToolCalls {
		return ErrAnswerTooLarge
	}
	for len(m.ToolCalls) <= piece.Index {
		m.ToolCalls = append(m.ToolCalls, ToolCall{Index: len(m.ToolCalls)})
	}
	call := &m.ToolCalls[piece.Index]
	if piece.ID != "" {
		call.ID = piece.ID
	}
	if piece.Type != "" {
		call.Type = piece.Type
	}
	call.Function.Name += piece.Function.Name
	call.Function.Arguments += piece.Function.Arguments
	return nil
}
