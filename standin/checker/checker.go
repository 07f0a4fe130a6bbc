// Package checker judges the promises of the system over the history of a
// run. It reads only what callers sent and received, what operators did, and
// what targets recorded; it never asks a node.
package checker

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// Promise names one property that must always hold.
type Promise string

// Promises, in the order of the users' list.
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

// Promises lists all promises in order.
var Promises = []Promise{
	DispatchedOnce, TierOrder, WholeAnswer, NotRunIsTrue,
	NonIdempotentOnce, LeavingTarget, GracefulStop, Configuration,
}

// Violation is one event that breaks a promise.
type Violation struct {
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Verdict is the judgement of one promise.
type Verdict struct {
	Promise Promise `json:"promise"`
	// Judged counts the requests or events to which the promise applied; a
	// promise that applied to none has not been shown.
	Judged     int         `json:"judged"`
	Violations []Violation `json:"violations,omitempty"`
}

// Report holds the verdicts on all promises.
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

// Failed reports whether any promise was broken.
func (r *Report) Failed() bool {
	for _, v := range r.Verdicts {
		if len(v.Violations) > 0 {
			return true
		}
	}
	return false
}

// verdict collects the judgement of one promise.
type verdict Verdict

func (v *verdict) breaks(subject, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// Judge returns the verdicts on a run.
func Judge(lines []history.Line, records []record.Line) *Report {
	r := newRun(lines, records)
	report := &Report{Requests: len(r.requests)}
	report.count(r)
	judges := []func(*run, *verdict){
		judgeDispatchedOnce, judgeTierOrder, judgeWholeAnswer, judgeNotRun,
		judgeNonIdempotent, judgeLeaving, judgeStops, judgeConfiguration,
	}
	for i, judge := range judges {
		v := verdict{Promise: Promises[i]}
		judge(r, &v)
		report.Verdicts = append(report.Verdicts, Verdict(v))
	}
	return report
}

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

// Files of a run's directory.
const (
	HistoryPattern = "history*.jsonl"
	RecordPattern  = "record*.jsonl"
)

// JudgeDirectory reads the files of a run and judges it.
func JudgeDirectory(directory string) (*Report, error) {
	lines, err := readAll[history.Line](filepath.Join(directory, HistoryPattern))
	if err != nil {
		return nil, err
	}
	records, err := readAll[record.Line](filepath.Join(directory, RecordPattern))
	if err != nil {
		return nil, err
	}
	return Judge(lines, records), nil
}

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
