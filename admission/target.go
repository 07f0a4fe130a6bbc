package admission

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// target is the owner's state of one target.
type target struct {
	info   topology.Target
	models []string
	// announcedLeaving and announcedModels are what the target announces itself.
	announcedLeaving bool
	announcedModels  []string
	rates            scheduling.Rates
	limit            scheduling.TokenLimit
	prefixIndex      *scheduling.PrefixIndex
	inFlight         int
	// tokens is the expected output tokens of the requests in flight, or the
	// number of these requests on a plain target.
	tokens float64
	// prefillDone is when the prefill of the requests assigned so far is expected
	// to be done.
	prefillDone time.Time
	// failures counts consecutive failed requests. The target gets no permits
	// before retryAt.
	failures int
	retryAt  time.Time
	// lastObserved is when a completion was last recorded or the rates last
	// drifted.
	lastObserved time.Time
	// reservedFor is a suspect request that waits for the target to be idle, and
	// exclusivePermit is the permit of one that runs.
	reservedFor     *Waiter
	exclusivePermit *permit
}

// permit is a granted permit that was not returned yet.
type permit struct {
	number    uint64
	requestID string
	entryNode string
	target    *target
	rank      uint32
	cost      float64
	granted   time.Time
	expires   time.Time
	// prefillAhead is the prefill in tokens that is expected before the first
	// token of the request, including its own.
	prefillAhead   float64
	prefillWait    time.Duration
	expectedCached int
	batchSize      int
	fingerprint    uint64
	exclusive      bool
	// adopted permits were granted by the group's previous owner. The expectations
	// at their grant are not known.
	adopted bool
}

func newTarget(info topology.Target) *target {
	return &target{
		info:        info,
		models:      info.Models,
		rates:       scheduling.NewRates(),
		limit:       scheduling.NewTokenLimit(0),
		prefixIndex: scheduling.NewPrefixIndex(),
	}
}

// candidate returns the target's state as input for a scheduling decision on w.
func (t *target) candidate(now time.Time, w *Waiter) scheduling.Candidate {
	r := &w.request
	wait := max(t.prefillDone.Sub(now), 0)
	rate := t.rates.PrefillRate()
	return scheduling.Candidate{
		Name:              t.info.Name,
		Region:            t.info.Region,
		Plain:             t.plain(),
		Leaving:           t.leaving(),
		Models:            t.availableModels(),
		Reserved:          t.exclusivePermit != nil || (t.reserved() && t.reservedFor != w),
		Failing:           t.retryAt.After(now),
		InFlight:          t.inFlight,
		MaxInFlight:       t.maxInFlight(),
		OutstandingTokens: t.tokens + wait.Seconds()*rate,
		LimitTokens:       t.limit.Tokens(),
		PrefillWait:       wait,
		PrefillRate:       rate,
		TokenTime:         t.rates.TokenTime(t.inFlight + 1),
		CachedTokens:      t.prefixIndex.CachedTokens(r.Blocks, r.PromptTokens),
	}
}

// reserved reports whether a suspect request waits for the target or runs on
// it.
func (t *target) reserved() bool {
	return t.exclusivePermit != nil || (t.reservedFor != nil && t.reservedFor.flow != nil)
}

// servesAny reports whether the target can serve one of the models.
func (t *target) servesAny(models []string) bool {
	return t.plain() || slices.ContainsFunc(t.models, func(m string) bool { return slices.Contains(models, m) })
}

func (t *target) plain() bool {
	return t.info.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN
}

// maxInFlight returns the concurrency limit of a plain target, or 0 for an
// engine.
func (t *target) maxInFlight() int {
	if !t.plain() {
		return 0
	}
	if t.info.MaxConcurrency == 0 {
		return defaultPlainConcurrency
	}
	return int(t.info.MaxConcurrency)
}

// addPermit adds the work of a new permit to the target and records what is
// expected of it.
func (t *target) addPermit(now time.Time, r *scheduling.Request, c *scheduling.Candidate, p *permit) {
	uncached := float64(r.UncachedTokens(c))
	p.prefillWait = c.PrefillWait
	p.prefillAhead = c.PrefillWait.Seconds()*c.PrefillRate + uncached
	p.expectedCached = c.CachedTokens
	if r.Exclusive {
		t.exclusivePermit, t.reservedFor, p.exclusive = p, nil, true
	}
	t.inFlight++
	p.batchSize = t.inFlight
	t.tokens += p.cost
	t.limit.ObserveOutstanding(c.OutstandingTokens + r.Cost(c))
	if !t.plain() {
		prefillTime := time.Duration(uncached / c.PrefillRate * float64(time.Second))
		t.prefillDone = now.Add(c.PrefillWait + prefillTime)
		t.prefixIndex.Insert(r.Blocks)
	}
}

// idleFreePromptTokens is the free capacity that an idle target reports.
const idleFreePromptTokens = 16384

// freePromptTokens returns the prompt tokens that the target can take within
// the policy's goals.
func (t *target) freePromptTokens(now time.Time, policy *scheduling.Policy) float64 {
	if t.reserved() || t.retryAt.After(now) {
		return 0
	}
	if t.inFlight == 0 {
		return idleFreePromptTokens
	}
	wait := max(t.prefillDone.Sub(now), 0)
	if t.rates.TokenTime(t.inFlight+1) > policy.TokenTimeGoal || wait > policy.MaxPrefillWait() {
		return 0
	}
	return (policy.MaxPrefillWait() - wait).Seconds() * t.rates.PrefillRate()
}

// removePermit removes the work of a permit from the target.
func (t *target) removePermit(p *permit) {
	if t.exclusivePermit == p {
		t.exclusivePermit = nil
	}
	t.inFlight--
	t.tokens = max(t.tokens-p.cost, 0)
	if t.inFlight == 0 {
		t.tokens = 0
		t.prefillDone = time.Time{}
	}
}

// recordCompletion updates the target's rates, limit and prefix index from the
// measurements of a completed request.
func (t *target) recordCompletion(now time.Time, policy *scheduling.Policy, p *permit, r *schema.PermitReturn, batch int) {
	t.failures = 0
	t.lastObserved = now
	if t.plain() || p.adopted {
		return
	}
	firstToken := r.GetFirstToken().AsDuration()
	cached := int(r.GetCachedTokens())
	t.prefixIndex.Observe(p.expectedCached, cached)
	prefillAhead := p.prefillAhead + float64(p.expectedCached-cached)
	t.rates.ObservePrefill(prefillAhead, firstToken, p.batchSize)
	gap := meanTokenGap(r)
	t.rates.ObserveDecode(float64(p.batchSize+batch)/2, gap)
	ownPrefill := time.Duration(float64(int(r.GetPromptTokens())-cached) / t.rates.PrefillRate() * float64(time.Second))
	t.limit.Observe(policy, firstToken-ownPrefill, max(gap, r.GetTokenGap().AsDuration()))
}

// meanTokenGap returns the mean time between output tokens. If it cannot be
// computed, it returns the measured token gap, or 0 if there is none.
func meanTokenGap(r *schema.PermitReturn) time.Duration {
	decodeTime := r.GetTotal().AsDuration() - r.GetFirstToken().AsDuration()
	if r.GetOutputTokens() < 2 || decodeTime <= 0 {
		return r.GetTokenGap().AsDuration()
	}
	return decodeTime / time.Duration(r.GetOutputTokens()-1)
}

// recordFailure pauses the target. The pause doubles with each consecutive
// failure.
func (t *target) recordFailure(now time.Time) {
	t.retryAt = now.Add(min(initialFailureBackoff<<min(t.failures, maxBackoffDoublings), maxFailureBackoff))
	t.failures++
}

func (t *target) status() *schema.TargetStatus {
	return &schema.TargetStatus{
		Name:                   t.info.Name,
		Leaving:                t.leaving(),
		InFlight:               uint32(t.inFlight),
		OutstandingTokens:      t.tokens,
		LimitTokens:            t.limit.Tokens(),
		PrefillTokensPerSecond: t.rates.PrefillRate(),
		OutputTokenTime:        durationpb.New(t.rates.TokenTime(t.inFlight + 1)),
	}
}
