package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
)

const (
	// maxNodes is how many nodes are asked for one request, and maxNodesOfZone how many of
	// them are in one zone: all nodes of a zone may have lost their links.
	maxNodes       = 4
	maxNodesOfZone = 2
	// avoidTime is how long a node that did not accept a request, and its zone, are asked
	// after all others.
	avoidTime = time.Second
	// askAgainInterval is the least time between a node's refusal and the next request that
	// it is asked to forward.
	askAgainInterval = 250 * time.Millisecond
)

// standing is what is known of the other nodes as senders to the targets of a service.
type standing struct {
	// running counts the requests that each node forwards for this one.
	running map[string]int
	// avoidedNodes and avoidedZones hold until when those are asked last that did not
	// accept a request.
	avoidedNodes, avoidedZones map[string]time.Time
	// outcomeAt is when it was last known of a request whether a node accepts it, and
	// lastAccepted whether one did.
	outcomeAt    time.Time
	lastAccepted bool
}

func newStanding() *standing {
	return &standing{running: make(map[string]int), avoidedNodes: make(map[string]time.Time), avoidedZones: make(map[string]time.Time)}
}

// recordOutcome records that a request was accepted by a node, or by none.
func (s *standing) recordOutcome(accepted bool, now time.Time) {
	s.outcomeAt, s.lastAccepted = now, accepted
}

// accepted records that a node accepted a request.
func (s *standing) accepted(n datastore.Node) {
	s.running[n.Name]++
	delete(s.avoidedNodes, n.Name)
	delete(s.avoidedZones, n.Zone)
}

// refused records that a node did not.
func (s *standing) refused(n datastore.Node, now time.Time) {
	s.avoidedNodes[n.Name], s.avoidedZones[n.Zone] = now.Add(avoidTime), now.Add(avoidTime)
}

// ended records the end of a request that a node forwarded.
func (s *standing) ended(name string) {
	if s.running[name]--; s.running[name] <= 0 {
		delete(s.running, name)
	}
}

// The order in which nodes are asked: those in the target's zone first, because the
// request goes there anyway.
const (
	targetZoneClass = iota
	ownZoneClass
	otherZoneClass
	// avoidedZoneClass and avoidedNodeClass are added.
	avoidedZoneClass
	avoidedNodeClass = 2 * avoidedZoneClass
)

// rank returns the nodes to ask to forward a request to a target, in order. It answers the
// load of nodes that have lost their links, alone or with all of their zone. Nodes that have
// just refused are left out, lest each request ask all of them when no node reaches the
// service.
func (s *standing) rank(nodes []datastore.Node, ownZone, targetZone string, now time.Time) []datastore.Node {
	class := func(n datastore.Node) int {
		c := otherZoneClass
		switch n.Zone {
		case targetZone:
			c = targetZoneClass
		case ownZone:
			c = ownZoneClass
		}
		if now.Before(s.avoidedZones[n.Zone]) {
			c += avoidedZoneClass
		}
		if now.Before(s.avoidedNodes[n.Name]) {
			c += avoidedNodeClass
		}
		return c
	}
	candidates := slices.DeleteFunc(slices.Clone(nodes), func(n datastore.Node) bool {
		return s.avoidedNodes[n.Name].Sub(now) > avoidTime-askAgainInterval
	})
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b datastore.Node) int { return cmp.Compare(class(a), class(b)) })
	// Of two random nodes of a class, the one that forwards fewer requests is asked first.
	for i := 0; i+1 < len(candidates); i += 2 {
		if a, b := candidates[i], candidates[i+1]; class(a) == class(b) && s.running[b.Name] < s.running[a.Name] {
			candidates[i], candidates[i+1] = b, a
		}
	}
	ranked, ofZone := make([]datastore.Node, 0, maxNodes), make(map[string]int)
	for _, n := range candidates {
		if ofZone[n.Zone]++; ofZone[n.Zone] <= maxNodesOfZone && len(ranked) < maxNodes {
			ranked = append(ranked, n)
		}
	}
	return ranked
}
