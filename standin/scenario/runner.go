// Package scenario runs scripts in a small test language over the real
// binaries: testscript's language with commands that start a deployment, send
// requests, bring about failures and state what is expected. After each script
// the checker judges the run's history.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primrosemoor/primrosemoor/standin/checker"
)

// Options configures a run of scenarios.
type Options struct {
	// Binaries is the folder of the built programs.
	Binaries string
	// Directory receives a folder of logs for each run.
	Directory string
	Seed      uint64
	// Size replaces the size that scenarios name; empty leaves it.
	Size string
	// Limit bounds the time of one scenario.
	Limit  time.Duration
	Output io.Writer
	// Keep keeps the logs of runs that passed.
	Keep bool
}

// Result is the outcome of one scenario.
type Result struct {
	Scenario string          `json:"scenario"`
	Size     string          `json:"size"`
	Seed     uint64          `json:"seed"`
	Seconds  float64         `json:"seconds"`
	Covers   []Failure       `json:"covers"`
	Passed   bool            `json:"passed"`
	Reason   string          `json:"reason,omitempty"`
	Report   *checker.Report `json:"report"`
}

// Run runs one scenario file.
func Run(ctx context.Context, file string, o Options) Result {
	started := time.Now()
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	result := Result{Scenario: name, Seed: o.Seed}
	directory := filepath.Join(o.Directory, fmt.Sprintf("%s-%d-%d", name, o.Seed, started.UnixNano()))
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	s, err := newSession(ctx, directory, o)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	script := &scriptRun{log: filepath.Join(directory, "script.log")}
	script.run(file, s)
	s.close()
	result.Reason = script.result()
	result.judge(s)
	result.Passed = result.Reason == ""
	result.Seconds = time.Since(started).Seconds()
	result.report(o, directory)
	return result
}

// judge lets the checker judge the run and notes what it covered.
func (r *Result) judge(s *session) {
	r.Size = s.size
	for _, f := range Failures {
		if s.covers[f] {
			r.Covers = append(r.Covers, f)
		}
	}
	report, err := checker.JudgeDirectory(s.directory)
	if err != nil {
		r.fail("judge: " + err.Error())
		return
	}
	r.Report = report
	for _, v := range report.Verdicts {
		if n := len(v.Violations); n > 0 {
			first := v.Violations[0]
			r.fail(fmt.Sprintf("promise %s: %d violations, first %s: %s", v.Promise, n, first.Subject, first.Detail))
		}
	}
	for _, p := range s.required {
		if report.Verdict(p).Judged == 0 {
			r.fail(fmt.Sprintf("promise %s applied to nothing", p))
		}
	}
}

// fail keeps the first reason.
func (r *Result) fail(reason string) {
	if r.Reason == "" {
		r.Reason = reason
	}
}

func (r *Result) report(o Options, directory string) {
	if r.Passed {
		fmt.Fprintf(o.Output, "PASS %s seed=%d seconds=%.1f requests=%d answered=%d not_run=%d unknown=%d\n",
			r.Scenario, r.Seed, r.Seconds, r.Report.Requests, r.Report.Answered, r.Report.NotRun, r.Report.Unknown)
		if !o.Keep {
			os.RemoveAll(directory)
		}
		return
	}
	fmt.Fprintf(o.Output, "FAIL %s seed=%d seconds=%.1f logs=%s: %s\n",
		r.Scenario, r.Seed, r.Seconds, directory, r.Reason)
}

// errFailed ends a script that has failed.
var errFailed = errors.New("scenario failed")

// scriptRun implements testscript.T for one script.
type scriptRun struct {
	log    string
	failed bool
	reason string
}

// result returns why the script failed, or an empty string.
func (t *scriptRun) result() string {
	if t.failed && t.reason == "" {
		return "the script failed; see script.log"
	}
	return t.reason
}

func (t *scriptRun) run(file string, s *session) {
	defer func() {
		if err := recover(); err != nil && err != errFailed {
			panic(err)
		}
	}()
	testscript.RunT(t, testscript.Params{
		Files: []string{file},
		Cmds:  s.scriptCommands(),
	})
}

// Run implements testscript.T.
func (t *scriptRun) Run(_ string, f func(testscript.T)) {
	defer func() {
		if err := recover(); err != nil && err != errFailed {
			panic(err)
		}
	}()
	f(t)
}

// Log implements testscript.T; the text goes to the run's folder.
func (t *scriptRun) Log(args ...any) {
	text := fmt.Sprintln(args...)
	t.keepReason(text)
	file, err := os.OpenFile(t.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer file.Close()
	file.WriteString(text)
}

// Marks of testscript's lines on a failed command, and on a script that ended
// itself early, which has shown nothing.
const (
	failMark = "FAIL: "
	stopMark = "stop: "
)

// keepReason takes the reason of a failure out of the script's log.
func (t *scriptRun) keepReason(text string) {
	for line := range strings.Lines(text) {
		reason, ok := strings.CutPrefix(line, failMark)
		if strings.HasPrefix(line, stopMark) {
			reason, ok = "the script ended itself by "+line, true
		}
		if ok && t.reason == "" {
			t.reason = strings.TrimSpace(reason)
		}
	}
}

// Fatal implements testscript.T.
func (t *scriptRun) Fatal(args ...any) {
	t.Log(args...)
	t.FailNow()
}

// FailNow implements testscript.T.
func (t *scriptRun) FailNow() {
	t.failed = true
	panic(errFailed)
}

// Skip implements testscript.T; a skipped scenario has failed.
func (t *scriptRun) Skip(args ...any) {
	t.reason = "skipped: " + fmt.Sprint(args...)
	panic(errFailed)
}

// Parallel implements testscript.T; scripts run one after another.
func (t *scriptRun) Parallel() {}

// Verbose implements testscript.T.
func (t *scriptRun) Verbose() bool { return true }
