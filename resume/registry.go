package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// minRetention and maxRetention bound the time for which records are kept. A caller may
	// take a stream up again within its own timeout, which the node does not know until
	// then; timeoutFactor times that of the route is assumed to exceed it.
	minRetention  = 30 * time.Second
	maxRetention  = 5 * time.Minute
	timeoutFactor = 2
)

// Registry holds what this node knows of where streams began. It is safe for concurrent
// use.
type Registry struct {
	// onShared is called when there are new records for other nodes.
	onShared func()
	// now reads the clock.
	now func() clock.Instant

	mu sync.Mutex
	// startedAt is the time of the first update, 0 before.
	startedAt clock.Instant
	retention time.Duration
	known     generations
	// services holds the services of each route that can be resumed, and versions those
	// of the targets of each service.
	services, versions sightings
	// serving counts the targets of each version of the services that routes in force lead
	// streams to.
	serving map[string]map[string]int
	// listed is what the store was known to list when it was last read or written; nil
	// before.
	listed *Possible
	// withheld are the origins at which no stream begins yet.
	withheld map[Origin]bool
	// ambiguous holds the services whose streams cannot be told from those of another
	// origin.
	ambiguous map[string]bool
	// unshared are this node's records of other services. shared are the records that are
	// passed on.
	unshared recordLog
	shared   recordLog
	unwritten
}

// NewRegistry returns an empty registry. onShared is called when there are new records for
// other nodes.
func NewRegistry(onShared func()) *Registry {
	return &Registry{
		onShared: onShared, now: clock.Now, retention: minRetention,
		services: make(sightings), versions: make(sightings), ambiguous: make(map[string]bool),
		withheld: make(map[Origin]bool), unwritten: newUnwritten(),
	}
}

// Update applies the routes and the targets in force.
func (r *Registry) Update(routes []*catalog.Route, targets []*catalog.Target) {
	if r.update(routes, targets, r.now()) {
		r.onShared()
	}
}

// update reports whether there are new records to pass on.
func (r *Registry) update(routes []*catalog.Route, targets []*catalog.Target, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startedAt == 0 {
		r.startedAt = now
	}
	services, versions := make(present), make(present)
	longest := time.Duration(0)
	for _, route := range routes {
		if route.Kind != catalog.Streaming || !route.Resume {
			continue
		}
		longest = max(longest, route.Timeout)
		for _, s := range route.Shares {
			services.add(route.Name, s.Service)
		}
	}
	for _, t := range targets {
		versions.add(t.Service, t.Version)
	}
	r.retention = min(max(minRetention, timeoutFactor*longest), maxRetention)
	r.services.update(services, now, r.retention)
	r.versions.update(versions, now, r.retention)
	r.serving = countServing(services, targets)
	return r.sightingsChanged(now)
}

// sightingsChanged derives what depends on where streams may have begun, and reports
// whether there are new records to pass on. The lock must be held.
func (r *Registry) sightingsChanged(now clock.Instant) bool {
	r.withheld = withheld(r.serving, r.listed)
	clear(r.ambiguous)
	for route := range r.services {
		if origins := r.sighted(route); len(origins) > 1 {
			for _, o := range origins {
				r.ambiguous[o.Service] = true
			}
		}
	}
	return r.shareAmbiguous(now)
}

// shareAmbiguous passes on the records that have become ambiguous, and reports whether
// there are any. The lock must be held.
func (r *Registry) shareAmbiguous(now clock.Instant) bool {
	before := r.shared.last
	var rest recordLog
	for _, e := range r.unshared.entries {
		if r.ambiguous[e.Origin.Service] {
			r.shared.add(e)
		} else {
			rest.add(e)
		}
	}
	r.unshared = rest
	r.unshared.trim(now, r.retention)
	return r.shared.last != before
}

// Origins returns where the streams of a route may have begun, and whether this node has
// been there for long enough to know all.
func (r *Registry) Origins(route string) (origins []Origin, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origins(route), r.startedAt != 0 && r.now().Sub(r.startedAt) >= r.retention
}

// origins returns the origins of the route without those that are withheld.
func (r *Registry) origins(route string) []Origin {
	return slices.DeleteFunc(r.sighted(route), func(o Origin) bool { return r.withheld[o] })
}

func (r *Registry) sighted(route string) (origins []Origin) {
	for service := range r.services[route] {
		for version := range r.versions[service] {
			origins = append(origins, Origin{service, version})
		}
	}
	return origins
}

// Record records where a stream of this node began.
func (r *Registry) Record(id ID, o Origin) {
	if r.record(entry{Record: Record{id, o}, own: true, at: r.now()}) {
		r.onShared()
	}
}

// record reports whether a new record is to be passed on.
func (r *Registry) record(e entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known.add(e.Record, e.at, r.retention) {
		return false
	}
	if !r.ambiguous[e.Origin.Service] {
		r.unshared.add(e)
		r.unshared.trim(e.at, r.retention)
		return false
	}
	r.shared.add(e)
	r.shared.trim(e.at, r.retention)
	r.unwritten.add(e.ID, r.shared.last)
	return true
}

// Lookup returns where a stream began, if this node knows it.
func (r *Registry) Lookup(id ID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.get(id)
}

// Since returns the records that were added after a version, those of this node or also
// those of the other nodes of its zone, and the version that includes them. Of several
// records of a stream it returns the last one.
func (r *Registry) Since(version uint64, ownOnly bool) (records []Record, current uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.shared.since(version) {
		if e.own || !ownOnly {
			records = append(records, e.Record)
		}
	}
	return lastOfEach(records), r.shared.last
}

// Apply adds records of another node. Those of a node of this zone are passed on to other
// zones.
func (r *Registry) Apply(records []Record, sameZone bool) {
	if r.apply(records, sameZone, r.now()) {
		r.onShared()
	}
}

func (r *Registry) apply(records []Record, sameZone bool, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.shared.last
	for _, record := range records {
		if r.known.add(record, now, r.retention) && sameZone {
			r.shared.add(entry{Record: record, at: now})
		}
	}
	r.shared.trim(now, r.retention)
	return r.shared.last != before
}

// Adopt adds records from the store of streams that this node does not know.
func (r *Registry) Adopt(records []Record) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if _, known := r.known.get(record.ID); !known {
			r.known.add(record, now, r.retention)
		}
	}
}

// Retention returns the time for which records are kept.
func (r *Registry) Retention() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retention
}
