package owner

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/schema"
)

// granted is a request that the owner chose a target for. It tells the owner how
// the request fares, or this node's balancer once the link has failed.
type granted struct {
	link   *link
	number uint64
	work   *balance.Work
	target *catalog.Target
	seen   balance.Seen

	mu    sync.Mutex
	read  bool
	ended bool
	// own is this node's balancer's reporter after the link has failed.
	own balance.Reporter
}

// adopt counts the request at this node's balancer.
func (g *granted) adopt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended && g.own == nil {
		g.own = g.link.balancer.Adopt(g.work, g.target.ID, g.read)
	}
}

// tell sends a report to the owner, or returns the reporter to tell instead.
func (g *granted) tell(r *schema.OwnerReport) balance.Reporter {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.read = g.read || r.GetFirstMicros() > 0
	if g.own == nil && !g.link.report(g, r) && !r.GetEnded() {
		g.own = g.link.balancer.Adopt(g.work, g.target.ID, g.read)
	}
	g.ended = r.GetEnded()
	return g.own
}

// First implements balance.Reporter.
func (g *granted) First(after time.Duration) {
	if own := g.tell(&schema.OwnerReport{FirstMicros: max(1, after.Microseconds())}); own != nil {
		own.First(after)
	}
}

// Paced implements balance.Reporter.
func (g *granted) Paced(s balance.Sample) {
	if own := g.tell(reportOf(s)); own != nil {
		own.Paced(s)
	}
}

// Ended implements balance.Reporter.
func (g *granted) Ended(result balance.Result, s balance.Sample) {
	r := reportOf(s)
	r.Ended, r.Result = true, uint32(result)
	if own := g.tell(r); own != nil {
		own.Ended(result, s)
	}
}
