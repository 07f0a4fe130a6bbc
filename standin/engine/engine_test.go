package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/engine"
)

func startEngine(t *testing.T, options engine.Options) string {
	t.Helper()
	options.Name = "e1"
	e := engine.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
	})
	return server.URL
}

func chat(t *testing.T, url, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestCompletionMatchesRequestAndReusesCachedPrefix(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, engine.Options{TimeScale: 100})
	prompt := strings.Repeat("walk with alpacas ", 20)
	body := `{"max_tokens":3,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	var first, second engine.Completion
	is.NoErr(json.NewDecoder(chat(t, url, body).Body).Decode(&first))
	is.Equal(first.Choices[0].Message.Content, "r1:0 r1:1 r1:2 ")
	is.Equal(first.Usage.CompletionTokens, 3)
	is.Equal(first.Usage.PromptTokensDetails.CachedTokens, 0)
	is.NoErr(json.NewDecoder(chat(t, url, body).Body).Decode(&second))
	is.True(second.Usage.PromptTokensDetails.CachedTokens >= 80)
}

func TestStreamResumesAfterReaderDisconnects(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, engine.Options{ResumeGrace: time.Minute})
	response := chat(t, url, `{"stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hi"}]}`)
	id := response.Header.Get("X-Stream-Id")
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "id: 1\n")
	response.Body.Close()
	rest, err := http.Get(url + "/v1/streams/" + id + "?after=1")
	is.NoErr(err)
	text, err := io.ReadAll(rest.Body)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(text), "id: 2\n"))
	is.True(strings.Contains(string(text), "r1:7 "))
	is.True(strings.HasSuffix(string(text), "data: [DONE]\n\n"))
}

func TestCrashMarkerEndsProcess(t *testing.T) {
	is := is.New(t)
	exited := make(chan int, 1)
	url := startEngine(t, engine.Options{
		TimeScale:   100,
		CrashMarker: "boom",
		Exit:        func(code int) { exited <- code },
	})
	chat(t, url, `{"stream":true,"messages":[{"role":"user","content":"boom"}]}`)
	is.Equal(<-exited, 3)
}

func TestOrderWithOldFenceIsRejected(t *testing.T) {
	is := is.New(t)
	url := startEngine(t, engine.Options{ChecksFence: true})
	order := func(body string) int {
		response, err := http.Post(url+"/v1/orders", "application/json", strings.NewReader(body))
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(order(`{"order":"load","model":"m","fence":2}`), http.StatusOK)
	is.Equal(order(`{"order":"unload","model":"m","fence":1}`), http.StatusConflict)
}
