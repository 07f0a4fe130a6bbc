package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
)

// recordedLoads records the loads that targets report.
type recordedLoads struct {
	mu    sync.Mutex
	loads map[string]gateway.TargetLoad
}

// RecordLoad implements gateway.TargetLoads.
func (r *recordedLoads) RecordLoad(target string, load gateway.TargetLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[target] = load
}

// Reports were parsed and had no reader.
func TestLoadThatATargetReportsIsPassedOn(t *testing.T) {
	is := is.New(t)
	script := signedOK("a")
	script.header.Set("X-Primrosemoor-Server-Load", "3,1,8,250")
	loads := &recordedLoads{loads: make(map[string]gateway.TargetLoad)}
	g := newTestGatewayWith(t, newRoute(catalog.Idempotent), func(o *gateway.Options) { o.Loads = loads }, script)
	for range 2 { // The second response reports no load.
		is.Equal(g.send(t, t.Context(), nil).status, http.StatusOK)
	}
	is.Equal(loads.loads, map[string]gateway.TargetLoad{g.sender.sent()[0].to.ID: {Running: 3, Waiting: 1, Slots: 8, Pace: 2.5}})
}
