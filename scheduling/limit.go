package scheduling

import "time"

const (
	initialLimitTokens = 8192
	minLimitTokens     = 512
	maxLimitTokens     = 1 << 20
	// limitWindow is the number of completions judged together.
	limitWindow = 20
	// missShare is the share of requests that may miss a goal.
	missShare     = 0.05
	limitDecrease = 0.85
	limitIncrease = 1.1
)

// Limit bounds a target's outstanding tokens. It shrinks while more requests
// than allowed miss the goals, and grows while it is used and they meet them.
type Limit struct {
	tokens    float64
	completed int
	missed    int
	used      bool
}

// NewLimit returns a limit of the given tokens, or of a default for 0.
func NewLimit(tokens float64) Limit {
	if tokens <= 0 {
		tokens = initialLimitTokens
	}
	return Limit{tokens: tokens}
}

// Tokens returns the bound.
func (l *Limit) Tokens() float64 {
	return l.tokens
}

// Used notes that outstanding tokens came near the bound.
func (l *Limit) Used(outstanding float64) {
	if outstanding > l.tokens*0.7 {
		l.used = true
	}
}

// Observe judges one completion against the goals. firstToken is the time
// that the target's load added, without the request's own prefill.
func (l *Limit) Observe(p *Policy, firstToken, tokenTime time.Duration) {
	l.completed++
	if firstToken > p.FirstTokenGoal || tokenTime > p.TokenTimeGoal {
		l.missed++
	}
	if l.completed >= limitWindow {
		l.adapt()
	}
}

func (l *Limit) adapt() {
	missed := float64(l.missed) > missShare*float64(l.completed)
	switch {
	case missed:
		l.tokens = max(l.tokens*limitDecrease, minLimitTokens)
	case l.used:
		l.tokens = min(l.tokens*limitIncrease, maxLimitTokens)
	}
	l.completed, l.missed, l.used = 0, 0, false
}
