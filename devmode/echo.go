package devmode

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
)

// chatRequest holds the fields of a chat completion request that the echo
// engine reads.
type chatRequest struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// chunk is one chunk of a streamed chat completion.
type chunk struct {
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func newEchoHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", handleChat).Methods(http.MethodPost)
	return r
}

// handleChat streams the last message back, one word per chunk.
func handleChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "no message", http.StatusBadRequest)
		return
	}
	words := strings.Fields(req.Messages[len(req.Messages)-1].Content)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Stream-Id", r.Header.Get("X-Request-Id"))
	for i, word := range words {
		writeChunk(w, i+1, chunk{Choices: []chunkChoice{{Delta: chunkDelta{Content: word + " "}}}})
	}
	stop := "stop"
	writeChunk(w, len(words)+1, chunk{
		Choices: []chunkChoice{{FinishReason: &stop}},
		Usage:   &usage{PromptTokens: len(words), CompletionTokens: len(words)},
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w http.ResponseWriter, index int, c chunk) {
	c.Object = "chat.completion.chunk"
	c.Model = Model
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
