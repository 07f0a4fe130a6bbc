package scheduling

import (
	"slices"
	"time"
)

// Reason is the result of filtering a candidate: Eligible or the reason for its
// rejection.
type Reason uint8

// Filter results. Waiting cannot change those before ReasonReserved; Temporary
// depends on this order.
const (
	// Eligible means that the target can run the request now.
	Eligible Reason = iota
	// ReasonLeaving means that the target is leaving and accepts no new requests.
	ReasonLeaving
	// ReasonNoModel means that the target does not serve the model.
	ReasonNoModel
	// ReasonReserved means that the target is reserved for a suspect request.
	ReasonReserved
	// ReasonNotIdle means that the request must run alone and the target is busy.
	ReasonNotIdle
	// ReasonTokenLimit means that the request would exceed the limit of
	// outstanding tokens.
	ReasonTokenLimit
	// ReasonConcurrency means that the target has its maximum of requests in
	// flight.
	ReasonConcurrency
	// ReasonYielded means that more important requests wait for a model that the
	// target serves.
	ReasonYielded
	// ReasonFailing means that the target is paused after failed requests.
	ReasonFailing
	// ReasonPrefill means that the prefill backlog exceeds Policy.MaxPrefillWait.
	ReasonPrefill
	// ReasonTokenTime means that one more request would push the time per output
	// token above its goal.
	ReasonTokenTime
	// ReasonTooLate means that the target is unlikely to produce the first token
	// before the deadline.
	ReasonTooLate
	// ReasonHeadroom means that the request's prefill is long and too few targets
	// can start another prefill soon.
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

// String returns the name of the reason as used in decision lines.
func (r Reason) String() string {
	return reasonNames[r]
}

// Temporary reports whether the candidate may become eligible later.
func (r Reason) Temporary() bool {
	return r >= ReasonReserved
}

// Filter returns Eligible if c can run r now, and otherwise the reason why not.
// More important requests are waiting for contendedModels, so every target that
// serves one of these models is rejected.
func Filter(p *Policy, r *Request, c *Candidate, contendedModels []string) Reason {
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
	if servesAny(c, contendedModels) {
		return ReasonYielded
	}
	if r.Exclusive && c.InFlight > 0 {
		return ReasonNotIdle
	}
	if missesDeadline(r, c) {
		return ReasonTooLate
	}
	return checkLimits(p, r, c)
}

// servesAny reports whether c serves at least one of the models.
func servesAny(c *Candidate, models []string) bool {
	for _, m := range models {
		if c.Plain || slices.Contains(c.Models, m) {
			return true
		}
	}
	return false
}

// deadlineMargin scales the expected time to the first token to allow for
// estimation errors.
const deadlineMargin = 2.0

// missesDeadline reports whether r's first token on c, with deadlineMargin, is
// expected after the deadline. The candidate is then rejected, so that no prefill
// is spent on a response that the client no longer waits for.
func missesDeadline(r *Request, c *Candidate) bool {
	return r.Remaining > 0 && !c.Plain && firstTokenSeconds(r, c)*deadlineMargin > r.Remaining.Seconds()
}

// prefillWaitShare is the share of the first-token goal that a request may wait
// for prefill at a target. Any longer wait happens in the owner's queue, which is
// ordered by tier.
const prefillWaitShare = 0.05

// MaxPrefillWait returns the maximum time that a prefill may wait at a target.
func (p *Policy) MaxPrefillWait() time.Duration {
	return time.Duration(prefillWaitShare * float64(p.FirstTokenGoal))
}

// hasLongPrefill reports whether r's prefill on c would delay more important
// requests by more than MaxPrefillWait. It is false for the most important tier
// and for plain targets.
func hasLongPrefill(p *Policy, r *Request, c *Candidate) bool {
	if r.Rank == 0 || c.Plain {
		return false
	}
	return float64(r.UncachedTokens(c))/c.PrefillRate > p.MaxPrefillWait().Seconds()
}

// countPrefillReady returns the number of candidates that can start a prefill
// within MaxPrefillWait.
func countPrefillReady(p *Policy, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Leaving && !c.Failing && !c.Reserved && c.PrefillWait <= p.MaxPrefillWait() {
			n++
		}
	}
	return n
}

// checkLimits compares c's load with its limits. An idle target accepts any
// request, so that a request larger than the token limit can still run.
func checkLimits(p *Policy, r *Request, c *Candidate) Reason {
	if c.InFlight == 0 {
		return Eligible
	}
	if c.MaxInFlight > 0 && c.InFlight >= c.MaxInFlight {
		return ReasonConcurrency
	}
	switch {
	case c.Plain:
		return Eligible
	case c.PrefillWait > p.MaxPrefillWait():
		return ReasonPrefill
	case c.TokenTime > p.TokenTimeGoal:
		return ReasonTokenTime
	case c.OutstandingTokens+r.Cost(c) > c.LimitTokens:
		return ReasonTokenLimit
	default:
		return Eligible
	}
}
