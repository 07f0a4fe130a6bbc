// Package scheduling selects the target of a group that runs a request. A
// decision is a pure function of a snapshot in three steps: filter, score and
// pick. The package also contains the estimators that such a snapshot is built
// from: the rates and token limits of targets, the expected output length, and an
// index of cached prompt prefixes. Nothing here reads a clock or performs I/O.
package scheduling

import "time"

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Team    string
	Service string
	// Model is empty for plain services.
	Model        string
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Blocks are the chained hashes of the prompt's blocks, in order.
	Blocks []uint64
	// Region is the region of the entry node.
	Region    string
	BodyBytes int
	// Rank is the rank of the request's tier; 0 is the most important.
	Rank int
	// Exclusive requires a target without other requests in flight.
	Exclusive bool
	// Remaining is the time left until the deadline for the first token; 0 means
	// no deadline.
	Remaining time.Duration
}

// Candidate is a snapshot of one target at the time of a decision.
type Candidate struct {
	Name   string
	Region string
	// Plain is set for a target of a plain service, which serves no models.
	Plain bool
	// Leaving is set if the target is leaving and accepts no new requests.
	Leaving bool
	// Models are the models that the target serves.
	Models []string
	// Reserved is set if the target is reserved for a single suspect request and
	// accepts no other.
	Reserved bool
	// Failing is set while the target is paused after failed requests.
	Failing bool
	// InFlight is the number of requests in flight.
	InFlight int
	// MaxInFlight limits the requests in flight on a plain target; 0 means no
	// limit.
	MaxInFlight int
	// OutstandingTokens is the uncached prefill plus the expected output of the
	// requests in flight.
	OutstandingTokens float64
	// LimitTokens is the limit of OutstandingTokens.
	LimitTokens float64
	// PrefillWait is the time until the prefill already assigned is completed.
	PrefillWait time.Duration
	// PrefillRate is the prefill speed in tokens per second.
	PrefillRate float64
	// TokenTime is the expected time per output token with one more request in
	// flight.
	TokenTime time.Duration
	// CachedTokens is the number of tokens of the request's prompt that are
	// expected in the target's cache.
	CachedTokens int
}

// Policy holds the latency goals and weights of a decision.
type Policy struct {
	// FirstTokenGoal and TokenTimeGoal are to be met by 95% of the requests.
	FirstTokenGoal time.Duration
	TokenTimeGoal  time.Duration
	// CrossRegionPrice is the penalty per megabyte sent between regions, in
	// seconds of score.
	CrossRegionPrice float64
}

// bytesPerToken is the mean size of an output token on the wire.
const bytesPerToken = 4

// UncachedTokens returns the number of prompt tokens that c has to prefill for
// r, at least 1.
func (r *Request) UncachedTokens(c *Candidate) int {
	return max(r.PromptTokens-c.CachedTokens, 1)
}

// Cost returns the number of tokens that r adds to c's outstanding tokens.
func (r *Request) Cost(c *Candidate) float64 {
	if c.Plain {
		return 1
	}
	return float64(r.UncachedTokens(c) + r.OutputTokens)
}

// DecodeCost returns the part of the cost that remains after the prompt is
// prefilled.
func (r *Request) DecodeCost(c *Candidate) float64 {
	if c.Plain {
		return 1
	}
	return float64(r.OutputTokens)
}
