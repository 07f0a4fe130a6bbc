package scheduling

import "slices"

// Reason says why a candidate was kept or dropped.
type Reason uint8

// Reasons of a filter step. A dropped target whose reason is temporary may
// take the request later.
const (
	Eligible Reason = iota
	ReasonLeaving
	ReasonNoModel
	ReasonReserved
	ReasonNotIdle
	ReasonTokenLimit
	ReasonConcurrency
	ReasonYielded
	ReasonFailing
)

var reasonNames = [...]string{
	Eligible:          "eligible",
	ReasonLeaving:     "leaving",
	ReasonNoModel:     "no-model",
	ReasonReserved:    "reserved",
	ReasonNotIdle:     "not-idle",
	ReasonTokenLimit:  "token-limit",
	ReasonConcurrency: "concurrency",
	ReasonYielded:     "yielded",
	ReasonFailing:     "failing",
}

// String returns the reason's name in lower case.
func (r Reason) String() string {
	return reasonNames[r]
}

// Temporary reports whether waiting can make the target eligible.
func (r Reason) Temporary() bool {
	return r >= ReasonReserved
}

// Filter returns whether c may run r now, and why not. yielded are models for
// which more important requests wait: a target that holds one of them is left
// to those.
func Filter(r *Request, c *Candidate, yielded []string) Reason {
	if c.Leaving {
		return ReasonLeaving
	}
	if !c.Plain && !slices.Contains(c.Models, r.Model) {
		return ReasonNoModel
	}
	if c.Reserved {
		return ReasonReserved
	}
	if c.Failing {
		return ReasonFailing
	}
	if holdsAny(c, yielded) {
		return ReasonYielded
	}
	if r.Alone && c.InFlight > 0 {
		return ReasonNotIdle
	}
	return withinLimits(r, c)
}

func holdsAny(c *Candidate, models []string) bool {
	for _, m := range models {
		if c.Plain || slices.Contains(c.Models, m) {
			return true
		}
	}
	return false
}

// withinLimits lets an idle target take any request, so that a request larger
// than the limit still runs.
func withinLimits(r *Request, c *Candidate) Reason {
	if c.InFlight == 0 {
		return Eligible
	}
	if c.MaxInFlight > 0 && c.InFlight >= c.MaxInFlight {
		return ReasonConcurrency
	}
	if !c.Plain && c.OutstandingTokens+r.Cost(c) > c.LimitTokens {
		return ReasonTokenLimit
	}
	return Eligible
}
