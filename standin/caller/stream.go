package caller

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
)

// completion holds the fields of a chat completion or chunk that the caller
// reads.
type completion struct {
	Choices []choice `json:"choices"`
	// Error, or the embedded fields of a problem, end a stream early.
	Error *problem `json:"error"`
	problem
}

type choice struct {
	Message chatMessage `json:"message"`
	Delta   chatMessage `json:"delta"`
}

// completionText returns the text of a complete chat response, or the body itself if
// it is none.
func completionText(body []byte) string {
	var c completion
	if json.Unmarshal(body, &c) != nil || len(c.Choices) == 0 {
		return string(body)
	}
	return c.Choices[0].Message.Content
}

// problemDetails returns the problem that the event carries, if any.
func (c *completion) problemDetails() (problem, bool) {
	if c.Error != nil {
		return *c.Error, true
	}
	return c.problem, c.Type != "" || c.Outcome != ""
}

// readStream reads server-sent events up to the final [DONE]. The result of a
// stream that ends without it is ResultBroken.
func readStream(response *http.Response, _ bool, started time.Time) history.Response {
	r := history.Response{Result: history.ResultBroken, Status: response.StatusCode}
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxResponseBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.Result = history.ResultAnswer
			break
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		if p, failed := c.problemDetails(); failed {
			return p.toResponse(r.Status, text.String())
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			if r.FirstTokenNanos == 0 {
				r.FirstTokenNanos = int64(time.Since(started))
			}
		}
	}
	r.Text = text.String()
	return r
}
