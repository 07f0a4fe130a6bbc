package admission

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// target is what the owner knows of one target.
type target struct {
	info   topology.Target
	models []string
	// saysLeaving and loaded are the target's own announcement.
	saysLeaving bool
	loaded      []string
	rates       scheduling.Rates
	limit       scheduling.Limit
	prefix      *scheduling.PrefixIndex
	inFlight    int
	// tokens is the expected output of the requests in flight, or their number
	// on a plain target.
	tokens float64
	// prefillDone is when the prefill assigned so far is expected to be done.
	prefillDone time.Time
	// failures counts failed requests in a row; retryAt ends the pause they
	// cause.
	failures int
	retryAt  time.Time
	// observed is when a completion was last learned from.
	observed time.Time
	// reservedFor is a suspect request that waits for the target to be idle,
	// and alone the permit of one that runs.
	reservedFor *Waiter
	alone       *permit
}

// permit is one grant in use.
type permit struct {
	number    uint64
	requestID string
	entryNode string
	target    *target
	rank      uint32
	cost      float64
	granted   time.Time
	expires   time.Time
	// ahead is the prefill in tokens expected before the first token.
	ahead  float64
	wait   time.Duration
	cached int
	batch  int
	print  uint64
	alone  bool
	// adopted permits were granted by the group's previous owner, so that
	// nothing is known of what was expected of them.
	adopted bool
}

func newTarget(info topology.Target) *target {
	return &target{
		info:   info,
		models: info.Models,
		rates:  scheduling.NewRates(),
		limit:  scheduling.NewLimit(0),
		prefix: scheduling.NewPrefixIndex(),
	}
}

// candidate describes the target to a decision on w.
func (t *target) candidate(now time.Time, w *Waiter) scheduling.Candidate {
	r := &w.request
	wait := max(t.prefillDone.Sub(now), 0)
	rate := t.rates.Prefill()
	return scheduling.Candidate{
		Name:              t.info.Name,
		Region:            t.info.Region,
		Plain:             t.plain(),
		Leaving:           t.leaving(),
		Models:            t.holds(),
		Reserved:          t.alone != nil || (t.reserved() && t.reservedFor != w),
		Failing:           t.retryAt.After(now),
		InFlight:          t.inFlight,
		MaxInFlight:       t.maxInFlight(),
		OutstandingTokens: t.tokens + wait.Seconds()*rate,
		LimitTokens:       t.limit.Tokens(),
		PrefillWait:       wait,
		PrefillRate:       rate,
		TokenTime:         t.rates.TokenTime(t.inFlight + 1),
		CachedTokens:      t.prefix.CachedTokens(r.Blocks, r.PromptTokens),
	}
}

// reserved reports whether a suspect request waits for the target or has it.
func (t *target) reserved() bool {
	return t.alone != nil || (t.reservedFor != nil && t.reservedFor.flow != nil)
}

// holdsAny reports whether the target can serve one of the models.
func (t *target) holdsAny(models []string) bool {
	return t.plain() || slices.ContainsFunc(t.models, func(m string) bool { return slices.Contains(models, m) })
}

func (t *target) plain() bool {
	return t.info.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN
}

func (t *target) maxInFlight() int {
	if !t.plain() {
		return 0
	}
	if t.info.MaxConcurrency == 0 {
		return defaultPlainConcurrency
	}
	return int(t.info.MaxConcurrency)
}

// take adds a permit's work to the target.
func (t *target) take(now time.Time, r *scheduling.Request, c *scheduling.Candidate, p *permit) {
	uncached := float64(r.Uncached(c))
	p.wait = c.PrefillWait
	p.ahead = c.PrefillWait.Seconds()*c.PrefillRate + uncached
	p.cached = c.CachedTokens
	if r.Alone {
		t.alone, t.reservedFor, p.alone = p, nil, true
	}
	t.inFlight++
	p.batch = t.inFlight
	t.tokens += p.cost
	t.limit.Used(c.OutstandingTokens + r.Cost(c))
	if !t.plain() {
		took := time.Duration(uncached / c.PrefillRate * float64(time.Second))
		t.prefillDone = now.Add(c.PrefillWait + took)
		t.prefix.Insert(r.Blocks)
	}
}

// idleRoom is the prompt in tokens that an idle target can be given.
const idleRoom = 16384

// room returns the prompt tokens that the target can begin soon.
func (t *target) room(now time.Time, p *scheduling.Policy) float64 {
	if t.reserved() || t.retryAt.After(now) {
		return 0
	}
	if t.inFlight == 0 {
		return idleRoom
	}
	wait := max(t.prefillDone.Sub(now), 0)
	if t.rates.TokenTime(t.inFlight+1) > p.TokenTimeGoal || wait > p.PrefillBound() {
		return 0
	}
	return (p.PrefillBound() - wait).Seconds() * t.rates.Prefill()
}

// give removes a permit's work from the target.
func (t *target) give(p *permit) {
	if t.alone == p {
		t.alone = nil
	}
	t.inFlight--
	t.tokens = max(t.tokens-p.cost, 0)
	if t.inFlight == 0 {
		t.tokens = 0
		t.prefillDone = time.Time{}
	}
}

// learn takes the measurements of a completed request.
func (t *target) learn(now time.Time, policy *scheduling.Policy, p *permit, r *schema.PermitReturn, batch int) {
	t.failures = 0
	t.observed = now
	if t.plain() || p.adopted {
		return
	}
	first := r.GetFirstToken().AsDuration()
	cached := int(r.GetCachedTokens())
	t.prefix.Observe(p.cached, cached)
	ahead := p.ahead + float64(p.cached-cached)
	t.rates.ObservePrefill(ahead, first, p.batch)
	gap := meanGap(r)
	t.rates.ObserveDecode(float64(p.batch+batch)/2, gap)
	own := time.Duration(float64(int(r.GetPromptTokens())-cached) / t.rates.Prefill() * float64(time.Second))
	t.limit.Observe(policy, first-own, max(gap, r.GetTokenGap().AsDuration()))
}

// meanGap returns the mean time between tokens, or 0 if it is not known.
func meanGap(r *schema.PermitReturn) time.Duration {
	rest := r.GetTotal().AsDuration() - r.GetFirstToken().AsDuration()
	if r.GetOutputTokens() < 2 || rest <= 0 {
		return r.GetTokenGap().AsDuration()
	}
	return rest / time.Duration(r.GetOutputTokens()-1)
}

// failed pauses the target for a time that doubles with each failure in a row.
func (t *target) failed(now time.Time) {
	t.retryAt = now.Add(min(firstFailurePause<<min(t.failures, maxFailureDoublings), maxFailurePause))
	t.failures++
}

func (t *target) status() *schema.TargetStatus {
	return &schema.TargetStatus{
		Name:                   t.info.Name,
		Leaving:                t.leaving(),
		InFlight:               uint32(t.inFlight),
		OutstandingTokens:      t.tokens,
		LimitTokens:            t.limit.Tokens(),
		PrefillTokensPerSecond: t.rates.Prefill(),
		OutputTokenTime:        durationpb.New(t.rates.TokenTime(t.inFlight + 1)),
	}
}
