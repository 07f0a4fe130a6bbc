package trace_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/tomlproto"
	"github.com/primrosemoor/primrosemoor/trace"
)

func TestExampleTracesAreWhatTheGeneratorMakes(t *testing.T) {
	for _, e := range trace.Examples() {
		t.Run(e.Name, func(t *testing.T) {
			is := is.New(t)
			var made bytes.Buffer
			is.NoErr(trace.Write(&made, e.Trace))
			path := filepath.Join("..", "examples", "traces", e.Name+".jsonl")
			kept, err := os.ReadFile(path)
			is.NoErr(err)
			is.True(bytes.Equal(made.Bytes(), kept)) // make traces writes them anew.
			read, err := trace.Read(path, bytes.NewReader(kept))
			is.NoErr(err)
			is.Equal(read, e.Trace)
		})
	}
}

func TestLoadFollowsRateBurstsAndMix(t *testing.T) {
	is := is.New(t)
	options := trace.Options{Seed: 1, Rate: 50, Duration: 100 * time.Second, PrefixReuse: -1,
		Bursts: []trace.Burst{{At: 50 * time.Second, For: 10 * time.Second, Factor: 5, Teams: []string{"guests"}}}}
	requests := trace.Generate(trace.Drumlin(), options)
	is.Equal(requests, trace.Generate(trace.Drumlin(), options))
	calm, burst, guests := 0, 0, 0
	for _, r := range requests {
		if r.Team != "guests" {
			continue
		}
		guests++
		switch {
		case r.At < 50_000:
			calm++
		case r.At < 60_000:
			burst++
		}
	}
	perSecond := func(n, seconds int) float64 { return float64(n) / float64(seconds) }
	is.True(perSecond(calm, 50) > 17 && perSecond(calm, 50) < 23) // 40 % of 50 a second.
	is.True(perSecond(burst, 10) > 85 && perSecond(burst, 10) < 115)
	is.True(guests < len(requests))
	options.Tiers = []string{"batch"}
	for _, r := range trace.Generate(trace.Drumlin(), options) {
		is.Equal(r.Team, "reports")
	}
}

func TestBadLinesAreNamed(t *testing.T) {
	tests := []struct{ name, line, found, remedy string }{
		{"no JSON", `{`, "unexpected end", "one JSON object"},
		{"kind", `{"kind":"chats"}`, `found "chats"`, "write one of"},
		{"unknown key", `{"kind":"chat","prompt":3}`, "unknown field", "docs/TRACES.md"},
		{"no team", `{"kind":"call","id":"a","tier":"t","service":"s","method":"GET","path":"/"}`, "missing", "set team"},
		{"no prompt", `{"kind":"chat","id":"a","team":"t","tier":"t","model":"m"}`, "missing", "at least 1"},
		{"too long", `{"kind":"chat","id":"a","team":"t","tier":"t","model":"m","prompt_tokens":900000}`, "out of range", "0 to 200000"},
		{"path", `{"kind":"call","id":"a","team":"t","tier":"t","service":"s","method":"GET","path":"x"}`, `found "x"`, "begin the path"},
		{"too late", `{"kind":"action","do":"store_down","at_ms":99999999}`, "out of range", "0 to 1800000"},
		{"action", `{"kind":"action","do":"reboot"}`, `found "reboot"`, "write one of"},
		{"expectation", `{"kind":"expect","expect":"speed"}`, `found "speed"`, "write one of"},
		{"share", `{"kind":"expect","expect":"useful","min_share":99}`, "found 99", "0 to 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text := `{"kind":"trace","name":"n"}` + "\n" + test.line + "\n"
			_, err := trace.Read("t.jsonl", strings.NewReader(text))
			var problems tomlproto.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Line, 2)
			is.True(strings.Contains(problems[0].Found, test.found))
			is.True(strings.Contains(problems[0].Remedy, test.remedy))
		})
	}
	_, err := trace.Read("t.jsonl", strings.NewReader(""))
	if err == nil {
		t.Fatal("an empty trace was taken")
	}
}

func result(tier string, change func(*trace.Result)) trace.Result {
	r := trace.Result{
		Request: trace.Request{Kind: trace.KindChat, Tier: tier, Deadline: 1000},
		Ending:  trace.EndingAnswer, Whole: true, FirstToken: 100 * time.Millisecond,
		Gaps: []time.Duration{20 * time.Millisecond},
	}
	change(&r)
	return r
}

func TestOutcomesAreJudged(t *testing.T) {
	good := result("high", func(*trace.Result) {})
	low := result("low", func(*trace.Result) {})
	bad := func(change func(*trace.Result)) trace.Result { return result("high", change) }
	tests := []struct {
		expectation trace.Expectation
		wrong       trace.Result
	}{
		{trace.Expectation{Expect: trace.ExpectUseful, MinShare: 0.9}, bad(func(r *trace.Result) { r.FirstToken = 2 * time.Second })},
		{trace.Expectation{Expect: trace.ExpectUseful, MinShare: 0.9}, bad(func(r *trace.Result) { r.Ending = trace.EndingNotRun })},
		{trace.Expectation{Expect: trace.ExpectFirstToken, Quantile: 99, MaxMS: 810}, bad(func(r *trace.Result) { r.FirstToken = time.Second })},
		{trace.Expectation{Expect: trace.ExpectGap, Quantile: 99, MaxMS: 27}, bad(func(r *trace.Result) { r.Gaps = []time.Duration{time.Second} })},
		{trace.Expectation{Expect: trace.ExpectWholeAnswers}, bad(func(r *trace.Result) { r.Whole = false })},
		{trace.Expectation{Expect: trace.ExpectSingleRuns}, bad(func(r *trace.Result) { r.Request.Method, r.Runs = "POST", 2 })},
		{trace.Expectation{Expect: trace.ExpectUnknown}, bad(func(r *trace.Result) { r.Ending = trace.EndingBroken })},
		{trace.Expectation{Expect: trace.ExpectTierOrder, Tiers: []string{"high", "low"}},
			bad(func(r *trace.Result) { r.Ending, r.Error = trace.EndingNotRun, "overloaded" })},
	}
	for _, test := range tests {
		t.Run(string(test.expectation.Expect), func(t *testing.T) {
			is := is.New(t)
			verdicts := trace.Judge([]trace.Expectation{test.expectation}, []trace.Result{good, low})
			is.True(verdicts[0].Met)
			verdicts = trace.Judge([]trace.Expectation{test.expectation}, []trace.Result{good, low, test.wrong})
			is.True(!verdicts[0].Met)
			is.True(!trace.Judge([]trace.Expectation{test.expectation}, nil)[0].Met)
		})
	}
}
