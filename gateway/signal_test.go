package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
)

func signedLeaving(body string) targetScript {
	s := signedOK(body)
	s.header.Set("Server-Leaving", "1")
	return s
}

// pausing refuses a request and asks for a pause, saying that it was not run or nothing
// of it.
func pausing(saysNotRun bool) targetScript {
	s := targetScript{status: http.StatusServiceUnavailable, header: http.Header{"Retry-After": {"30"}}}
	if saysNotRun {
		s.header.Set(headerNotExecuted, "1")
	}
	return s
}

func TestTargetGetsNothingAfterItAskedForIt(t *testing.T) {
	for name, first := range map[string]targetScript{
		"leaving": signedLeaving("a"), "pause": pausing(true), "pause, may have run": pausing(false),
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

// pausingBalancer lets the first target that it grants ask for a pause before the request
// is sent.
type pausingBalancer struct {
	*balance.Manager
	granted []string
}

func (b *pausingBalancer) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	g, err := b.Manager.Acquire(ctx, w)
	if err == nil {
		b.granted = append(b.granted, g.Target.ID)
		if len(b.granted) == 1 {
			b.Manager.RecordSignal(balance.Signal{Target: g.Target.ID, Pause: time.Minute})
		}
	}
	return g, err
}

func TestTargetThatAsksForAPauseAfterItWasGrantedIsNotSentTheRequest(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	b := &pausingBalancer{Manager: g.gateway.Signals.(signals).Manager}
	g.gateway.Balancer = b
	is.Equal(g.send(t, t.Context(), nil).status, http.StatusOK)
	is.Equal(len(b.granted), 2)
	sends := g.sender.sent()
	is.Equal(len(sends), 1)
	is.Equal(sends[0].to.ID, b.granted[1])
}

func TestLogSaysWhatTheTargetAskedFor(t *testing.T) {
	is := is.New(t)
	route := newRoute(catalog.NonIdempotent)
	g := newTestGateway(t, route, signedLeaving("a"), pausing(false))
	out := &logBuffer{}
	g.gateway.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
	g.send(t, t.Context(), nil)
	g.send(t, t.Context(), nil)
	g.server.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.text.String(), `"target_leaving":true`))
	is.True(strings.Contains(out.text.String(), `"target_pause":30000`))
}
