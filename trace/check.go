package trace

import (
	"fmt"
	"slices"
	"strings"
)

func (r *reader) request(line []byte) {
	var q Request
	if !r.decode(line, &q) {
		return
	}
	r.at(q.At)
	r.required("id", q.ID)
	r.required("team", q.Team)
	r.required("tier", q.Tier)
	r.bounded("deadline_ms", q.Deadline, MaxDuration.Milliseconds())
	if q.Kind == KindChat {
		r.chat(q)
	} else {
		r.call(q)
	}
	r.trace.Requests = append(r.trace.Requests, q)
}

func (r *reader) chat(q Request) {
	r.required("model", q.Model)
	if q.Method != "" || q.Path != "" || q.BodyBytes != 0 {
		r.fail("method", "a chat has no method, path or body", `remove them, or write kind "call"`)
	}
	r.bounded("max_tokens", int64(q.MaxTokens), MaxTokens)
	r.bounded("prompt_tokens", int64(q.PromptTokens), MaxTokens)
	r.bounded("prefix_tokens", int64(q.PrefixTokens), int64(q.PromptTokens))
	if q.PromptTokens == 0 {
		r.fail("prompt_tokens", "missing", "write at least 1")
	}
}

func (r *reader) call(q Request) {
	r.required("service", q.Service)
	r.required("method", q.Method)
	if !strings.HasPrefix(q.Path, "/") {
		r.fail("path", fmt.Sprintf("found %q", q.Path), "begin the path with /")
	}
	if q.Model != "" || q.PromptTokens != 0 || q.MaxTokens != 0 || q.Stream {
		r.fail("model", "a call has no model, tokens or stream", `remove them, or write kind "chat"`)
	}
	r.bounded("body_bytes", int64(q.BodyBytes), 1<<20)
}

func (r *reader) action(line []byte) {
	var a Action
	if !r.decode(line, &a) {
		return
	}
	r.at(a.At)
	switch a.Do {
	case DoSetLeaving, DoSetActive:
		r.required("vm", a.VM)
	case DoStoreDown, DoStoreHealed:
	default:
		r.fail("do", fmt.Sprintf("found %q", a.Do), "write one of: set_leaving, set_active, store_down, store_healed")
	}
	r.trace.Actions = append(r.trace.Actions, a)
}

func (r *reader) expectation(line []byte) {
	var e Expectation
	if !r.decode(line, &e) {
		return
	}
	if !slices.Contains(expects, e.Expect) {
		r.fail("expect", fmt.Sprintf("found %q", e.Expect), fmt.Sprintf("write one of: %v", expects))
	}
	if e.MinShare < 0 || e.MinShare > 1 {
		r.fail("min_share", fmt.Sprintf("found %v", e.MinShare), "write a number from 0 to 1")
	}
	if e.Quantile < 0 || e.Quantile > 100 {
		r.fail("quantile", fmt.Sprintf("found %v", e.Quantile), "write a number from 0 to 100")
	}
	r.trace.Expected = append(r.trace.Expected, e)
}

func (r *reader) at(ms int64) { r.bounded("at_ms", ms, MaxDuration.Milliseconds()) }

func (r *reader) bounded(key string, v, high int64) {
	if v < 0 || v > high {
		r.fail(key, fmt.Sprintf("%d is out of range", v), fmt.Sprintf("write a number from 0 to %d", high))
	}
}

func (r *reader) required(key, value string) {
	if value == "" {
		r.fail(key, "missing", "set "+key)
	}
}
