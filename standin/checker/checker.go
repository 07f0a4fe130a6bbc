// Package checker verifies the promises of the system against the history of a
// run. It reads only what callers sent and received, what operators did, and
// what targets recorded; it never queries a node.
package checker

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// Promise names an invariant of the system.
type Promise string

// The promises, in the order in which they are documented for users.
const (
	DispatchedOnce    Promise = "dispatched-once"
	TierOrder         Promise = "tier-order"
	WholeAnswer       Promise = "whole-answer"
	NotRunIsTrue      Promise = "not-run-is-true"
	NonIdempotentOnce Promise = "non-idempotent-once"
	LeavingTarget     Promise = "leaving-target"
	GracefulStop      Promise = "graceful-stop"
	Configuration     Promise = "configuration"
)

// Promises lists all promises in that order.
var Promises = []Promise{
	DispatchedOnce, TierOrder, WholeAnswer, NotRunIsTrue,
	NonIdempotentOnce, LeavingTarget, GracefulStop, Configuration,
}

// Violation is one event that violates a promise.
type Violation struct {
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Verdict is the result of checking one promise.
type Verdict struct {
	Promise Promise `json:"promise"`
	// Judged counts the requests or events to which the promise applied. At 0
	// the run is no evidence for the promise.
	Judged     int         `json:"judged"`
	Violations []Violation `json:"violations,omitempty"`
}

// Report holds the verdicts on all promises and the number of requests by
// outcome.
type Report struct {
	Requests int       `json:"requests"`
	Answered int       `json:"answered"`
	NotRun   int       `json:"not_run"`
	Unknown  int       `json:"unknown"`
	Verdicts []Verdict `json:"verdicts"`
}

// Verdict returns the verdict on one promise.
func (r *Report) Verdict(p Promise) Verdict {
	for _, v := range r.Verdicts {
		if v.Promise == p {
			return v
		}
	}
	return Verdict{Promise: p}
}

// Failed reports whether any promise was violated.
func (r *Report) Failed() bool {
	for _, v := range r.Verdicts {
		if len(v.Violations) > 0 {
			return true
		}
	}
	return false
}

// verdict is a Verdict under construction.
type verdict Verdict

func (v *verdict) addViolation(subject, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// Check checks every promise against the history and the target records of a
// run.
func Check(lines []history.Line, records []record.Line) *Report {
	r := newRun(lines, records)
	report := &Report{Requests: len(r.requests)}
	report.count(r)
	checks := []func(*run, *verdict){
		checkDispatchedOnce, checkTierOrder, checkWholeAnswer, checkNotRun,
		checkNonIdempotent, checkLeaving, checkStops, checkConfiguration,
	}
	for i, check := range checks {
		v := verdict{Promise: Promises[i]}
		check(r, &v)
		report.Verdicts = append(report.Verdicts, Verdict(v))
	}
	return report
}

// count classifies the requests: those answered, those whose attempts all ended
// without a run, and those of unknown outcome.
func (r *Report) count(run *run) {
	for _, q := range run.requests {
		switch {
		case q.answered():
			r.Answered++
		case q.allNotRun():
			r.NotRun++
		default:
			r.Unknown++
		}
	}
}

// Patterns of the names of a run's files in its directory.
const (
	HistoryPattern = "history*.jsonl"
	RecordPattern  = "record*.jsonl"
)

// JudgeDirectory reads the history and the target records of a run from its
// directory and checks every promise.
func JudgeDirectory(directory string) (*Report, error) {
	lines, err := readAll[history.Line](filepath.Join(directory, HistoryPattern))
	if err != nil {
		return nil, err
	}
	records, err := readAll[record.Line](filepath.Join(directory, RecordPattern))
	if err != nil {
		return nil, err
	}
	return Check(lines, records), nil
}

// readAll decodes the JSON lines of all files that match the pattern.
func readAll[T any](pattern string) ([]T, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	var all []T
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := history.ReadLines[T](file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Base(path), err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
