package catalog

import (
	"slices"
	"strings"
)

// Table indexes the routes, services and teams of one configuration.
type Table struct {
	Config       *Config
	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
}

// NewTable returns the index of a configuration.
func NewTable(config *Config) *Table {
	t := &Table{
		Config:       config,
		routesByHost: make(map[string][]*Route),
		teamsByKey:   make(map[string]*Team),
	}
	for _, r := range config.Routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	return t
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that owns a key, or nil.
func (t *Table) Team(key string) *Team {
	return t.teamsByKey[key]
}

// HasTeams reports whether requests need a key.
func (t *Table) HasTeams() bool {
	return len(t.Config.Teams) > 0
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service {
	return t.Config.Services[name]
}

// Uses reports whether a service gets requests of the route.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s WeightedService) bool { return s.Service == service })
}

// PickService returns a service by weight; random is uniform in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
