package trace

import (
	"fmt"
	"slices"
	"strings"
)

// parseRequest decodes and checks a chat or call line.
func (r *parser) parseRequest(line []byte) {
	var q Request
	if !r.decode(line, &q) {
		return
	}
	r.checkTime(q.At)
	r.checkRequired("id", q.ID)
	r.checkRequired("team", q.Team)
	r.checkRequired("tier", q.Tier)
	r.checkRange("deadline_ms", q.Deadline, MaxDuration.Milliseconds())
	if q.Kind == KindChat {
		r.checkChat(q)
	} else {
		r.checkCall(q)
	}
	r.trace.Requests = append(r.trace.Requests, q)
}

func (r *parser) checkChat(q Request) {
	r.checkRequired("model", q.Model)
	if q.Method != "" || q.Path != "" || q.BodyBytes != 0 {
		r.addProblem("method", "a chat has no method, path or body", `remove them, or write kind "call"`)
	}
	r.checkRange("max_tokens", int64(q.MaxTokens), MaxTokens)
	r.checkRange("prompt_tokens", int64(q.PromptTokens), MaxTokens)
	r.checkRange("prefix_tokens", int64(q.PrefixTokens), int64(q.PromptTokens))
	if q.PromptTokens == 0 {
		r.addProblem("prompt_tokens", "missing", "write at least 1")
	}
}

func (r *parser) checkCall(q Request) {
	r.checkRequired("service", q.Service)
	r.checkRequired("method", q.Method)
	if !strings.HasPrefix(q.Path, "/") {
		r.addProblem("path", fmt.Sprintf("found %q", q.Path), "begin the path with /")
	}
	if q.Model != "" || q.PromptTokens != 0 || q.MaxTokens != 0 || q.Stream {
		r.addProblem("model", "a call has no model, tokens or stream", `remove them, or write kind "chat"`)
	}
	r.checkRange("body_bytes", int64(q.BodyBytes), 1<<20)
}

// parseAction decodes and checks an action line.
func (r *parser) parseAction(line []byte) {
	var a Action
	if !r.decode(line, &a) {
		return
	}
	r.checkTime(a.At)
	switch a.Do {
	case ActionSetLeaving, ActionSetActive:
		r.checkRequired("vm", a.VM)
	case ActionStoreDown, ActionStoreHealed:
	default:
		r.addProblem("do", fmt.Sprintf("found %q", a.Do), "write one of: set_leaving, set_active, store_down, store_healed")
	}
	r.trace.Actions = append(r.trace.Actions, a)
}

// parseExpectation decodes and checks an expectation line.
func (r *parser) parseExpectation(line []byte) {
	var e Expectation
	if !r.decode(line, &e) {
		return
	}
	if !slices.Contains(expectationKinds, e.Expect) {
		r.addProblem("expect", fmt.Sprintf("found %q", e.Expect), fmt.Sprintf("write one of: %v", expectationKinds))
	}
	if e.MinShare < 0 || e.MinShare > 1 {
		r.addProblem("min_share", fmt.Sprintf("found %v", e.MinShare), "write a number from 0 to 1")
	}
	if e.Quantile < 0 || e.Quantile > 100 {
		r.addProblem("quantile", fmt.Sprintf("found %v", e.Quantile), "write a number from 0 to 100")
	}
	r.trace.Expected = append(r.trace.Expected, e)
}

func (r *parser) checkTime(ms int64) { r.checkRange("at_ms", ms, MaxDuration.Milliseconds()) }

func (r *parser) checkRange(key string, v, maximum int64) {
	if v < 0 || v > maximum {
		r.addProblem(key, fmt.Sprintf("%d is out of range", v), fmt.Sprintf("write a number from 0 to %d", maximum))
	}
}

func (r *parser) checkRequired(key, value string) {
	if value == "" {
		r.addProblem(key, "missing", "set "+key)
	}
}
