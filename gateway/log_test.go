package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// lines collects what is logged.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// What only the caller and the target should know never gets into a line, however
// a request ends.
func TestNoSecretIsLogged(t *testing.T) {
	secret := rapid.StringMatching(`s3cret[a-z0-9]{12}`)
	rapid.Check(t, func(rt *rapid.T) {
		word := secret.Draw(rt, "secret")
		end := rapid.SampledFrom([]reaction{
			ok(word), {status: 500, body: word}, stream("id: 1\ndata: "+word+"\n\n", true), stream("data: "+word+"\n\n", false),
			{status: 502, body: word, cut: true}, {lost: true}, {unsent: true},
		}).Draw(rt, "end")
		kind := rapid.SampledFrom([]catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming}).Draw(rt, "kind")
		w := newWorld(t, newRoute(kind), end, end)
		out := &lines{}
		w.gateway.Logger = &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: out}}
		validKey, toRoute := rapid.Bool().Draw(rt, "valid key"), rapid.Bool().Draw(rt, "to a route")
		w.ask(t, t.Context(), func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(word)), int64(len(word))
			r.Header.Set("Authorization", "Bearer "+word)
			r.Header.Set("X-Note", word)
			if !validKey {
				r.Header.Set("Api-Key", word)
			}
			if !toRoute {
				r.URL.Path = "/elsewhere"
			}
			r.URL.RawQuery = "token=" + word
		})
		w.server.Close()
		out.mu.Lock()
		defer out.mu.Unlock()
		if !strings.Contains(out.text.String(), "request_ended") {
			rt.Fatalf("no line says how the request ended: %s", &out.text)
		}
		for _, s := range []string{word, key} {
			if strings.Contains(out.text.String(), s) {
				rt.Fatalf("%q is in a line: %s", s, &out.text)
			}
		}
	})
}
