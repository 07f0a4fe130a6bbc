package scheduling

import "time"

const (
	initialLimitTokens = 8192
	minLimitTokens     = 512
	maxLimitTokens     = 1 << 20
	// completionsPerAdjustment is the number of completed requests per adjustment
	// of the limit.
	completionsPerAdjustment = 20
	// maxMissShare is the share of requests that may miss a latency goal.
	maxMissShare  = 0.05
	limitDecrease = 0.85
	limitIncrease = 1.1
)

// TokenLimit is an adaptive limit of a target's outstanding tokens. It
// decreases when more than the allowed share of requests miss a latency goal,
// and increases when the goals are met and the load came near the limit.
type TokenLimit struct {
	tokens    float64
	completed int
	missed    int
	nearLimit bool
}

// NewTokenLimit returns a limit that starts at the given number of tokens, or
// at a default if tokens is 0.
func NewTokenLimit(tokens float64) TokenLimit {
	if tokens <= 0 {
		tokens = initialLimitTokens
	}
	return TokenLimit{tokens: tokens}
}

// Tokens returns the current limit.
func (l *TokenLimit) Tokens() float64 {
	return l.tokens
}

// ObserveOutstanding records the outstanding tokens of the target. Above 70% of
// the limit, the next adjustment may increase it.
func (l *TokenLimit) ObserveOutstanding(outstanding float64) {
	if outstanding > l.tokens*0.7 {
		l.nearLimit = true
	}
}

// Observe compares a completed request with the latency goals. firstToken is the
// part of the time to the first token caused by the target's load, excluding the
// request's own prefill.
func (l *TokenLimit) Observe(p *Policy, firstToken, tokenTime time.Duration) {
	l.completed++
	if firstToken > p.FirstTokenGoal || tokenTime > p.TokenTimeGoal {
		l.missed++
	}
	if l.completed >= completionsPerAdjustment {
		l.adjust()
	}
}

// adjust updates the limit from the completions since the last adjustment.
func (l *TokenLimit) adjust() {
	missed := float64(l.missed) > maxMissShare*float64(l.completed)
	switch {
	case missed:
		l.tokens = max(l.tokens*limitDecrease, minLimitTokens)
	case l.nearLimit:
		l.tokens = min(l.tokens*limitIncrease, maxLimitTokens)
	}
	l.completed, l.missed, l.nearLimit = 0, 0, false
}
