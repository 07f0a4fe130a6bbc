package limits

import (
	"time"
)

// reservedShare is the fraction of each limit that is divided evenly among all
// nodes, so that a node can admit requests before it has a grant.
const reservedShare = 0.1

// maxGrantFactor bounds a grant to this multiple of the node's demand, or to an
// even share if that is larger. The rest of the pool stays unallocated, so that
// the next node to request a share need not wait for other nodes to release
// theirs.
const maxGrantFactor = 2

// amounts holds a value for each kind of limit: requests per second, tokens per
// second and requests in flight.
type amounts struct {
	requests, tokens, inFlight float64
}

// baseShare returns the part of a limit that each node may use without a grant.
func (a amounts) baseShare(nodes int) amounts {
	fraction := reservedShare / float64(max(1, nodes))
	return amounts{a.requests * fraction, a.tokens * fraction, a.inFlight * fraction}
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.requests + b.requests, a.tokens + b.tokens, a.inFlight + b.inFlight}
}

// atMost reports whether each amount is less than or equal to that of b.
func (a amounts) atMost(b amounts) bool {
	return a.requests <= b.requests && a.tokens <= b.tokens && a.inFlight <= b.inFlight
}

// grant holds a node's reported demand and the share granted to it in addition
// to its base share.
type grant struct {
	demand  amounts
	extra   amounts
	expires time.Time
}

// allocator divides the limits of the teams that this node is the allocator of.
// The grants in force never add up to more than the unreserved part of a limit.
// It performs no I/O and reads no clock; the caller passes the time.
type allocator struct {
	grants map[string]map[string]grant
	// noGrantsBefore is when all grants of previous allocators have expired.
	noGrantsBefore time.Time
}

func newAllocator() *allocator {
	return &allocator{grants: make(map[string]map[string]grant)}
}

// reset discards all grants after a membership change, which may move teams to
// other allocators. No grants are made until those in force have expired.
func (a *allocator) reset(until time.Time) {
	clear(a.grants)
	a.noGrantsBefore = until
}

// allocate records a node's demand on a team's limit and returns the share that
// the node may use in addition to its base share until expires. It returns
// false if grants of previous allocators may still be in force, and if the
// demand is zero, which releases the node's grant.
func (a *allocator) allocate(now, expires time.Time, team, node string, nodes int, limit, demand amounts) (amounts, bool) {
	if now.Before(a.noGrantsBefore) {
		return amounts{}, false
	}
	teamGrants := a.grants[team]
	if teamGrants == nil {
		teamGrants = make(map[string]grant)
		a.grants[team] = teamGrants
	}
	for other, g := range teamGrants {
		if !now.Before(g.expires) {
			delete(teamGrants, other)
		}
	}
	if demand == (amounts{}) {
		delete(teamGrants, node)
		return amounts{}, false
	}
	g := grant{demand: demand, expires: expires}
	g.extra = computeGrant(teamGrants, node, nodes, limit, demand)
	teamGrants[node] = g
	return g.extra, true
}

// computeGrant returns the node's fair share of the pool, bounded by what the
// grants of the other nodes leave available.
func computeGrant(teamGrants map[string]grant, node string, nodes int, limit, demand amounts) amounts {
	requests := newDimension(limit.requests, demand.requests, nodes)
	tokens := newDimension(limit.tokens, demand.tokens, nodes)
	inFlight := newDimension(limit.inFlight, demand.inFlight, nodes)
	for other, g := range teamGrants {
		if other == node {
			continue
		}
		requests.addGrant(g.demand.requests, g.extra.requests)
		tokens.addGrant(g.demand.tokens, g.extra.tokens)
		inFlight.addGrant(g.demand.inFlight, g.extra.inFlight)
	}
	return amounts{
		requests: min(requests.fairShare(), requests.available()),
		tokens:   min(tokens.fairShare(), tokens.available()),
		inFlight: roundUpWithin(inFlight.fairShare(), inFlight.available()),
	}
}

// dimension holds the demands on one kind of limit, that of the requesting node
// first, and the sum granted to the other nodes.
type dimension struct {
	pool      float64
	evenShare float64
	demands   []float64
	granted   float64
}

func newDimension(limit, demand float64, nodes int) dimension {
	pool := limit * (1 - reservedShare)
	return dimension{pool: pool, evenShare: pool / float64(max(1, nodes)), demands: []float64{demand}}
}

// addGrant adds the demand and the grant of another node.
func (d *dimension) addGrant(demand, granted float64) {
	d.demands = append(d.demands, demand)
	d.granted += granted
}

// fairShare returns the requesting node's max-min fair share of the pool, bounded
// by maxGrantFactor.
func (d *dimension) fairShare() float64 {
	return min(maxMinShares(d.pool, d.demands)[0], max(d.evenShare, maxGrantFactor*d.demands[0]))
}

func (d *dimension) available() float64 { return max(0, d.pool-d.granted) }
