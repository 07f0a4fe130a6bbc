package owner

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/schema"
)

// remoteGrant is a request whose target was chosen by the owner. It reports the
// request's progress to the owner, or to this node's balancer once the link has
// failed.
type remoteGrant struct {
	link       *link
	number     uint64
	work       *balance.Work
	target     *catalog.Target
	prediction balance.Prediction

	mu          sync.Mutex
	prefillDone bool
	ended       bool
	// local is the reporter of this node's balancer, set once the link has failed.
	local balance.Reporter
}

// switchToLocal registers the request with this node's balancer, unless it has
// ended.
func (g *remoteGrant) switchToLocal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended && g.local == nil {
		g.local = g.link.balancer.Adopt(g.work, g.target.ID, g.prefillDone)
	}
}

// sendReport sends a report to the owner. If the link has failed it returns the
// local reporter, which the caller has to call instead.
func (g *remoteGrant) sendReport(r *schema.OwnerReport) balance.Reporter {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prefillDone = g.prefillDone || r.GetFirstMicros() > 0
	if g.local == nil && !g.link.report(g, r) && !r.GetEnded() {
		g.local = g.link.balancer.Adopt(g.work, g.target.ID, g.prefillDone)
	}
	g.ended = r.GetEnded()
	return g.local
}

// FirstEvent implements balance.Reporter.
func (g *remoteGrant) FirstEvent(after time.Duration) {
	if local := g.sendReport(&schema.OwnerReport{FirstMicros: max(1, after.Microseconds())}); local != nil {
		local.FirstEvent(after)
	}
}

// SpeedSampled implements balance.Reporter.
func (g *remoteGrant) SpeedSampled(s balance.Sample) {
	if local := g.sendReport(encodeSample(s)); local != nil {
		local.SpeedSampled(s)
	}
}

// Ended implements balance.Reporter.
func (g *remoteGrant) Ended(result balance.Result, s balance.Sample) {
	r := encodeSample(s)
	r.Ended, r.Result = true, uint32(result)
	if local := g.sendReport(r); local != nil {
		local.Ended(result, s)
	}
}
