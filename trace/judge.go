package trace

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is how a request ended for its client.
type Ending string

// The endings.
const (
	EndingAnswer Ending = "answer"
	// EndingNotRun is a typed error that states that the request did not run.
	EndingNotRun Ending = "not_run"
	// EndingUnknown is a typed error that states that it is unknown whether the
	// request ran.
	EndingUnknown Ending = "unknown"
	// EndingRefused is any other typed error, such as an invalid key.
	EndingRefused Ending = "refused"
	// EndingBroken is a request without a complete answer or a typed error,
	// for instance after a broken connection or a timeout.
	EndingBroken Ending = "broken"
)

// Result is the result of one request.
type Result struct {
	Request Request
	// Sent is the time of sending, measured from the start of the run. Late is
	// its delay against the time in the trace.
	Sent, Late time.Duration
	Ending     Ending
	// Error is the kind of the typed error, such as "overloaded", or the
	// player's own kind for a broken request.
	Error  string
	Status int
	// FirstToken and Total are measured from the time of sending in the trace,
	// so that a slow sender does not hide waiting time.
	FirstToken, Total time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Tokens counts the tokens of the answer, Cached those of the prompt that
	// were in a prefix cache.
	Tokens, Cached int
	// Complete reports whether the answer is complete and belongs to the
	// request, as far as the answers of the stand-ins allow to check it.
	Complete bool
	// Runs is the number of times that the stand-in service ran the call; 0 if
	// it did not report it.
	Runs int
}

// Useful reports whether the answer is complete and began within the deadline.
func (r *Result) Useful() bool {
	deadline := time.Duration(r.Request.Deadline) * time.Millisecond
	return r.Ending == EndingAnswer && r.Complete && (deadline == 0 || r.FirstToken <= deadline)
}

// ExpectationKind is the kind of an expectation.
type ExpectationKind string

// The kinds of expectations.
const (
	// ExpectUseful: at least MinShare of the tier's requests get a complete
	// answer that begins within their deadline.
	ExpectUseful ExpectationKind = "useful"
	// ExpectFirstToken and ExpectGap: the quantile of the tier's chats is at
	// most MaxMS.
	ExpectFirstToken ExpectationKind = "first_token"
	ExpectGap        ExpectationKind = "gap"
	// ExpectWholeAnswers: no answer is truncated or belongs to another request.
	ExpectWholeAnswers ExpectationKind = "whole_answers"
	// ExpectSingleRuns: no call ran more than once, except GET calls, which are
	// idempotent.
	ExpectSingleRuns ExpectationKind = "single_runs"
	// ExpectUnknown: at most MaxCount requests end unknown or broken.
	ExpectUnknown ExpectationKind = "unknown"
	// ExpectTierOrder: no tier loses a larger share of its requests to
	// overload than a less important one. Tiers lists them, the most important
	// first.
	ExpectTierOrder ExpectationKind = "tier_order"
)

var expectationKinds = []ExpectationKind{ExpectUseful, ExpectFirstToken, ExpectGap, ExpectWholeAnswers,
	ExpectSingleRuns, ExpectUnknown, ExpectTierOrder}

// errorOverloaded is the error kind of a shed request.
const errorOverloaded = "overloaded"

// Expectation is a condition that the results of a replay must meet. Tier, Team
// and the range of sending times, From up to but not including To, select the
// requests; zero values select all.
type Expectation struct {
	Kind     Kind            `json:"kind"`
	Expect   ExpectationKind `json:"expect"`
	Tier     string          `json:"tier,omitempty"`
	Team     string          `json:"team,omitempty"`
	From     int64           `json:"from_ms,omitempty"`
	To       int64           `json:"to_ms,omitempty"`
	MinShare float64         `json:"min_share,omitempty"`
	Quantile float64         `json:"quantile,omitempty"`
	MaxMS    float64         `json:"max_ms,omitempty"`
	MaxCount int             `json:"max_count,omitempty"`
	Tiers    []string        `json:"tiers,omitempty"`
}

// Verdict is an expectation with its evaluation.
type Verdict struct {
	Expectation Expectation `json:"expectation"`
	Met         bool        `json:"met"`
	Seen        string      `json:"seen"`
}

// Evaluate evaluates each expectation against the results.
func Evaluate(expected []Expectation, results []Result) []Verdict {
	verdicts := make([]Verdict, 0, len(expected))
	for _, e := range expected {
		met, seen := e.evaluate(e.selectResults(results))
		verdicts = append(verdicts, Verdict{e, met, seen})
	}
	return verdicts
}

// selectResults returns the results of the requests that the expectation covers.
func (e Expectation) selectResults(results []Result) []Result {
	var selected []Result
	for _, r := range results {
		matches := (e.Tier == "" || r.Request.Tier == e.Tier) && (e.Team == "" || r.Request.Team == e.Team)
		if matches && r.Request.At >= e.From && (e.To == 0 || r.Request.At < e.To) {
			selected = append(selected, r)
		}
	}
	return selected
}

// evaluate reports whether the selected results meet the expectation, with a
// short text of the measured value. It fails if no request is selected.
func (e Expectation) evaluate(results []Result) (bool, string) {
	if len(results) == 0 {
		return false, "no request"
	}
	switch e.Expect {
	case ExpectUseful:
		n := count(results, func(r Result) bool { return r.Useful() })
		share := float64(n) / float64(len(results))
		return share >= e.MinShare, fmt.Sprintf("%d of %d (%.4f)", n, len(results), share)
	case ExpectFirstToken:
		return e.checkQuantile(results, func(r Result) []time.Duration { return []time.Duration{r.FirstToken} })
	case ExpectGap:
		return e.checkQuantile(results, func(r Result) []time.Duration { return r.Gaps })
	case ExpectWholeAnswers:
		n := count(results, func(r Result) bool { return r.Ending == EndingAnswer && !r.Complete })
		return n == 0, fmt.Sprintf("%d cut or foreign", n)
	case ExpectSingleRuns:
		n := count(results, func(r Result) bool { return r.Runs > 1 && r.Request.Method != "GET" })
		return n == 0, fmt.Sprintf("%d ran again", n)
	case ExpectUnknown:
		n := count(results, func(r Result) bool { return r.Ending == EndingUnknown || r.Ending == EndingBroken })
		return n <= e.MaxCount, fmt.Sprintf("%d unknown or broken", n)
	default:
		return e.checkTierOrder(results)
	}
}

func count(results []Result, match func(Result) bool) int {
	n := 0
	for _, r := range results {
		if match(r) {
			n++
		}
	}
	return n
}

// checkQuantile compares a quantile over the answered chats with MaxMS.
func (e Expectation) checkQuantile(results []Result, values func(Result) []time.Duration) (bool, string) {
	h := hdrhistogram.New(1, MaxDuration.Microseconds(), 3)
	for _, r := range results {
		if r.Request.Kind != KindChat || r.Ending != EndingAnswer {
			continue
		}
		for _, v := range values(r) {
			_ = h.RecordValue(v.Microseconds())
		}
	}
	if h.TotalCount() == 0 {
		return false, "no answer"
	}
	ms := float64(h.ValueAtQuantile(e.Quantile)) / 1e3
	return ms <= e.MaxMS, fmt.Sprintf("%.1f ms", ms)
}

// checkTierOrder compares the shares of shed requests of the tiers.
func (e Expectation) checkTierOrder(results []Result) (bool, string) {
	shares := make([]float64, len(e.Tiers))
	for i, tier := range e.Tiers {
		ofTier := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Request.Tier != tier })
		shed := count(ofTier, func(r Result) bool { return r.Error == errorOverloaded })
		shares[i] = float64(shed) / float64(max(1, len(ofTier)))
	}
	return slices.IsSorted(shares), fmt.Sprintf("shed shares %.4f of %v", shares, e.Tiers)
}
