package catalog

import (
	"slices"
	"strings"
)

// Table finds routes, services and teams of one configuration.
type Table struct {
	Config *Config
	hosts  map[string][]*Route
	teams  map[string]*Team
}

// NewTable indexes a configuration.
func NewTable(config *Config) *Table {
	t := &Table{
		Config: config,
		hosts:  make(map[string][]*Route),
		teams:  make(map[string]*Team),
	}
	for _, r := range config.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team {
	return t.teams[key]
}

// HasTeams reports whether requests have to carry a key.
func (t *Table) HasTeams() bool {
	return len(t.Config.Teams) > 0
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service {
	return t.Config.Services[name]
}

// Pick returns the service for a request; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
