package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/trace"
)

// chunk is what is read of a stream's chunks; a typed error may end a stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *problem.Details `json:"error"`
	problem.Details
}

// failure returns the typed error that the chunk holds, if any.
func (c *chunk) failure() (problem.Details, bool) {
	if c.Error != nil {
		return *c.Error, true
	}
	return c.Details, c.Kind != "" || c.Outcome != ""
}

var errNoEnd = errors.New("load: the stream ended without its end marker")

// stream reads server-sent events up to the end marker.
func (x *exchange) stream(body io.Reader) error {
	events := engine.NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return errNoEnd
		}
		if err != nil {
			return err
		}
		if event.Done() {
			x.finish()
			return nil
		}
		var c chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return err
		}
		if details, failed := c.failure(); failed {
			x.fail(details)
			return nil
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			x.token(c.Choices[0].Delta.Content)
		}
		if end, ok := engine.ParseChunkEnd(event.Data); ok && end.Usage != nil {
			x.usage(end.Usage)
		}
	}
}

// token notes the arrival of a token.
func (x *exchange) token(text string) {
	now := time.Now()
	if x.last.IsZero() {
		x.result.FirstToken = now.Sub(x.due)
	} else {
		x.result.Gaps = append(x.result.Gaps, now.Sub(x.last))
	}
	x.last = now
	x.result.Tokens++
	x.text.WriteString(text)
}

func (x *exchange) usage(u *engine.Usage) {
	x.result.Tokens = int(u.CompletionTokens)
	x.result.Cached = int(u.PromptDetails.CachedTokens)
}

// whole reads an answer that is not streamed.
func (x *exchange) whole(body io.Reader) error {
	var c engine.Completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return err
	}
	x.result.FirstToken = time.Since(x.due)
	if len(c.Choices) > 0 && c.Choices[0].Message.Content != nil {
		x.text.WriteString(*c.Choices[0].Message.Content)
	}
	if c.Usage != nil {
		x.usage(c.Usage)
	}
	x.finish()
	return nil
}

// finish judges a complete answer.
func (x *exchange) finish() {
	x.result.Ending = trace.EndingAnswer
	x.result.Whole = ownAnswer(x.text.String(), x.id)
}

// ownAnswer reports whether a text is a complete answer to the request id. The
// stand-in engine answers "id:0 id:1 …"; a text of another form is taken as it
// is.
func ownAnswer(text, id string) bool {
	words := strings.Fields(text)
	if len(words) == 0 {
		return false
	}
	if !strings.Contains(words[0], ":") {
		return true
	}
	for i, word := range words {
		if word != fmt.Sprintf("%s:%d", id, i) {
			return false
		}
	}
	return true
}
