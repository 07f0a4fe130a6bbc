// Package catalog holds the operator's configuration of a deployment: routes,
// services, teams and limits, and the targets. Its values are immutable once
// they are published.
package catalog

import "time"

// Kind determines whether a request may run again after it was sent to a target,
// and whether its response is a stream.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events. They run at most
	// once, unless the route allows their stream to be resumed.
	Streaming
)

// String returns the kind's name in log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// WeightedService is the weight of one service in the distribution of a route's
// requests.
type WeightedService struct {
	Service string
	// Weight is relative to those of the other services.
	Weight float64
}

// Route configures how requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Shares has at least one entry.
	Shares []WeightedService
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the time to the response, or to a stream's first event, within
	// which it counts as on time.
	Goal time.Duration
	// GapGoal is the longest gap between a stream's events that counts as on
	// time; zero if the route sets none.
	GapGoal time.Duration
	// Patience is how long callers wait for a stream's first or next event;
	// zero if they wait until their time limit.
	Patience time.Duration
	// MaxAttempts limits the number of targets that one request is sent to.
	MaxAttempts int
	// Tier is the priority of the route's requests; 0 is the most important.
	Tier int
	// Anonymous allows requests without a key.
	Anonymous bool
	// Resume allows a broken stream to be resumed at another target.
	Resume bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resume
}

// Service is a pool of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConnections limits the connections of all nodes to one target; 0 is no
	// limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompts, in
	// tokens.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

// Team is a customer with its keys and its limit.
type Team struct {
	Name string
	Keys []string
	// Tier replaces the route's tier if HasTier is set.
	Tier    int
	HasTier bool
	// Rate is the limit per second; 0 is no limit.
	Rate float64
	// Burst is how much may be used at once beyond the rate.
	Burst float64
	// ByTokens counts tokens instead of requests towards the limit.
	ByTokens bool
	// DefaultTokens is the token count of a request that states none.
	DefaultTokens float64
}

// RequestLimits limits the size of requests and how long connections wait for
// them.
type RequestLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with each change, not always by one.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Teams    []*Team
	Bounds   RequestLimits
	// Raw is the configuration as read from the store, to be passed on to nodes
	// that cannot reach the store.
	Raw []byte
}

// Target is one process that serves requests of a service.
type Target struct {
	// ID identifies one instance; a restarted process usually has a new one.
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software; empty if unknown.
	Version string
	Slots   int
	// Draining targets get no new requests.
	Draining bool
	// Started is when the instance started, in Unix milliseconds; 0 if unknown.
	Started int64
	// Sequence counts what the instance has written about itself since its start; 0 if
	// unknown.
	Sequence uint64
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
	// Raw is the target's entry as read from the store.
	Raw []byte
}
