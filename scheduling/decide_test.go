package scheduling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/scheduling"
)

func testPolicy() *scheduling.Policy {
	return &scheduling.Policy{FirstTokenGoal: 810 * time.Millisecond, TokenTimeGoal: 27 * time.Millisecond, CrossRegionPrice: 1}
}

func newCandidate(name string, modify func(*scheduling.Candidate)) scheduling.Candidate {
	c := scheduling.Candidate{
		Name: name, Region: "r1", Models: []string{"m"}, LimitTokens: 4000,
		PrefillRate: 1000, TokenTime: 10 * time.Millisecond,
	}
	if modify != nil {
		modify(&c)
	}
	return c
}

func TestDecide(t *testing.T) {
	first := newCandidate("a", nil)
	tests := []struct {
		name            string
		request         scheduling.Request
		modifySecond    func(*scheduling.Candidate)
		contendedModels []string
		wantChosen      int
		wantVerdict     scheduling.Verdict
	}{
		{name: "first of equal targets is chosen", wantChosen: 0},
		{name: "target with cached prefix is preferred", modifySecond: func(c *scheduling.Candidate) { c.CachedTokens = 400 }, wantChosen: 1},
		{name: "target with assigned prefill is avoided", modifySecond: func(c *scheduling.Candidate) { c.PrefillWait = time.Second }, wantChosen: 0},
		{name: "target with faster prefill is preferred", modifySecond: func(c *scheduling.Candidate) { c.PrefillRate = 4000 }, wantChosen: 1},
		{name: "target with faster output is preferred", modifySecond: func(c *scheduling.Candidate) { c.TokenTime = 5 * time.Millisecond }, wantChosen: 1},
		{name: "target in another region is avoided", modifySecond: func(c *scheduling.Candidate) { c.Region = "r2"; c.CachedTokens = 1 }, wantChosen: 0},
		{name: "leaving target is not chosen", modifySecond: func(c *scheduling.Candidate) { c.Leaving = true; c.PrefillRate = 1e6 }, wantChosen: 0},
		{name: "target without the model is not chosen", modifySecond: func(c *scheduling.Candidate) { c.Models = nil; c.PrefillRate = 1e6 }, wantChosen: 0},
		{name: "target at its token limit is not chosen", modifySecond: func(c *scheduling.Candidate) {
			c.InFlight, c.OutstandingTokens, c.PrefillRate = 1, 3900, 1e6
		}, wantChosen: 0},
		{name: "target with a long prefill backlog is not chosen", modifySecond: func(c *scheduling.Candidate) {
			c.InFlight, c.PrefillWait, c.CachedTokens = 1, 300*time.Millisecond, 500
		}, wantChosen: 0},
		{name: "target above its token time goal is not chosen", modifySecond: func(c *scheduling.Candidate) {
			c.InFlight, c.TokenTime, c.PrefillRate = 1, 28*time.Millisecond, 1e6
		}, wantChosen: 0},
		{name: "deadline that no target meets gives too late", request: scheduling.Request{
			Model: "m", PromptTokens: 500, Remaining: 400 * time.Millisecond,
		}, wantChosen: -1, wantVerdict: scheduling.VerdictTooLate},
		{name: "target that meets the deadline is chosen", request: scheduling.Request{
			Model: "m", PromptTokens: 500, Remaining: 400 * time.Millisecond,
		}, modifySecond: func(c *scheduling.Candidate) { c.PrefillRate = 4000 }, wantChosen: 1},
		{name: "long prefill of a lower tier waits for headroom", request: scheduling.Request{
			Model: "m", PromptTokens: 500, Rank: 1,
		}, modifySecond: func(c *scheduling.Candidate) { c.PrefillWait = time.Second }, wantChosen: -1, wantVerdict: scheduling.VerdictWait},
		{name: "request waits while more important requests wait for its model", contendedModels: []string{"m"}, wantChosen: -1, wantVerdict: scheduling.VerdictWait},
		{name: "unknown model gives impossible", request: scheduling.Request{Model: "x"}, wantChosen: -1, wantVerdict: scheduling.VerdictImpossible},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := test.request
			if r.Model == "" {
				r = scheduling.Request{Model: "m", PromptTokens: 500, OutputTokens: 100, Region: "r1", BodyBytes: 1 << 20}
			}
			candidates := []scheduling.Candidate{first, newCandidate("b", test.modifySecond)}
			d := scheduling.Decide(testPolicy(), &r, candidates, test.contendedModels, nil)
			is.Equal(d.Chosen, test.wantChosen)
			is.Equal(d.Verdict, test.wantVerdict)
			is.Equal(len(d.Scores), 2)
		})
	}
}

func TestIdleTargetAcceptsRequestLargerThanItsLimit(t *testing.T) {
	is := is.New(t)
	r := scheduling.Request{Model: "m", PromptTokens: 100000}
	candidates := []scheduling.Candidate{newCandidate("a", nil)}
	d := scheduling.Decide(testPolicy(), &r, candidates, nil, nil)
	is.Equal(d.Chosen, 0)
}

func TestDecisionLineListsEachCandidate(t *testing.T) {
	is := is.New(t)
	r := scheduling.Request{Model: "m", PromptTokens: 500, OutputTokens: 100}
	candidates := []scheduling.Candidate{newCandidate("a", nil), newCandidate("b", func(c *scheduling.Candidate) { c.Leaving = true })}
	d := scheduling.Decide(testPolicy(), &r, candidates, nil, nil)
	is.Equal(string(d.AppendLine(nil)), "verdict=chosen target=a prompt_tokens=500 output_tokens=100 a=710:510:200:0:0:0 b=leaving")
}
