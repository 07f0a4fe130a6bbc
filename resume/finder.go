package resume

import (
	"context"
	"time"
)

// askTimeout bounds how long other nodes are asked: a new connection to another region
// and a call over it take four one-way trips.
const askTimeout = 250 * time.Millisecond

// Source says how it is known where a stream began.
type Source string

// The sources of an origin.
const (
	// Recorded means that this node knew, Asked that another one did.
	Recorded Source = "recorded"
	Asked    Source = "asked"
	// Only means that nobody knew, and that the route has had no other origin.
	Only Source = "only"
	// Unknown means that nobody knew, and that there are several possibilities, or none.
	Unknown Source = "unknown"
)

// Finder finds out where streams began.
type Finder struct {
	Registry *Registry
	// Holders returns the addresses of the nodes that may know of streams that this node
	// does not know of.
	Holders func() []string
	// Ask asks a node where a stream began.
	Ask func(ctx context.Context, address string, id ID) (Origin, bool)
}

// Record records where the stream that began with an attempt did so.
func (f *Finder) Record(attempt string, o Origin) { f.Registry.Record(Identify(attempt), o) }

// Find returns where the stream began that is named by the attempt which brought its
// first event; the name is empty if the caller gave none. The origin is empty if it is
// unknown.
func (f *Finder) Find(ctx context.Context, route, attempt string) (Origin, Source) {
	id := Identify(attempt)
	if o, ok := f.Registry.Lookup(id); ok && attempt != "" {
		return o, Recorded
	}
	origins, complete := f.Registry.Origins(route)
	if attempt != "" && !(complete && len(origins) == 1) {
		if o, ok := f.ask(ctx, id); ok {
			return o, Asked
		}
		// A record may have arrived in the meantime.
		if o, ok := f.Registry.Lookup(id); ok {
			return o, Recorded
		}
	}
	if len(origins) == 1 {
		return origins[0], Only
	}
	return Origin{}, Unknown
}

// ask asks all holders at the same time, and returns the first answer that says where the
// stream began.
func (f *Finder) ask(ctx context.Context, id ID) (Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	holders := f.Holders()
	found := make(chan Origin, len(holders))
	asked := make(chan struct{}, len(holders))
	for _, address := range holders {
		go func() {
			if o, ok := f.Ask(ctx, address, id); ok {
				found <- o
			}
			asked <- struct{}{}
		}()
	}
	for range holders {
		select {
		case <-asked:
		case o := <-found:
			return o, true
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	// The last answer may be the one that says it.
	select {
	case o := <-found:
		return o, true
	default:
		return Origin{}, false
	}
}
