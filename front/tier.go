package front

import (
	"net/http"
	"path"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// HeaderTier lets a caller lower its request's tier.
const HeaderTier = "X-Tier"

// tier is a request's rank and its name in the configuration.
type tier struct {
	name string
	rank uint32
}

// tierFor returns the tier that the configuration gives, lowered if the
// caller asks for it. Rules count in this order: the team's for the service,
// the team's for every service, the route's, the service's, the lowest tier.
func tierFor(s *topology.Snapshot, r *http.Request, team *schema.Team, service *schema.Service, route *schema.Route) (tier, error) {
	given := configuredTier(s, team, service, route)
	asked := r.Header.Get(HeaderTier)
	if asked == "" {
		return given, nil
	}
	rank, ok := s.TierRank(asked)
	if !ok {
		return tier{}, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"X-Tier names no tier of the configuration", "leave the header out, or name a configured tier").NotRun()
	}
	if rank > given.rank {
		return tier{asked, rank}, nil
	}
	return given, nil
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

func lowestTier(s *topology.Snapshot) tier {
	lowest := s.LowestTier()
	for _, t := range s.Config.GetTiers() {
		if t.GetRank() == lowest {
			return tier{t.GetName(), lowest}
		}
	}
	return tier{"", lowest}
}

// routeFor returns the first route that matches, or nil.
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

// isIdempotent reports whether a call may run twice without harm. A call that
// no route names counts as idempotent if its method is safe.
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

// hasDotSegments reports whether a path leads elsewhere than it reads, so that
// its route could not be told.
func hasDotSegments(unescaped string) bool {
	for segment := range strings.SplitSeq(unescaped, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
