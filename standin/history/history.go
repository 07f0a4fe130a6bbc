// Package history defines and writes the event log of a run: what callers sent
// and received and what operators did, one JSON line per event. The checker reads
// it afterwards.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Kind is the type of the event in a line.
type Kind string

// Kinds of lines.
const (
	// KindSent and KindReceived are the start and the end of one attempt of a
	// caller.
	KindSent     Kind = "sent"
	KindReceived Kind = "received"
	// KindFault records that a fault of a process was injected or ended.
	KindFault Kind = "fault"
	// KindStop and KindStopped are the start and the end of a planned stop of a
	// node.
	KindStop    Kind = "stop"
	KindStopped Kind = "stopped"
	// KindLeaving records that targets were announced as leaving, KindReturned
	// that they may receive work again.
	KindLeaving  Kind = "leaving"
	KindReturned Kind = "returned"
	// KindAccepted records that an operator received confirmation that a
	// configuration revision was accepted, KindObserved that a node's response to a
	// caller showed a revision.
	KindAccepted Kind = "accepted"
	KindObserved Kind = "observed"
)

// Line is one event of the history.
type Line struct {
	Kind Kind `json:"kind"`
	// At is the time of the event in Unix nanoseconds.
	At       int64     `json:"at"`
	Attempt  uint64    `json:"attempt,omitempty"`
	Request  *Request  `json:"request,omitempty"`
	Response *Response `json:"response,omitempty"`
	Node     string    `json:"node,omitempty"`
	Fault    Fault     `json:"fault,omitempty"`
	Targets  []string  `json:"targets,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
}

// Fault is a fault of a process, or the end of one.
type Fault string

// Faults, each followed by the event that ends it.
const (
	FaultKill    Fault = "kill"
	FaultRestart Fault = "restart"
	FaultFreeze  Fault = "freeze"
	FaultThaw    Fault = "thaw"
	FaultCut     Fault = "cut"
	FaultHeal    Fault = "heal"
)

// Ends returns the fault that f ends; it reports false if f begins one.
func (f Fault) Ends() (Fault, bool) {
	switch f {
	case FaultRestart:
		return FaultKill, true
	case FaultThaw:
		return FaultFreeze, true
	case FaultHeal:
		return FaultCut, true
	default:
		return "", false
	}
}

// Request describes a request that a caller sent.
type Request struct {
	// ID is empty if the caller provided none; the response then contains it.
	ID      string `json:"id,omitempty"`
	Entry   string `json:"entry"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	// Rank is the rank of the tier; 0 is the highest priority.
	Rank       int    `json:"rank"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Chat       bool   `json:"chat,omitempty"`
	Stream     bool   `json:"stream,omitempty"`
	MaxTokens  int    `json:"max_tokens,omitempty"`
	// DeadlineMillis is the deadline for the first token in milliseconds, or 0 if
	// the caller sets none.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// Result is how an attempt ended for its caller.
type Result string

// Results of an attempt.
const (
	// ResultAnswer is a successful response that was read to its end.
	ResultAnswer Result = "answer"
	// ResultRefused is a typed error, including one that ends a stream.
	ResultRefused Result = "refused"
	// ResultBroken is a connection that broke after the request was sent.
	ResultBroken Result = "broken"
	// ResultUnreachable is a connection that could not be made.
	ResultUnreachable Result = "unreachable"
	// ResultAbandoned is an attempt that the caller itself abandoned.
	ResultAbandoned Result = "abandoned"
)

// Outcomes that a typed error reports.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// Response describes what a caller received.
type Response struct {
	Result Result `json:"result"`
	// RequestID is the request id in the response.
	RequestID string `json:"request_id,omitempty"`
	Status    int    `json:"status,omitempty"`
	// Problem and Outcome are the problem type and the outcome of a typed error.
	Problem string `json:"problem,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Text    string `json:"text,omitempty"`
	// FirstTokenNanos is the time to the first token of a stream.
	FirstTokenNanos int64 `json:"first_token_ns,omitempty"`
}

// Writer appends lines to a history file. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex
	file    *os.File
	attempt uint64
}

// NewWriter opens the file for appending.
func NewWriter(path string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open history: %w", err)
	}
	return &Writer{file: file}, nil
}

// Close closes the file.
func (w *Writer) Close() error {
	return w.file.Close()
}

// Write sets the time of the line to the current time and appends it.
func (w *Writer) Write(line Line) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	line.At = time.Now().UnixNano()
	text, err := json.Marshal(line)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if _, err := w.file.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

// Sent writes the start of an attempt and returns its number.
func (w *Writer) Sent(r Request) (uint64, error) {
	w.mu.Lock()
	w.attempt++
	attempt := w.attempt
	w.mu.Unlock()
	return attempt, w.Write(Line{Kind: KindSent, Attempt: attempt, Request: &r})
}

// Received writes the end of an attempt.
func (w *Writer) Received(attempt uint64, r Response) error {
	return w.Write(Line{Kind: KindReceived, Attempt: attempt, Response: &r})
}

// maxLineBytes is the maximum length of one line.
const maxLineBytes = 4 << 20

// ReadLines decodes a file of JSON lines of any type. It ignores a truncated last
// line, as left by a killed process; an invalid line elsewhere is an error.
func ReadLines[T any](r io.Reader) ([]T, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []T
	var invalidLine error
	for scanner.Scan() {
		if invalidLine != nil {
			return nil, invalidLine
		}
		var line T
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			invalidLine = fmt.Errorf("read line %d: %w", len(lines)+1, err)
			continue
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}
