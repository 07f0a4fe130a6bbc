package front

import (
	"net/http"
	"path"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// HeaderTier is the header with which a caller lowers its request's tier.
const HeaderTier = "X-Tier"

// tier is the configured name and the rank of a request's tier.
type tier struct {
	name string
	rank uint32
}

// tierFor returns the configured tier, or the tier in X-Tier if that is lower.
// The configured tier is the first that is set of: the team's for the service,
// the team's for every service, the route's, the service's, the lowest tier.
func tierFor(s *topology.Snapshot, r *http.Request, team *schema.Team, service *schema.Service, route *schema.Route) (tier, error) {
	configured := configuredTier(s, team, service, route)
	requested := r.Header.Get(HeaderTier)
	if requested == "" {
		return configured, nil
	}
	rank, ok := s.TierRank(requested)
	if !ok {
		return tier{}, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"X-Tier names no tier of the configuration", "leave the header out, or name a configured tier").WithOutcomeNotRun()
	}
	if rank > configured.rank {
		return tier{requested, rank}, nil
	}
	return configured, nil
}

func configuredTier(s *topology.Snapshot, team *schema.Team, service *schema.Service, route *schema.Route) tier {
	names := []string{
		teamTier(team, service.GetName()),
		teamTier(team, ""),
		route.GetTier(),
		service.GetTier(),
	}
	for _, name := range names {
		if rank, ok := s.TierRank(name); ok {
			return tier{name, rank}
		}
	}
	return lowestTier(s)
}

func teamTier(team *schema.Team, service string) string {
	for _, rule := range team.GetTiers() {
		if rule.GetService() == service {
			return rule.GetTier()
		}
	}
	return ""
}

// lowestTier returns the tier with the highest rank value. Its name is empty if
// the configuration has no tiers.
func lowestTier(s *topology.Snapshot) tier {
	lowest := s.LowestTierRank()
	for _, t := range s.Config.GetTiers() {
		if t.GetRank() == lowest {
			return tier{t.GetName(), lowest}
		}
	}
	return tier{"", lowest}
}

// routeFor returns the first route that matches the method and the cleaned path,
// or nil.
func routeFor(service *schema.Service, method, unescaped string) *schema.Route {
	clean := path.Clean("/" + unescaped)
	for _, route := range service.GetRoutes() {
		if route.GetMethod() != "" && route.GetMethod() != method {
			continue
		}
		if strings.HasPrefix(clean, route.GetPathPrefix()) {
			return route
		}
	}
	return nil
}

// isIdempotent reports whether a request may safely run twice. A request that
// matches no route counts as idempotent if its method is safe (RFC 9110, 9.2.1).
func isIdempotent(route *schema.Route, method string) bool {
	if route != nil {
		return route.GetIdempotent()
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// hasDotSegments reports whether a path has "." or ".." segments. A target may
// resolve them differently, so such a path cannot be matched to a route reliably.
func hasDotSegments(unescaped string) bool {
	for segment := range strings.SplitSeq(unescaped, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
