package resume

import (
	"context"
	"slices"
	"time"
)

// askTimeout bounds how long other nodes are asked: a new connection to another region
// and a call over it take four one-way trips.
const askTimeout = 250 * time.Millisecond

// Source says how it is known where a stream began.
type Source string

// The sources of an origin.
const (
	// Recorded means that this node knew, Asked that another one did, and Stored that the
	// store did.
	Recorded Source = "recorded"
	Asked    Source = "asked"
	Stored   Source = "stored"
	// Only means that nobody knew, and that the route has had no other origin.
	Only Source = "only"
	// Unknown means that nobody knew, and that there are several possibilities, or none, or
	// that other nodes may know of more.
	Unknown Source = "unknown"
)

// Answer is what another node knows of a stream and of the origins of its route.
type Answer struct {
	Known  bool
	Origin Origin
	// Possible are the origins of the route; Settled means that the node has been there for
	// long enough to know all.
	Possible []Origin
	Settled  bool
}

// Store reads what the nodes keep in the store into a Registry.
type Store interface {
	ReadPossible(ctx context.Context) error
	ReadRecords(ctx context.Context) error
}

// Finder finds out where streams began.
type Finder struct {
	Registry *Registry
	Store    Store
	// Holders returns the addresses of the nodes that may know of streams that this node
	// does not know of.
	Holders func() []string
	// Ask asks a node where a stream began, and where those of its route may have. It
	// returns false if the node does not answer.
	Ask func(ctx context.Context, address string, id ID, route string) (Answer, bool)
}

// Record records where the stream that began with an attempt did so, or will.
func (f *Finder) Record(attempt string, o Origin) { f.Registry.Record(Identify(attempt), o) }

// Settle waits, for a short time at most, until the record of the stream that began with an
// attempt outlives all nodes.
func (f *Finder) Settle(ctx context.Context, attempt string) {
	f.Registry.Settle(ctx, Identify(attempt))
}

// Find returns where the stream began that is named by the attempt which brought its
// first event; the name is empty if the caller gave none. The origin is empty if it is
// unknown.
func (f *Finder) Find(ctx context.Context, route, attempt string) (Origin, Source) {
	id, named := Identify(attempt), attempt != ""
	if o, ok := f.lookup(id, named); ok {
		return o, Recorded
	}
	// After a read that fails, the store is not read again: each may take its whole time-out.
	readable := true
	origins, settled := f.Registry.Origins(route)
	if settled && len(origins) == 1 || !named {
		// This node's targets may be old, so that only the store tells that there is no other
		// origin.
		readable = f.Store.ReadPossible(ctx) == nil
		if o, ok := f.only(route, readable); ok {
			return o, Only
		}
	}
	if !named {
		return Origin{}, Unknown
	}
	heard := f.ask(ctx, id, route)
	if heard.Known {
		return heard.Origin, Asked
	}
	// A record may have arrived in the meantime.
	if o, ok := f.lookup(id, named); ok {
		return o, Recorded
	}
	readable = readable && f.Store.ReadRecords(ctx) == nil
	if o, ok := f.lookup(id, named); ok {
		return o, Stored
	}
	readable = readable && f.Store.ReadPossible(ctx) == nil
	if o, ok := f.only(route, readable || heard.confirms(f.Registry, route)); ok {
		return o, Only
	}
	return Origin{}, Unknown
}

func (f *Finder) lookup(id ID, named bool) (Origin, bool) {
	if !named {
		return Origin{}, false
	}
	return f.Registry.Lookup(id)
}

// only returns the origin of the route's streams if there is just one, and if this node is
// known to know of all.
func (f *Finder) only(route string, complete bool) (Origin, bool) {
	origins, _ := f.Registry.Origins(route)
	if !complete || len(origins) != 1 {
		return Origin{}, false
	}
	return origins[0], true
}

// heard is what the holders have answered together.
type heard struct {
	Answer
	asked int
}

// confirms reports whether this node knows of all origins of the route although it cannot
// read the store: because another node knows of no other one, or because there is none.
func (h heard) confirms(r *Registry, route string) bool {
	own, settled := r.Origins(route)
	if h.asked == 0 {
		return settled
	}
	for _, o := range h.Possible {
		if !slices.Contains(own, o) {
			return false
		}
	}
	return h.Settled
}

// ask asks all holders at the same time, until one says where the stream began.
func (f *Finder) ask(ctx context.Context, id ID, route string) heard {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	holders := f.Holders()
	all := heard{asked: len(holders)}
	answers := make(chan *Answer, len(holders))
	for _, address := range holders {
		go func() {
			if a, ok := f.Ask(ctx, address, id, route); ok {
				answers <- &a
			} else {
				answers <- nil
			}
		}()
	}
	for range holders {
		select {
		case a := <-answers:
			if a == nil {
				continue
			}
			if a.Known {
				return heard{Answer: *a}
			}
			all.Settled = all.Settled || a.Settled
			all.Possible = append(all.Possible, a.Possible...)
		case <-ctx.Done():
			return all
		}
	}
	return all
}
