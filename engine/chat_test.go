package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestAssemblerBuildsTheCompletionFromChunks(t *testing.T) {
	is := is.New(t)
	var a Assembler
	for _, chunk := range []string{
		`{"id":"c1","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"He"},"finish_reason":null}]}`,
		`{"id":"c1","created":5,"model":"m","choices":[{"index":0,"delta":{"content":"llo"},"finish_reason":null}]}`,
		`{"id":"c1","created":5,"model":"m","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"book","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","created":5,"model":"m","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"c1","created":5,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}`,
	} {
		is.NoErr(a.Add([]byte(chunk)))
	}
	body, err := a.JSON()
	is.NoErr(err)
	var c Completion
	is.NoErr(json.Unmarshal(body, &c))
	is.Equal(c.Object, "chat.completion")
	is.Equal(*c.Choices[0].Message.Content, "Hello")
	is.Equal(*c.Choices[0].FinishReason, "stop")
	is.Equal(c.Choices[1].Message.ToolCalls[0].Function.Arguments, `{"a":1}`)
	is.True(c.Choices[1].Message.Content == nil)
	is.Equal(c.Usage.TotalTokens, uint32(5))
}

func TestAssemblerBoundsIndexes(t *testing.T) {
	is := is.New(t)
	var a Assembler
	is.Equal(a.Add([]byte(`{"choices":[{"index":1000000}]}`)), ErrAnswerTooLarge)
	is.Equal(a.Add([]byte(`{"choices":[{"delta":{"tool_calls":[{"index":-1}]}}]}`)), ErrAnswerTooLarge)
}

func TestParseChunkMetadataFindsUsageAndFinishReason(t *testing.T) {
	is := is.New(t)
	_, ok := ParseChunkMetadata([]byte(`{"choices":[{"delta":{"content":"a"},"finish_reason":null}],"usage":null}`))
	is.True(!ok)
	metadata, ok := ParseChunkMetadata([]byte(`{"choices":[{"delta":{},"finish_reason":"length"}],"usage":{"completion_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}`))
	is.True(ok)
	is.Equal(metadata.FinishReason, "length")
	is.Equal(metadata.Usage.CompletionTokens, uint32(9))
	is.Equal(metadata.Usage.PromptDetails.CachedTokens, uint32(4))
	metadata, ok = ParseChunkMetadata([]byte(`{"choices":[],"usage":{"completion_tokens":9}}`))
	is.True(ok && metadata.UsageOnly && !metadata.HasToken)
	metadata, ok = ParseChunkMetadata([]byte(`{"choices":[{"delta":{"content":"usage"},"finish_reason":null}]}`))
	is.True(!ok || metadata.HasToken)
	metadata, ok = ParseChunkMetadata([]byte(`{"choices":[{"delta":{"content":"a"},"finish_reason":null}],"usage":{"completion_tokens":3}}`))
	is.True(ok && metadata.HasToken)
}

func TestNormalizedRequestIgnoresFieldOrderWhitespaceAndStreaming(t *testing.T) {
	is := is.New(t)
	a := normalize(t, `{"model":"m", "messages":[{"role":"user","content":"x"}], "stream":true}`)
	b := normalize(t, `{"stream_options":{},"messages":[{"role":"user","content":"x"}],"model":"m"}`)
	is.Equal(string(a), string(b))
	r, err := ParseChat(StreamedBody(a))
	is.NoErr(err)
	is.True(r.Stream && r.IncludeUsage())
}

func normalize(t *testing.T, body string) []byte {
	t.Helper()
	r, err := ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	normalized, err := r.Normalized()
	if err != nil {
		t.Fatal(err)
	}
	return normalized
}

func TestFieldNamesAreMatchedExactly(t *testing.T) {
	is := is.New(t)
	r, err := ParseChat([]byte(`{"model":"m","MODEL":"n","messages":[{"role":"user","content":"x"}],"Stream":true}`))
	is.NoErr(err)
	is.Equal(r.Model, "m")
	is.True(!r.Stream)
}

func FuzzStreamedBody(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":false}`)
	f.Add(`{"model":"m","messages":[{"content":[{"text":"x"}]}],"stream_options":{"include_usage":false}}`)
	f.Add(`{"model":"m","messages":[{}],"MODEL":"n","Stream":false}`)
	f.Fuzz(func(t *testing.T, text string) {
		want, err := ParseChat([]byte(text))
		if err != nil {
			return
		}
		normalized, err := want.Normalized()
		if err != nil {
			t.Fatalf("accepted request %q is not normalized: %v", text, err)
		}
		got, err := ParseChat(StreamedBody(normalized))
		if err != nil || !got.Stream || !got.IncludeUsage() || got.Model != want.Model || !slices.Equal(got.Messages, want.Messages) {
			t.Fatalf("request %q became %q: %v", text, StreamedBody(normalized), err)
		}
	})
}

func TestContentAcceptsParts(t *testing.T) {
	is := is.New(t)
	r, err := ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},{"role":"assistant","content":null}]}`))
	is.NoErr(err)
	is.Equal(r.Messages[0].Content, Content("ab"))
	_, err = ParseChat([]byte(`{"model":"m","messages":[]}`))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	h := EndToEnd(http.Header{"Connection": {"close, X-Link"}, "X-Link": {"1"}, "Upgrade": {"x"}, "X-Kept": {"1"}})
	is.Equal(len(h), 1)
	is.Equal(h.Get("X-Kept"), "1")
}
