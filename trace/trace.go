// Package trace holds recorded or generated loads: requests with the time at
// which they are sent, faults and edits that an operator makes meanwhile, and
// the outcomes that a replay must show. A trace is a file of JSON Lines,
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

// Bounds of a trace.
const (
	MaxRequests = 200_000
	MaxDuration = 30 * time.Minute
	// MaxTokens bounds prompt and answer of one request.
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

// Header is the first line.
type Header struct {
	Kind        Kind   `json:"kind"`
	Name        string `json:"name"`
	Description string `json:"description,omitempty"`
	Seed        uint64 `json:"seed,omitempty"`
}

// Request is one chat or call.
type Request struct {
	Kind Kind `json:"kind"`
	// At is the time of sending in milliseconds from the start.
	At int64 `json:"at_ms"`
	// ID names the request within the trace.
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

	// The fields of a chat.
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	// Prefix names a text that begins the prompts of several requests and
	// fills PrefixTokens of each.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	Stream       bool   `json:"stream,omitempty"`

	// The fields of a call.
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	BodyBytes int    `json:"body_bytes,omitempty"`
}

// Do names what an action does.
type Do string

// The actions. Outages need the platform stand-in.
const (
	DoSetLeaving  Do = "set_leaving"
	DoSetActive   Do = "set_active"
	DoStoreDown   Do = "store_down"
	DoStoreHealed Do = "store_healed"
)

// Action is an operator's edit or a fault of the platform.
type Action struct {
	Kind Kind  `json:"kind"`
	At   int64 `json:"at_ms"`
	Do   Do    `json:"do"`
	// VM is the VM that is set leaving or active.
	VM string `json:"vm,omitempty"`
}

// Trace is a whole file.
type Trace struct {
	Header   Header
	Requests []Request
	Actions  []Action
	Expected []Expectation
}

// Duration returns the time from the start to the last line.
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

// reader collects a trace and what is wrong with it.
type reader struct {
	file     string
	line     int
	trace    *Trace
	problems tomlproto.Problems
}

// Read reads a trace and checks it whole. The error is a *fault.Error of kind
// bad-request that wraps tomlproto.Problems; file names the input in them.
func Read(file string, input io.Reader) (*Trace, error) {
	r := &reader{file: file, trace: &Trace{}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.line++
		if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			r.read(scanner.Bytes())
		}
	}
	if err := scanner.Err(); err != nil {
		r.line++
		r.fail("", err.Error(), "write one JSON object of at most 64 KiB on each line")
	}
	r.checkWhole()
	if err := r.problems.Err(); err != nil {
		return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"trace "+file+" is refused", "correct each line named; docs/TRACES.md describes them")
	}
	return r.trace, nil
}

func (r *reader) fail(key, found, remedy string) {
	r.problems = append(r.problems, tomlproto.Problem{File: r.file, Line: r.line, Key: key, Found: found, Remedy: remedy})
}

func (r *reader) read(line []byte) {
	var head struct {
		Kind Kind `json:"kind"`
	}
	if err := json.Unmarshal(line, &head); err != nil {
		r.fail("", err.Error(), "write one JSON object on each line")
		return
	}
	switch head.Kind {
	case KindTrace:
		r.decode(line, &r.trace.Header)
	case KindChat, KindCall:
		r.request(line)
	case KindAction:
		r.action(line)
	case KindExpect:
		r.expectation(line)
	default:
		r.fail("kind", fmt.Sprintf("found %q", head.Kind), "write one of: trace, chat, call, action, expect")
	}
}

func (r *reader) decode(line []byte, v any) bool {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		r.fail("", err.Error(), "use the keys that docs/TRACES.md lists")
		return false
	}
	return true
}

func (r *reader) checkWhole() {
	if r.trace.Header.Name == "" {
		r.line = 1
		r.fail("name", "no name", `begin with a line of kind "trace" that holds a name`)
	}
	if n := len(r.trace.Requests); n == 0 || n > MaxRequests {
		r.fail("", fmt.Sprintf("%d requests", n), fmt.Sprintf("write 1 to %d", MaxRequests))
	}
	slices.SortStableFunc(r.trace.Requests, func(a, b Request) int { return int(a.At - b.At) })
	slices.SortStableFunc(r.trace.Actions, func(a, b Action) int { return int(a.At - b.At) })
}

// Write writes a trace that Read reads back.
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
