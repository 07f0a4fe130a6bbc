package rollout

import "math"

// Counts are the outcomes of the requests of one route at one version, since the order.
type Counts struct {
	// Responses counts all outcomes, Failures and Slow parts of them.
	Responses, Failures, Slow uint64
	// First and Gaps sum up the times to the first event or the response, and the mean gaps
	// between events.
	First, Gaps Times
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Responses + o.Responses, c.Failures + o.Failures, c.Slow + o.Slow, c.First.plus(o.First), c.Gaps.plus(o.Gaps)}
}

func (c Counts) most(o Counts) Counts {
	return Counts{max(c.Responses, o.Responses), max(c.Failures, o.Failures), max(c.Slow, o.Slow), c.First.most(o.First), c.Gaps.most(o.Gaps)}
}

// Series identifies the outcomes of one route at the new version, or at all others.
type Series struct {
	Route string
	New   bool
}

// Tally holds the outcomes of the requests of a service. Its counts only rise.
type Tally map[Series]Counts

// add adds the counts of another tally.
func (t Tally) add(o Tally) {
	for s, c := range o {
		t[s] = t[s].plus(c)
	}
}

// raise raises each count to that of a later or more complete tally of the same requests,
// and reports whether that changed any.
func (t Tally) raise(o Tally) (changed bool) {
	for s, c := range o {
		if m := t[s].most(c); m != t[s] {
			t[s], changed = m, true
		}
	}
	return changed
}

// each calls f for each route with the outcomes at both sides.
func (t Tally) each(f func(route string, before, after Counts)) {
	for s, c := range t {
		if s.New {
			f(s.Route, t[Series{Route: s.Route}], c)
		} else if _, ok := t[Series{s.Route, true}]; !ok {
			f(s.Route, c, Counts{})
		}
	}
}

const (
	// A version is bad once its bad responses exceed those expected from the other versions'
	// by minExcess plus excessDeviations standard deviations. At 20 % of bad responses and
	// none of the others, this is 8 of 40 responses, and a sound version exceeds it on less
	// than one rollout in a thousand (TestSoundVersionIsRarelyTakenForABadOne).
	minExcess        = 4
	excessDeviations = 4
	// priorBad of priorResponses are added to the other versions' outcomes, so that few of
	// these prove no share of zero.
	priorBad       = 0.25
	priorResponses = 25
)

// Bad reports whether the new version fails more often, or is slow more often, than the
// others on a route or over all routes.
func (t Tally) Bad() bool {
	var failures, slow excess
	bad := false
	t.each(func(_ string, before, after Counts) {
		f := excessOf(before.Failures, before.Responses, after.Failures, after.Responses)
		s := excessOf(before.Slow, before.Responses, after.Slow, after.Responses)
		bad = bad || f.significant() || s.significant()
		failures, slow = failures.plus(f), slow.plus(s)
	})
	return bad || failures.significant() || slow.significant()
}

// excess compares the bad responses of the new version with those that are expected.
type excess struct{ seen, expected, variance float64 }

func (e excess) plus(o excess) excess {
	return excess{e.seen + o.seen, e.expected + o.expected, e.variance + o.variance}
}

func (e excess) significant() bool {
	return e.seen-e.expected >= minExcess+excessDeviations*math.Sqrt(e.variance)
}

func excessOf(badBefore, before, badAfter, after uint64) excess {
	share := min(1, (float64(badBefore)+priorBad)/(float64(before)+priorResponses))
	n := float64(after)
	return excess{float64(badAfter), share * n, share * n}
}

const (
	// enoughResponses is how many responses of the new version on a route suffice to tell: a
	// version that is bad in a quarter of them shows five.
	enoughResponses = 20
	// enoughShare is the part of the expected responses that suffices on a route with few
	// requests.
	enoughShare = 0.5
)

// Evidence is how much the outcomes tell of the new version.
type Evidence uint8

// The degrees of evidence.
const (
	// Missing means that the new version has fewer responses than its share on a route.
	Missing Evidence = iota
	// Scarce means that no more can be expected, but the new version has no response.
	Scarce
	// Sufficient means that there are enough responses on each route.
	Sufficient
)

// Evidence returns how much the outcomes tell of the new version, which got a share of the
// requests.
func (t Tally) Evidence(share float64) Evidence {
	evidence, responses := Sufficient, uint64(0)
	t.each(func(_ string, before, after Counts) {
		needed := min(enoughResponses, math.Floor(enoughShare*share*float64(before.Responses)))
		if float64(after.Responses) < needed {
			evidence = Missing
		}
		responses += after.Responses
	})
	if evidence == Sufficient && responses == 0 {
		return Scarce
	}
	return evidence
}
