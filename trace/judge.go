package trace

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is how a request ended for its caller.
type Ending string

// The endings.
const (
	EndingAnswer Ending = "answer"
	// EndingNotRun is a refusal that states that the request did not run.
	EndingNotRun Ending = "not_run"
	// EndingUnknown is a typed error that leaves open whether it ran.
	EndingUnknown Ending = "unknown"
	// EndingRefused is another typed error, such as a bad key.
	EndingRefused Ending = "refused"
	// EndingBroken is a connection that ended without a typed error.
	EndingBroken Ending = "broken"
)

// Result is what became of one request.
type Result struct {
	Request Request
	// Sent is the time of sending from the start; Late is how much later it
	// was than the trace asks.
	Sent, Late time.Duration
	Ending     Ending
	// Error is the kind of the typed error, such as "overloaded".
	Error  string
	Status int
	// FirstToken and Total are counted from the moment of sending that the
	// trace asks for, so that a late sender hides no waiting.
	FirstToken, Total time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Tokens counts the tokens of the answer, Cached those of the prompt that
	// were in a prefix cache.
	Tokens, Cached int
	// Whole says that the answer is complete and belongs to the request, as far
	// as the stand-in's answers show.
	Whole bool
	// Runs is how often the stand-in service ran the call, 0 if it did not say.
	Runs int
}

// Useful reports whether the answer came whole and began in time.
func (r *Result) Useful() bool {
	deadline := time.Duration(r.Request.Deadline) * time.Millisecond
	return r.Ending == EndingAnswer && r.Whole && (deadline == 0 || r.FirstToken <= deadline)
}

// Expect names an expectation.
type Expect string

// The expectations.
const (
	// ExpectUseful: at least MinShare of the tier's requests get a whole
	// answer that begins within their deadline.
	ExpectUseful Expect = "useful"
	// ExpectFirstToken and ExpectGap: the quantile of the tier's chats is at
	// most MaxMS.
	ExpectFirstToken Expect = "first_token"
	ExpectGap        Expect = "gap"
	// ExpectWholeAnswers: no answer is cut or belongs to another request.
	ExpectWholeAnswers Expect = "whole_answers"
	// ExpectSingleRuns: no call that is not idempotent ran twice.
	ExpectSingleRuns Expect = "single_runs"
	// ExpectUnknown: at most MaxCount requests end unknown or broken.
	ExpectUnknown Expect = "unknown"
	// ExpectTierOrder: no tier loses a larger share of its requests to
	// overload than a less important one. Tiers lists them, the most important
	// first.
	ExpectTierOrder Expect = "tier_order"
)

var expects = []Expect{ExpectUseful, ExpectFirstToken, ExpectGap, ExpectWholeAnswers,
	ExpectSingleRuns, ExpectUnknown, ExpectTierOrder}

// overloaded is the error kind of a shed request.
const overloaded = "overloaded"

// Expectation is one outcome that a replay must show. Tier, team and the times
// of sending select the requests; none means all.
type Expectation struct {
	Kind     Kind     `json:"kind"`
	Expect   Expect   `json:"expect"`
	Tier     string   `json:"tier,omitempty"`
	Team     string   `json:"team,omitempty"`
	From     int64    `json:"from_ms,omitempty"`
	To       int64    `json:"to_ms,omitempty"`
	MinShare float64  `json:"min_share,omitempty"`
	Quantile float64  `json:"quantile,omitempty"`
	MaxMS    float64  `json:"max_ms,omitempty"`
	MaxCount int      `json:"max_count,omitempty"`
	Tiers    []string `json:"tiers,omitempty"`
}

// Verdict is an expectation and what was seen.
type Verdict struct {
	Expectation Expectation `json:"expectation"`
	Met         bool        `json:"met"`
	Seen        string      `json:"seen"`
}

// Judge compares results with expectations.
func Judge(expected []Expectation, results []Result) []Verdict {
	verdicts := make([]Verdict, 0, len(expected))
	for _, e := range expected {
		met, seen := e.judge(e.selected(results))
		verdicts = append(verdicts, Verdict{e, met, seen})
	}
	return verdicts
}

func (e Expectation) selected(results []Result) []Result {
	var selected []Result
	for _, r := range results {
		named := (e.Tier == "" || r.Request.Tier == e.Tier) && (e.Team == "" || r.Request.Team == e.Team)
		if named && r.Request.At >= e.From && (e.To == 0 || r.Request.At < e.To) {
			selected = append(selected, r)
		}
	}
	return selected
}

func (e Expectation) judge(results []Result) (bool, string) {
	if len(results) == 0 {
		return false, "no request"
	}
	switch e.Expect {
	case ExpectUseful:
		n := count(results, func(r Result) bool { return r.Useful() })
		share := float64(n) / float64(len(results))
		return share >= e.MinShare, fmt.Sprintf("%d of %d (%.4f)", n, len(results), share)
	case ExpectFirstToken:
		return e.quantile(results, func(r Result) []time.Duration { return []time.Duration{r.FirstToken} })
	case ExpectGap:
		return e.quantile(results, func(r Result) []time.Duration { return r.Gaps })
	case ExpectWholeAnswers:
		n := count(results, func(r Result) bool { return r.Ending == EndingAnswer && !r.Whole })
		return n == 0, fmt.Sprintf("%d cut or foreign", n)
	case ExpectSingleRuns:
		n := count(results, func(r Result) bool { return r.Runs > 1 && r.Request.Method != "GET" })
		return n == 0, fmt.Sprintf("%d ran again", n)
	case ExpectUnknown:
		n := count(results, func(r Result) bool { return r.Ending == EndingUnknown || r.Ending == EndingBroken })
		return n <= e.MaxCount, fmt.Sprintf("%d unknown or broken", n)
	default:
		return e.tierOrder(results)
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

// quantile compares a quantile over the answered chats.
func (e Expectation) quantile(results []Result, values func(Result) []time.Duration) (bool, string) {
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

func (e Expectation) tierOrder(results []Result) (bool, string) {
	shares := make([]float64, len(e.Tiers))
	for i, tier := range e.Tiers {
		ofTier := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Request.Tier != tier })
		shed := count(ofTier, func(r Result) bool { return r.Error == overloaded })
		shares[i] = float64(shed) / float64(max(1, len(ofTier)))
	}
	return slices.IsSorted(shares), fmt.Sprintf("shed shares %.4f of %v", shares, e.Tiers)
}
