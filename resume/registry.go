package resume

import (
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

	mu sync.Mutex
	// startedAt is the time of the first update, 0 before.
	startedAt clock.Instant
	retention time.Duration
	known     generations
	// services holds the services of each route that can be resumed, and versions those
	// of the targets of each service.
	services, versions sightings
	// ambiguous holds the services whose streams cannot be told from those of another
	// origin.
	ambiguous map[string]bool
	// unshared are this node's records of other services. shared are the records that are
	// passed on.
	unshared recordLog
	shared   recordLog
}

// NewRegistry returns an empty registry. onShared is called when there are new records for
// other nodes.
func NewRegistry(onShared func()) *Registry {
	return &Registry{
		onShared: onShared, retention: minRetention,
		services: make(sightings), versions: make(sightings), ambiguous: make(map[string]bool),
	}
}

// Update applies the routes and the targets in force.
func (r *Registry) Update(routes []*catalog.Route, targets []*catalog.Target) {
	if r.update(routes, targets, clock.Now()) {
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
	clear(r.ambiguous)
	for route := range r.services {
		if origins := r.origins(route); len(origins) > 1 {
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
	return r.origins(route), r.startedAt != 0 && clock.Since(r.startedAt) >= r.retention
}

func (r *Registry) origins(route string) (origins []Origin) {
	for service := range r.services[route] {
		for version := range r.versions[service] {
			origins = append(origins, Origin{service, version})
		}
	}
	return origins
}

// Record records where a stream of this node began.
func (r *Registry) Record(id ID, o Origin) {
	if r.record(entry{Record: Record{id, o}, own: true, at: clock.Now()}) {
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
	return true
}

// Lookup returns where a stream began, if this node knows it.
func (r *Registry) Lookup(id ID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.get(id)
}

// Since returns the records that were added after a version, those of this node or also
// those of the other nodes of its zone, and the version that includes them.
func (r *Registry) Since(version uint64, ownOnly bool) (records []Record, current uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.shared.since(version) {
		if e.own || !ownOnly {
			records = append(records, e.Record)
		}
	}
	return records, r.shared.last
}

// Apply adds records of another node. Those of a node of this zone are passed on to other
// zones.
func (r *Registry) Apply(records []Record, sameZone bool) {
	if r.apply(records, sameZone, clock.Now()) {
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
