package resume

import (
	"maps"
	"slices"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

// countServing counts the targets of each version of the services that routes lead streams
// to. A version whose targets all drain has none, as these begin no streams.
func countServing(services present, targets []*catalog.Target) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, names := range services {
		for service := range names {
			counts[service] = make(map[string]int)
		}
	}
	for _, t := range targets {
		versions := counts[t.Service]
		switch {
		case versions == nil:
		case t.Draining:
			versions[t.Version] += 0
		default:
			versions[t.Version]++
		}
	}
	return counts
}

// withheld returns the origins that serve and are not listed in the store yet, so that
// nodes which start anew could not know of them. A service of which these are most targets
// has none: while nothing can be listed, it keeps half of its targets at least.
func withheld(serving map[string]map[string]int, listed *Possible) map[Origin]bool {
	origins := make(map[Origin]bool)
	if listed == nil {
		return origins
	}
	for service, versions := range serving {
		known, unknown := 0, 0
		for version, count := range versions {
			if slices.Contains(listed.Versions[service], version) {
				known += count
			} else {
				unknown += count
			}
		}
		if known < unknown {
			continue
		}
		for version, count := range versions {
			if count > 0 && !slices.Contains(listed.Versions[service], version) {
				origins[Origin{service, version}] = true
			}
		}
	}
	return origins
}

// Admit returns the targets that may begin streams.
func (r *Registry) Admit(targets []*catalog.Target) []*catalog.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.withheld) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return r.withheld[Origin{t.Service, t.Version}] })
}

// SetListed applies what the store lists. It reports whether Admit may now return other
// targets.
func (r *Registry) SetListed(p Possible) (admitsOthers bool) {
	admitsOthers, shared := r.setListed(p, r.now())
	if shared {
		r.onShared()
	}
	return admitsOthers
}

func (r *Registry) setListed(p Possible, now clock.Instant) (admitsOthers, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.withheld
	r.listed = &p
	r.versions.merge(p.Versions, now)
	r.services.merge(p.Routes, now)
	shared = r.sightingsChanged(now)
	return !maps.Equal(r.withheld, before), shared
}

// Unlisted returns what may begin streams, or has, and was not listed when the store was
// last read.
func (r *Registry) Unlisted() Possible {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := Possible{Versions: make(map[string][]string), Routes: make(map[string][]string)}
	for service, versions := range r.serving {
		for version := range versions {
			now.Versions[service] = append(now.Versions[service], version)
		}
	}
	for route, services := range r.services {
		if len(services) > 1 {
			for service := range services {
				now.Routes[route] = append(now.Routes[route], service)
			}
		}
	}
	if r.listed == nil {
		return now
	}
	return now.minus(*r.listed)
}

// Retired returns what was listed when the store was last read, and has not been seen for
// the retention.
func (r *Registry) Retired() Possible {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		return Possible{}
	}
	return r.listed.minus(Possible{r.versions.names(), r.services.names()})
}

// Listed returns what the store listed when it was last read, nil if it was not read yet.
func (r *Registry) Listed() *Possible {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// IsListed reports whether the store listed anything when it was last read.
func (r *Registry) IsListed() bool {
	p := r.Listed()
	return p != nil && !p.isEmpty()
}
