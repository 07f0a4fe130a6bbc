package scheduling

import (
	"slices"
	"time"
)

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
	ReasonPrefill
	ReasonTokenTime
	ReasonTooLate
	ReasonHeadroom
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
	ReasonPrefill:     "prefill",
	ReasonTokenTime:   "token-time",
	ReasonTooLate:     "too-late",
	ReasonHeadroom:    "headroom",
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
func Filter(p *Policy, r *Request, c *Candidate, yielded []string) Reason {
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
	if tooLate(r, c) {
		return ReasonTooLate
	}
	return withinLimits(p, r, c)
}

func holdsAny(c *Candidate, models []string) bool {
	for _, m := range models {
		if c.Plain || slices.Contains(c.Models, m) {
			return true
		}
	}
	return false
}

// tooLateMargin allows for the error of expected first-token times.
const tooLateMargin = 2.0

// tooLate keeps prefill from being spent on an answer that nobody waits for.
func tooLate(r *Request, c *Candidate) bool {
	return r.Remaining > 0 && !c.Plain && firstToken(r, c)*tooLateMargin > r.Remaining.Seconds()
}

// prefillShare of the first-token goal may be spent waiting at a target; the
// rest of a wait is spent in the owner's queue, where the order of tiers holds.
const prefillShare = 0.05

// PrefillBound returns the time that prefill may wait at a target.
func (p *Policy) PrefillBound() time.Duration {
	return time.Duration(prefillShare * float64(p.FirstTokenGoal))
}

// blocksPrefill reports whether r's own prefill on c takes longer than more
// important requests should wait behind it.
func blocksPrefill(p *Policy, r *Request, c *Candidate) bool {
	if r.Rank == 0 || c.Plain {
		return false
	}
	return float64(r.Uncached(c))/c.PrefillRate > p.PrefillBound().Seconds()
}

// spare counts the candidates that can begin a prefill soon.
func spare(p *Policy, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Leaving && !c.Failing && !c.Reserved && c.PrefillWait <= p.PrefillBound() {
			n++
		}
	}
	return n
}

// withinLimits lets an idle target take any request, so that a request larger
// than the limit still runs.
func withinLimits(p *Policy, r *Request, c *Candidate) Reason {
	if c.InFlight == 0 {
		return Eligible
	}
	if c.MaxInFlight > 0 && c.InFlight >= c.MaxInFlight {
		return ReasonConcurrency
	}
	switch {
	case c.Plain:
		return Eligible
	case c.PrefillWait > p.PrefillBound():
		return ReasonPrefill
	case c.TokenTime > p.TokenTimeGoal:
		return ReasonTokenTime
	case c.OutstandingTokens+r.Cost(c) > c.LimitTokens:
		return ReasonTokenLimit
	default:
		return Eligible
	}
}
