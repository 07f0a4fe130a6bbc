package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/gateway"
)

// singleTarget grants its target to each request and keeps the results.
type singleTarget struct {
	discardReporter
	results chan balance.Result
}

func (s *singleTarget) Acquire(context.Context, *balance.Work) (*balance.Grant, error) {
	return balance.NewGrant(&catalog.Target{ID: "i-0", Service: "s"}, balance.Prediction{}, s), nil
}

func (s *singleTarget) Ended(r balance.Result, _ balance.Sample) { s.results <- r }

// blockedWriter is a writer whose caller takes some time to read each event.
type blockedWriter struct {
	*httptest.ResponseRecorder
	block time.Duration
}

func (w blockedWriter) Write(p []byte) (int, error) {
	time.Sleep(w.block)
	return w.ResponseRecorder.Write(p)
}

// recordedCulprits keeps whether a break was recorded.
type recordedCulprits struct {
	gateway.Culprits
	breaks int
}

func (c *recordedCulprits) RecordBreak(culprit.Crash) { c.breaks++ }

// A target that cut a stream which its slow caller had left unread was taken for a failing
// one, and its request for one that crashes targets.
func TestCutOfAnUnreadStreamIsNoFailureOfTheTarget(t *testing.T) {
	for name, c := range map[string]struct {
		block  time.Duration
		result balance.Result
		breaks int
	}{
		"slow caller": {1100 * time.Millisecond, balance.Abandoned, 0},
		"fast caller": {0, balance.Broken, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := &singleTarget{results: make(chan balance.Result, 1)}
			culprits := &recordedCulprits{}
			script := streamScript(streamEvents(1, 1), true)
			script.truncation = errReset
			g := newTestGatewayWith(t, newRoute(catalog.Streaming), func(o *gateway.Options) {
				o.Balancer = target
				culprits.Culprits, o.Culprits = o.Culprits, culprits
			}, script)
			r := httptest.NewRequest(http.MethodPost, "http://farm.example/walks/1", strings.NewReader("the body"))
			r.Header.Set(headerID, "id-1")
			r.Header.Set("Api-Key", apiKey)
			func() {
				defer func() { is.Equal(recover(), http.ErrAbortHandler) }() // the caller sees a broken stream
				g.gateway.ServeHTTP(blockedWriter{httptest.NewRecorder(), c.block}, r)
			}()
			is.Equal(<-target.results, c.result)
			is.Equal(culprits.breaks, c.breaks)
		})
	}
}
