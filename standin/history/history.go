// Package history holds what the callers of a run sent and received and what
// its operators did, one JSON line per event, for the checker to judge.
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

// Kind tells what a line records.
type Kind string

// Kinds of lines.
const (
	// KindSent and KindReceived are the two ends of one attempt of a caller.
	KindSent     Kind = "sent"
	KindReceived Kind = "received"
	// KindFault says that a failure was brought about at a node.
	KindFault Kind = "fault"
	// KindStop and KindStopped are the ends of a planned stop of a node.
	KindStop    Kind = "stop"
	KindStopped Kind = "stopped"
	// KindLeaving says that targets were announced as leaving, KindReturned
	// that they may receive work again.
	KindLeaving  Kind = "leaving"
	KindReturned Kind = "returned"
	// KindAccepted says that an operator was told that a revision is accepted,
	// KindObserved that a node answered a caller according to a revision.
	KindAccepted Kind = "accepted"
	KindObserved Kind = "observed"
)

// Line is one event.
type Line struct {
	Kind Kind `json:"kind"`
	// At is in Unix nanoseconds.
	At       int64     `json:"at"`
	Attempt  uint64    `json:"attempt,omitempty"`
	Request  *Request  `json:"request,omitempty"`
	Response *Response `json:"response,omitempty"`
	Node     string    `json:"node,omitempty"`
	Fault    Fault     `json:"fault,omitempty"`
	Targets  []string  `json:"targets,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
}

// Fault is a failure of a node.
type Fault string

// Faults of nodes.
const (
	FaultKill    Fault = "kill"
	FaultRestart Fault = "restart"
	FaultFreeze  Fault = "freeze"
	FaultThaw    Fault = "thaw"
	FaultCut     Fault = "cut"
	FaultHeal    Fault = "heal"
)

// Ends returns the fault that f ends, if it ends one.
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

// Request is what a caller sent.
type Request struct {
	// ID is empty if the caller gave none; the answer then names it.
	ID      string `json:"id,omitempty"`
	Entry   string `json:"entry"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	// Rank is that of the tier; 0 is the most important.
	Rank       int    `json:"rank"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Chat       bool   `json:"chat,omitempty"`
	Stream     bool   `json:"stream,omitempty"`
	MaxTokens  int    `json:"max_tokens,omitempty"`
	// DeadlineMillis is the time that the caller allows to the first token; 0
	// if it states none.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// Result tells how an attempt ended for its caller.
type Result string

// Results of an attempt.
const (
	// ResultAnswer is a success that was read to its end.
	ResultAnswer Result = "answer"
	// ResultRefused is a typed error, also one that ends a stream.
	ResultRefused Result = "refused"
	// ResultBroken is a connection that broke after the request was sent.
	ResultBroken Result = "broken"
	// ResultUnreachable is a connection that was never made.
	ResultUnreachable Result = "unreachable"
	// ResultAbandoned is an attempt that the caller itself gave up.
	ResultAbandoned Result = "abandoned"
)

// Outcomes that a typed error states.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// Response is what a caller received.
type Response struct {
	Result Result `json:"result"`
	// RequestID is the id that the answer names.
	RequestID string `json:"request_id,omitempty"`
	Status    int    `json:"status,omitempty"`
	// Problem and Outcome are those of a typed error.
	Problem string `json:"problem,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Text    string `json:"text,omitempty"`
	// FirstTokenNanos is the time to the first token of a stream.
	FirstTokenNanos int64 `json:"first_token_ns,omitempty"`
}

// Writer appends lines to a file.
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

// Write stamps the line with the present time and appends it.
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

// maxLineBytes bounds one line of a file.
const maxLineBytes = 4 << 20

// ReadLines decodes the JSON lines of a file, of this package or another. A
// torn last line, as a killed process leaves, is passed over.
func ReadLines[T any](r io.Reader) ([]T, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []T
	var torn error
	for scanner.Scan() {
		if torn != nil {
			return nil, torn
		}
		var line T
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			torn = fmt.Errorf("read line %d: %w", len(lines)+1, err)
			continue
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}
