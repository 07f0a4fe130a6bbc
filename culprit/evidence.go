package culprit

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// maxFeatures bounds the features on which evidence is kept, and maxTargets the targets;
	// the least recently changed ones are evicted.
	maxFeatures = 1 << 14
	maxTargets  = 256
)

// features is a set of features.
type features map[Feature]struct{}

func (s features) add(list []Feature) {
	for _, f := range list {
		s[f] = struct{}{}
	}
}

func (s features) has(f Feature) bool {
	_, ok := s[f]
	return ok
}

// unique returns the features in order, each once.
func unique(list []Feature) []Feature {
	seen := make(features, len(list))
	distinct := make([]Feature, 0, len(list))
	for _, f := range list {
		if !seen.has(f) {
			seen.add([]Feature{f})
			distinct = append(distinct, f)
		}
	}
	return distinct
}

// evidence is all that a node knows of crashes. It is not safe for concurrent use.
type evidence struct {
	records *lru.LRU[Feature, *record]
	// crashed holds, by target, the features of all requests that were there when it
	// crashed.
	crashed *lru.LRU[uint64, features]
}

func newEvidence() *evidence {
	records, err := lru.NewLRU[Feature, *record](maxFeatures, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	crashed, err := lru.NewLRU[uint64, features](maxTargets, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &evidence{records: records, crashed: crashed}
}

func (e *evidence) record(f Feature) *record {
	r, ok := e.records.Get(f)
	if !ok {
		r = &record{}
		e.records.Add(f, r)
	}
	return r
}

func (e *evidence) addCrash(c Crash) {
	c.Features = unique(c.Features)
	for _, f := range c.Features {
		e.record(f).addCrash(c)
	}
	all, ok := e.crashed.Get(c.Target)
	if !ok {
		all = make(features)
		e.crashed.Add(c.Target, all)
	}
	all.add(c.Features)
}

func (e *evidence) addSurvival(s Survival) { e.record(s.Feature).survive(s.At) }

// open returns the features that have been there at a crash and not survived since.
func (e *evidence) open(features []Feature) []Feature {
	var open []Feature
	for _, f := range features {
		if r, ok := e.records.Peek(f); ok && len(r.crashes) > 0 {
			open = append(open, f)
		}
	}
	return open
}

// judge returns the strongest verdict on a request with these features.
func (e *evidence) judge(list []Feature, now clock.Instant) Verdict {
	var worst Verdict
	request := make(features, len(list))
	request.add(list)
	for _, f := range list {
		r, ok := e.records.Peek(f)
		if !ok || len(r.crashes) == 0 {
			continue
		}
		if v := e.judgeFeature(f, r, request, now); v.State > worst.State {
			worst = v
		}
	}
	return worst
}

// judgeFeature concludes from the crashes with one feature. The requests that crashed
// may share further features, and any of these may be the cause; so only a request that
// has all of them is suspected, without those that have survived. It stays a suspect while
// something else may be the cause of the same crashes.
func (e *evidence) judgeFeature(f Feature, r *record, request features, now clock.Instant) Verdict {
	count := r.count(now)
	if count < quarantineCrashes-1 || !e.hasCommon(request, r) {
		return Verdict{}
	}
	v := Verdict{State: Suspect, Feature: f, Crashes: count}
	if count < quarantineCrashes {
		return v
	}
	last := r.crashes[len(r.crashes)-1].At
	remaining := firstQuarantine<<(count-quarantineCrashes) - now.Sub(last)
	if remaining > 0 && !e.hasRival(request, r) {
		v.State, v.RetryAfter = Quarantined, remaining
	}
	return v
}

// hasCommon reports whether a request has all features that the crashed requests of a
// record share and that no target has survived since the first of these crashes.
func (e *evidence) hasCommon(request features, r *record) bool {
	counts := make(map[Feature]int, len(r.crashes[0].Features))
	for _, c := range r.crashes {
		for _, f := range c.Features {
			counts[f]++
		}
	}
	for f, n := range counts {
		if n == len(r.crashes) && !request.has(f) && !e.survived(f, r.crashes[0].At) {
			return false
		}
	}
	return true
}

// hasRival reports whether a feature that the request does not have was there at all crashes
// of a record and may be their cause, so that the request may have merely waited there.
func (e *evidence) hasRival(request features, r *record) bool {
	first := r.crashes[0]
	all, ok := e.crashed.Peek(first.Target)
	if !ok {
		return false
	}
	for f := range all {
		if !request.has(f) && !e.survived(f, first.At) && e.presentAtAll(f, r) {
			return true
		}
	}
	return false
}

// presentAtAll reports whether a request with a feature was there at each crash of a record.
func (e *evidence) presentAtAll(f Feature, r *record) bool {
	for _, c := range r.crashes {
		if all, ok := e.crashed.Peek(c.Target); !ok || !all.has(f) {
			return false
		}
	}
	return true
}

// survived reports whether a target has survived a feature since an instant.
func (e *evidence) survived(f Feature, since clock.Instant) bool {
	r, ok := e.records.Peek(f)
	return ok && r.survivedAt >= since
}
