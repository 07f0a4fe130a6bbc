package limits

import (
	"time"
)

// reservedShare is the part of each limit that is spread evenly over all
// nodes, so that a node may admit before it has asked.
const reservedShare = 0.1

// headroom multiplies a demand to the most that is granted for it, unless an
// even share is more. What is left stays free, so that a node that asks next
// need not wait until the others have given some back.
const headroom = 2

// amounts is a triple of what limits bound: requests a second, tokens a second
// and requests in flight.
type amounts struct {
	requests, tokens, inFlight float64
}

// base is the part of a limit that each of n nodes holds without asking.
func (a amounts) base(nodes int) amounts {
	part := reservedShare / float64(max(1, nodes))
	return amounts{a.requests * part, a.tokens * part, a.inFlight * part}
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.requests + b.requests, a.tokens + b.tokens, a.inFlight + b.inFlight}
}

// below reports whether no amount exceeds that of b.
func (a amounts) below(b amounts) bool {
	return a.requests <= b.requests && a.tokens <= b.tokens && a.inFlight <= b.inFlight
}

// grant is what a node holds beyond the base, and what it asked for.
type grant struct {
	demand  amounts
	extra   amounts
	expires time.Time
}

// allocator divides the limits of the teams that this node allocates. The sum
// of the grants in force never exceeds what is not reserved. It is pure apart
// from its own state; the caller passes the time.
type allocator struct {
	grants map[string]map[string]grant
	// quietUntil is when all grants of an earlier allocator have expired.
	quietUntil time.Time
}

func newAllocator() *allocator {
	return &allocator{grants: make(map[string]map[string]grant)}
}

// moved forgets all grants, because the members and with them the allocators
// of teams changed, and grants nothing until those in force have expired.
func (a *allocator) moved(until time.Time) {
	clear(a.grants)
	a.quietUntil = until
}

// ask records a node's demand on a team's limit and returns what the node may
// use beyond the base until expires. It returns false when nothing can be
// granted yet, and when a node without a demand gives its grant back.
func (a *allocator) ask(now, expires time.Time, team, node string, nodes int, limit, demand amounts) (amounts, bool) {
	if now.Before(a.quietUntil) {
		return amounts{}, false
	}
	held := a.grants[team]
	if held == nil {
		held = make(map[string]grant)
		a.grants[team] = held
	}
	for other, g := range held {
		if !now.Before(g.expires) {
			delete(held, other)
		}
	}
	if demand == (amounts{}) {
		delete(held, node)
		return amounts{}, false
	}
	g := grant{demand: demand, expires: expires}
	g.extra = allot(held, node, nodes, limit, demand)
	held[node] = g
	return g.extra, true
}

// allot returns the node's fair part of the pool, as far as the grants of the
// other nodes leave it free.
func allot(held map[string]grant, node string, nodes int, limit, demand amounts) amounts {
	requests := newDimension(limit.requests, demand.requests, nodes)
	tokens := newDimension(limit.tokens, demand.tokens, nodes)
	inFlight := newDimension(limit.inFlight, demand.inFlight, nodes)
	for other, g := range held {
		if other == node {
			continue
		}
		requests.add(g.demand.requests, g.extra.requests)
		tokens.add(g.demand.tokens, g.extra.tokens)
		inFlight.add(g.demand.inFlight, g.extra.inFlight)
	}
	return amounts{
		requests: min(requests.fair(), requests.free()),
		tokens:   min(tokens.fair(), tokens.free()),
		inFlight: wholeUnits(inFlight.fair(), inFlight.free()),
	}
}

// dimension is one limited quantity: the asking node's demand first.
type dimension struct {
	pool    float64
	even    float64
	demands []float64
	granted float64
}

func newDimension(limit, demand float64, nodes int) dimension {
	pool := limit * (1 - reservedShare)
	return dimension{pool: pool, even: pool / float64(max(1, nodes)), demands: []float64{demand}}
}

func (d *dimension) add(demand, granted float64) {
	d.demands = append(d.demands, demand)
	d.granted += granted
}

func (d *dimension) fair() float64 {
	return min(divide(d.pool, d.demands)[0], max(d.even, headroom*d.demands[0]))
}

func (d *dimension) free() float64 { return max(0, d.pool-d.granted) }
