package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// Bodies, query strings, credentials and unknown header fields never
// appear in the log, however a request ends.
func TestNoSecretIsLogged(t *testing.T) {
	secrets := rapid.StringMatching(`s3cret[a-z0-9]{12}`)
	rapid.Check(t, func(rt *rapid.T) {
		secret := secrets.Draw(rt, "secret")
		end := rapid.SampledFrom([]targetScript{
			signedOK(secret), {status: 500, body: secret}, streamScript("id: 1\ndata: "+secret+"\n\n", true), streamScript("data: "+secret+"\n\n", false),
			{status: 502, body: secret, truncated: true}, {resetAfterSend: true}, {unsent: true},
		}).Draw(rt, "end")
		kind := rapid.SampledFrom([]catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming}).Draw(rt, "kind")
		g := newTestGateway(t, newRoute(kind), end, end)
		out := &logBuffer{}
		g.gateway.Logger = &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: out}}
		validKey, toRoute := rapid.Bool().Draw(rt, "valid key"), rapid.Bool().Draw(rt, "to a route")
		g.send(t, t.Context(), func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(secret)), int64(len(secret))
			r.Header.Set("Authorization", "Bearer "+secret)
			r.Header.Set("X-Note", secret)
			if !validKey {
				r.Header.Set("Api-Key", secret)
			}
			if !toRoute {
				r.URL.Path = "/elsewhere"
			}
			r.URL.RawQuery = "token=" + secret
		})
		g.server.Close()
		out.mu.Lock()
		defer out.mu.Unlock()
		if !strings.Contains(out.text.String(), "request_ended") {
			rt.Fatalf("the log has no request_ended line: %s", &out.text)
		}
		for _, s := range []string{secret, apiKey} {
			if strings.Contains(out.text.String(), s) {
				rt.Fatalf("%q appears in the log: %s", s, &out.text)
			}
		}
	})
}

// An answer that is not whole has a line beside those of a busy node's whole answers.
func TestAbortedAnswersAreLoggedAsWarningsWithTheError(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), streamScript("id: 1\ndata: a\n\n", true))
	out := &logBuffer{}
	g.gateway.Logger = &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: out}}
	g.send(t, t.Context(), nil)
	g.server.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	_, line, found := strings.Cut(out.text.String(), `"event":"request_ended"`)
	is.True(found)
	is.True(strings.Contains(line, `"cause":"stream_broken"`))
	is.True(strings.Contains(line, `"error":`))
}
