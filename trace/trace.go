// Package trace defines recorded and generated loads: requests with their sending
// times, actions (edits of the register and faults of the platform) during the
// run, and the expectations that a replay must meet. A trace is a JSON Lines file,
// described in docs/TRACES.md.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// Limits of a trace.
const (
	MaxRequests = 200_000
	MaxDuration = 30 * time.Minute
	// MaxTokens limits the tokens of the prompt and of the answer of one request,
	// each.
	MaxTokens    = 200_000
	maxLineBytes = 1 << 16
)

// Kind is the kind of a line.
type Kind string

// The kinds of lines.
const (
	KindTrace  Kind = "trace"
	KindChat   Kind = "chat"
	KindCall   Kind = "call"
	KindAction Kind = "action"
	KindExpect Kind = "expect"
)

// Header is the first line of a trace.
type Header struct {
	Kind        Kind   `json:"kind"`
	Name        string `json:"name"`
	Description string `json:"description,omitempty"`
	Seed        uint64 `json:"seed,omitempty"`
}

// Request is one chat completion or one call of a service.
type Request struct {
	Kind Kind `json:"kind"`
	// At is the time of sending in milliseconds from the start of the trace.
	At int64 `json:"at_ms"`
	// ID identifies the request within the trace.
	ID string `json:"id"`
	// Keyed requests carry an Idempotency-Key; a keyed line that repeats an
	// earlier ID is the same request sent again.
	Keyed   bool   `json:"keyed,omitempty"`
	Team    string `json:"team"`
	Tier    string `json:"tier"`
	Service string `json:"service,omitempty"`
	// Deadline is the time in milliseconds within which the answer must begin
	// to be useful; 0 means any time.
	Deadline int64 `json:"deadline_ms,omitempty"`

	// Fields of a chat.
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	// Prefix identifies a text with which the prompts of several requests
	// begin. It takes PrefixTokens of each prompt.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	Stream       bool   `json:"stream,omitempty"`

	// Fields of a call.
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	BodyBytes int    `json:"body_bytes,omitempty"`
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions. Outages require the platform stand-in.
const (
	ActionSetLeaving  ActionKind = "set_leaving"
	ActionSetActive   ActionKind = "set_active"
	ActionStoreDown   ActionKind = "store_down"
	ActionStoreHealed ActionKind = "store_healed"
)

// Action is an edit of the register or a fault of the platform.
type Action struct {
	Kind Kind       `json:"kind"`
	At   int64      `json:"at_ms"`
	Do   ActionKind `json:"do"`
	// VM is the name of the VM whose state is set to leaving or active.
	VM string `json:"vm,omitempty"`
}

// Trace is the content of a trace file.
type Trace struct {
	Header   Header
	Requests []Request
	Actions  []Action
	Expected []Expectation
}

// Duration returns the time from the start to the last request or action.
func (t *Trace) Duration() time.Duration {
	var last int64
	for _, r := range t.Requests {
		last = max(last, r.At)
	}
	for _, a := range t.Actions {
		last = max(last, a.At)
	}
	return time.Duration(last) * time.Millisecond
}

// parser collects the lines of a trace and the problems found in them.
type parser struct {
	file     string
	line     int
	trace    *Trace
	problems tomlproto.Problems
}

// Read reads and validates a trace. The error is a *fault.Error of kind
// bad-request that wraps tomlproto.Problems with all problems found; file is the
// input's name in them.
func Read(file string, input io.Reader) (*Trace, error) {
	r := &parser{file: file, trace: &Trace{}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.line++
		if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			r.parseLine(scanner.Bytes())
		}
	}
	if err := scanner.Err(); err != nil {
		r.line++
		r.addProblem("", err.Error(), "write one JSON object of at most 64 KiB on each line")
	}
	r.checkTrace()
	if err := r.problems.Err(); err != nil {
		return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"trace "+file+" is invalid", "correct each line named; docs/TRACES.md describes them")
	}
	return r.trace, nil
}

func (r *parser) addProblem(key, found, remedy string) {
	r.problems = append(r.problems, tomlproto.Problem{File: r.file, Line: r.line, Key: key, Found: found, Remedy: remedy})
}

func (r *parser) parseLine(line []byte) {
	var head struct {
		Kind Kind `json:"kind"`
	}
	if err := json.Unmarshal(line, &head); err != nil {
		r.addProblem("", err.Error(), "write one JSON object on each line")
		return
	}
	switch head.Kind {
	case KindTrace:
		r.decode(line, &r.trace.Header)
	case KindChat, KindCall:
		r.parseRequest(line)
	case KindAction:
		r.parseAction(line)
	case KindExpect:
		r.parseExpectation(line)
	default:
		r.addProblem("kind", fmt.Sprintf("found %q", head.Kind), "write one of: trace, chat, call, action, expect")
	}
}

func (r *parser) decode(line []byte, v any) bool {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		r.addProblem("", err.Error(), "use the keys that docs/TRACES.md lists")
		return false
	}
	return true
}

// checkTrace checks the trace as a whole and sorts requests and actions by time.
func (r *parser) checkTrace() {
	if r.trace.Header.Name == "" {
		r.line = 1
		r.addProblem("name", "no name", `begin with a line of kind "trace" that holds a name`)
	}
	if n := len(r.trace.Requests); n == 0 || n > MaxRequests {
		r.addProblem("", fmt.Sprintf("%d requests", n), fmt.Sprintf("write 1 to %d", MaxRequests))
	}
	slices.SortStableFunc(r.trace.Requests, func(a, b Request) int { return int(a.At - b.At) })
	slices.SortStableFunc(r.trace.Actions, func(a, b Action) int { return int(a.At - b.At) })
}

// Write writes a trace in the format that Read reads.
func Write(w io.Writer, t *Trace) error {
	encoder := json.NewEncoder(w)
	lines := []any{t.Header}
	for _, e := range t.Expected {
		lines = append(lines, e)
	}
	for _, a := range t.Actions {
		lines = append(lines, a)
	}
	for _, r := range t.Requests {
		lines = append(lines, r)
	}
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
