package culprit

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/clock"
)

// maxFeatures bounds the features on which evidence is kept; the least recently
// changed one is evicted.
const maxFeatures = 4096

// evidence is all that a node knows of crashes. It is not safe for concurrent use.
type evidence struct {
	records *lru.LRU[Feature, *record]
}

func newEvidence() *evidence {
	records, err := lru.NewLRU[Feature, *record](maxFeatures, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &evidence{records: records}
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
	for _, f := range c.Features {
		e.record(f).addCrash(c)
	}
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
func (e *evidence) judge(features []Feature, now clock.Instant) Verdict {
	var worst Verdict
	for _, f := range features {
		r, ok := e.records.Peek(f)
		if !ok || len(r.crashes) == 0 {
			continue
		}
		if v := e.judgeFeature(f, r, features, now); v.State > worst.State {
			worst = v
		}
	}
	return worst
}

// judgeFeature concludes from the crashes with one feature. The requests that crashed
// may share further features, and any of these may be the cause; so only a request that
// has all of them is suspected, without those that have survived.
func (e *evidence) judgeFeature(f Feature, r *record, features []Feature, now clock.Instant) Verdict {
	count := r.count(now)
	if count < quarantineCrashes-1 || !containsAll(features, e.common(r)) {
		return Verdict{}
	}
	v := Verdict{State: Suspect, Feature: f, Crashes: count}
	if count < quarantineCrashes {
		return v
	}
	last := r.crashes[len(r.crashes)-1].At
	if remaining := firstQuarantine<<(count-quarantineCrashes) - now.Sub(last); remaining > 0 {
		v.State, v.RetryAfter = Quarantined, remaining
	}
	return v
}

// common returns the features that all crashed requests of a record share and that no
// target has survived since the first of these crashes.
func (e *evidence) common(r *record) []Feature {
	first := r.crashes[0]
	common := slices.Clone(first.Features)
	for _, c := range r.crashes[1:] {
		common = slices.DeleteFunc(common, func(f Feature) bool { return !slices.Contains(c.Features, f) })
	}
	return slices.DeleteFunc(common, func(f Feature) bool {
		other, ok := e.records.Peek(f)
		return ok && other.survivedAt >= first.At
	})
}

func containsAll(features, wanted []Feature) bool {
	for _, f := range wanted {
		if !slices.Contains(features, f) {
			return false
		}
	}
	return true
}
