package balance

import "time"

const (
	// sameZoneReserveTime is how long a freed slot is reserved for more important
	// requests that wait at other nodes of this zone. It matters only while each
	// node of the zone chooses targets for itself.
	sameZoneReserveTime = 10 * time.Millisecond
	// otherZoneReserveTime is how long a slot in another zone has to be free
	// before this node may take it: the network delay between regions, the
	// interval between two updates, and as much again for a late update. The
	// zone's owner may use the slot sooner.
	otherZoneReserveTime = 100 * time.Millisecond
)

// remoteQueues counts the requests that wait at other nodes.
type remoteQueues struct {
	node  string
	zones map[string]string
	// waiting counts requests by source, service and tier.
	waiting map[string]map[queueKey]int
}

type queueKey struct {
	service string
	tier    int
}

func newRemoteQueues(node string, zones map[string]string) remoteQueues {
	return remoteQueues{node: node, zones: zones, waiting: make(map[string]map[queueKey]int)}
}

func (q *remoteQueues) set(source, service string, tier, waiting int) {
	counts := q.waiting[source]
	if counts == nil {
		counts = make(map[queueKey]int)
		q.waiting[source] = counts
	}
	if waiting == 0 {
		delete(counts, queueKey{service, tier})
		return
	}
	counts[queueKey{service, tier}] = waiting
}

// reserveTime returns how long a free slot of a service is reserved for other
// nodes of the zone before a request of a tier may take it. ownWaiting is how
// many requests of the tier wait at this node: the node with the most goes
// first. Slots are not reserved for other zones, whose nodes would learn of them
// too late.
func (q *remoteQueues) reserveTime(service string, tier, ownWaiting int) time.Duration {
	for source, counts := range q.waiting {
		if _, isZone := q.zones[source]; isZone {
			continue
		}
		for key, waiting := range counts {
			ahead := waiting > ownWaiting || waiting == ownWaiting && source < q.node
			if key.service == service && (key.tier < tier || key.tier == tier && ahead) {
				return sameZoneReserveTime
			}
		}
	}
	return 0
}

// SetRemoteWaiting sets how many requests of a tier wait at a source, which is
// a node or a zone.
func (m *Manager) SetRemoteWaiting(source, service string, tier, waiting int) {
	m.submit(waitingReported{source, service, tier, waiting})
}

// waitingReported is a report of a queue length from another node or zone.
type waitingReported struct {
	source, service string
	tier, waiting   int
}

func (e waitingReported) apply(m *Manager, _ time.Time) {
	m.remoteQueues.set(e.source, e.service, e.tier, e.waiting)
	if p := m.pools[e.service]; p != nil {
		m.markChanged(p)
	}
}
