package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
)

func signedLeaving(body string) targetScript {
	s := signedOK(body)
	s.header.Set("Server-Leaving", "1")
	return s
}

func TestTargetGetsNothingAfterItAskedForIt(t *testing.T) {
	for name, first := range map[string]targetScript{
		"leaving": signedLeaving("a"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, newRoute(catalog.Idempotent), first)
			for range 30 {
				is.Equal(g.send(t, t.Context(), nil).status, http.StatusOK)
			}
			sends := g.sender.sent()
			for _, later := range sends[1:] {
				is.True(later.to.ID != sends[0].to.ID)
			}
		})
	}
}

func TestLogSaysWhatTheTargetAskedFor(t *testing.T) {
	is := is.New(t)
	route := newRoute(catalog.NonIdempotent)
	g := newTestGateway(t, route, signedLeaving("a"))
	out := &logBuffer{}
	g.gateway.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
	g.send(t, t.Context(), nil)
	g.server.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.text.String(), `"target_leaving":true`))
}
