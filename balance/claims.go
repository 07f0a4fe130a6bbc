package balance

import "time"

const (
	// zoneClaimTime is how long a slot that has become free is left to the more
	// important requests that wait at other nodes of this zone. It matters only
	// while the zone's nodes choose targets each for itself.
	zoneClaimTime = 10 * time.Millisecond
	// elsewhereTime is how long a slot in another zone has to be free before it is
	// taken from here: the way between regions, the pause between two updates, and
	// as much again for a late one. Its owner uses it sooner if it can.
	elsewhereTime = 100 * time.Millisecond
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

// reserve returns how long a free slot of a service is left to other nodes of the
// zone before a request of a tier may take it. own is how many requests of the
// tier wait here: the node with the most goes first. Slots are not kept for other
// zones, whose nodes would hear of them too late.
func (c *claims) reserve(service string, tier, own int) time.Duration {
	for source, counts := range c.waiting {
		if _, isZone := c.zones[source]; isZone {
			continue
		}
		for key, waiting := range counts {
			ahead := waiting > own || waiting == own && source < c.node
			if key.service == service && (key.tier < tier || key.tier == tier && ahead) {
				return zoneClaimTime
			}
		}
	}
	return 0
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
