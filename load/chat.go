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

// chunk holds the fields that are read from a chunk of a stream. A stream may end
// with a typed error, either under the key "error" or as the chunk itself.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *problem.Details `json:"error"`
	problem.Details
}

// failure returns the typed error in the chunk, if any.
func (c *chunk) failure() (problem.Details, bool) {
	if c.Error != nil {
		return *c.Error, true
	}
	return c.Details, c.Kind != "" || c.Outcome != ""
}

// errNoEndMarker is returned for a stream that ends without "data: [DONE]".
var errNoEndMarker = errors.New("load: the stream ended without its end marker")

// readStream reads server-sent events up to the end marker or a typed error.
func (x *exchange) readStream(body io.Reader) error {
	events := engine.NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return errNoEndMarker
		}
		if err != nil {
			return err
		}
		if event.Done() {
			x.complete()
			return nil
		}
		var c chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return err
		}
		if details, failed := c.failure(); failed {
			x.recordError(details)
			return nil
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			x.recordToken(c.Choices[0].Delta.Content)
		}
		if end, ok := engine.ParseChunkMetadata(event.Data); ok && end.Usage != nil {
			x.recordUsage(end.Usage)
		}
	}
}

// recordToken records the arrival time and text of a token.
func (x *exchange) recordToken(text string) {
	now := time.Now()
	if x.lastToken.IsZero() {
		x.result.FirstToken = now.Sub(x.scheduled)
	} else {
		x.result.Gaps = append(x.result.Gaps, now.Sub(x.lastToken))
	}
	x.lastToken = now
	x.result.Tokens++
	x.text.WriteString(text)
}

// recordUsage sets the token counts to those that the engine reports.
func (x *exchange) recordUsage(u *engine.Usage) {
	x.result.Tokens = int(u.CompletionTokens)
	x.result.Cached = int(u.PromptDetails.CachedTokens)
}

// readCompletion reads an answer that is not streamed.
func (x *exchange) readCompletion(body io.Reader) error {
	var c engine.Completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return err
	}
	x.result.FirstToken = time.Since(x.scheduled)
	if len(c.Choices) > 0 && c.Choices[0].Message.Content != nil {
		x.text.WriteString(*c.Choices[0].Message.Content)
	}
	if c.Usage != nil {
		x.recordUsage(c.Usage)
	}
	x.complete()
	return nil
}

// complete records the end of an answer and whether its text is complete.
func (x *exchange) complete() {
	x.result.Ending = trace.EndingAnswer
	x.result.Complete = isAnswerTo(x.text.String(), x.id)
}

// isAnswerTo reports whether a text is a complete answer to the request id. The
// stand-in engine answers "id:0 id:1 …". A text whose first word has no colon is
// of another engine and is accepted unchecked.
func isAnswerTo(text, id string) bool {
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
