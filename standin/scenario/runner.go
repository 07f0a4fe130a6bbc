// Package scenario runs test scripts against the real binaries. The scripts are
// written in testscript's language, extended by commands that start a
// deployment, send requests, inject failures and assert results. After each
// script the checker verifies the recorded history of the run.
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
	// Binaries is the directory of the built programs.
	Binaries string
	// Directory is where each run creates a subdirectory for its logs.
	Directory string
	Seed      uint64
	// Size overrides the deployment size that scenarios select; if empty,
	// scenarios choose their own.
	Size string
	// Limit is the timeout of one scenario.
	Limit  time.Duration
	Output io.Writer
	// Keep retains the logs of runs that passed.
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

// Run executes one scenario file and prints its result to o.Output.
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
	script := &scriptRun{logPath: filepath.Join(directory, "script.log")}
	script.run(file, s)
	s.close()
	result.Reason = script.failureReason()
	result.evaluate(s)
	result.Passed = result.Reason == ""
	result.Seconds = time.Since(started).Seconds()
	result.print(o, directory)
	return result
}

// evaluate runs the checker over the recorded history and fills in the size,
// the covered failures and the report. A violation, or a required promise that
// applied to nothing, fails the scenario.
func (r *Result) evaluate(s *session) {
	r.Size = s.size
	for _, f := range Failures {
		if s.coveredFailures[f] {
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
	for _, p := range s.requiredPromises {
		if report.Verdict(p).Judged == 0 {
			r.fail(fmt.Sprintf("promise %s applied to nothing", p))
		}
	}
}

// fail sets the reason of the failure unless one is already set.
func (r *Result) fail(reason string) {
	if r.Reason == "" {
		r.Reason = reason
	}
}

// print writes the result line and removes the logs of a passed run unless
// they are to be kept.
func (r *Result) print(o Options, directory string) {
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

// errFailed is the panic value that aborts a failed script.
var errFailed = errors.New("scenario failed")

// scriptRun implements testscript.T for one script.
type scriptRun struct {
	logPath string
	failed  bool
	reason  string
}

// failureReason returns why the script failed, or an empty string if it passed.
func (t *scriptRun) failureReason() string {
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

// Log implements testscript.T. It appends the text to script.log in the run's
// directory.
func (t *scriptRun) Log(args ...any) {
	text := fmt.Sprintln(args...)
	t.extractReason(text)
	file, err := os.OpenFile(t.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer file.Close()
	file.WriteString(text)
}

// Prefixes of the lines that testscript logs for a failed command and for a
// script that ended early with the stop command. A script that ended early
// counts as failed, since its remaining checks did not run.
const (
	failPrefix = "FAIL: "
	stopPrefix = "stop: "
)

// extractReason records the first reason of a failure found in logged text.
func (t *scriptRun) extractReason(text string) {
	for line := range strings.Lines(text) {
		reason, ok := strings.CutPrefix(line, failPrefix)
		if strings.HasPrefix(line, stopPrefix) {
			reason, ok = "the script ended early by "+line, true
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

// Skip implements testscript.T; a skipped scenario counts as failed.
func (t *scriptRun) Skip(args ...any) {
	t.reason = "skipped: " + fmt.Sprint(args...)
	panic(errFailed)
}

// Parallel implements testscript.T; it does nothing, as scripts run one after
// another.
func (t *scriptRun) Parallel() {}

// Verbose implements testscript.T.
func (t *scriptRun) Verbose() bool { return true }
