package balance

import "time"

const (
	// zoneClaimTime and otherClaimTime are how long a place that has become free
	// is left to the more important requests that wait at other nodes: in this
	// zone, and in another one, whose node has to hear of the place first.
	zoneClaimTime  = 10 * time.Millisecond
	otherClaimTime = 100 * time.Millisecond
)

// claims are the requests that wait at other nodes.
type claims struct {
	node  string
	zones map[string]string
	// waiting counts requests by source, service and tier.
	waiting map[string]map[claim]int
}

type claim struct {
	service string
	tier    int
}

func newClaims(node string, zones map[string]string) claims {
	return claims{node: node, zones: zones, waiting: make(map[string]map[claim]int)}
}

func (c *claims) set(source, service string, tier, waiting int) {
	counts := c.waiting[source]
	if counts == nil {
		counts = make(map[claim]int)
		c.waiting[source] = counts
	}
	if waiting == 0 {
		delete(counts, claim{service, tier})
		return
	}
	counts[claim{service, tier}] = waiting
}

// reserve returns how long a free place of a service is left to others before
// a request of a tier may take it. own is how many requests of the tier wait
// here: among the nodes of a zone, the one with the most goes first.
func (c *claims) reserve(service string, tier, own int) time.Duration {
	longest := time.Duration(0)
	for source, counts := range c.waiting {
		_, isZone := c.zones[source]
		for key, waiting := range counts {
			if key.service != service {
				continue
			}
			ahead := key.tier < tier
			switch {
			case isZone && ahead:
				return otherClaimTime
			case ahead || !isZone && key.tier == tier && (waiting > own || waiting == own && source < c.node):
				longest = zoneClaimTime
			}
		}
	}
	return longest
}

// Waiting takes over how many requests of a tier wait at a source, a node or a
// zone.
func (m *Manager) Waiting(source, service string, tier, waiting int) {
	m.submit(claimed{source, service, tier, waiting})
}

// claimed is a report of another node or zone.
type claimed struct {
	source, service string
	tier, waiting   int
}

func (e claimed) apply(m *Manager, _ time.Time) {
	m.claims.set(e.source, e.service, e.tier, e.waiting)
	if p := m.pools[e.service]; p != nil {
		m.touch(p)
	}
}
