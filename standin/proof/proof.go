// Package proof renders the results of scenario runs as the tables of
// docs/PROOF.md, which show each promise under each failure, and the days of the
// platform's test bench as the table of docs/DAYS.md.
package proof

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/scenario"
)

// cell summarizes the runs for one promise under one failure. judged is the
// number of requests and events judged in all runs, and runs is the number of
// runs that judged any; failed and judgedIn list runs as "scenario:seed".
type cell struct {
	judged   int
	runs     int
	failed   []string
	judgedIn []string
}

// add adds the verdict of one run on the promise. A run without a report is
// ignored.
func (c *cell) add(r scenario.Result, p checker.Promise) {
	if r.Report == nil {
		return
	}
	v := r.Report.Verdict(p)
	name := fmt.Sprintf("%s:%d", r.Scenario, r.Seed)
	if len(v.Violations) > 0 {
		c.failed = append(c.failed, name)
	}
	if v.Judged > 0 {
		c.runs++
		c.judged += v.Judged
		c.judgedIn = append(c.judgedIn, name)
	}
}

func (c *cell) format() string {
	switch {
	case len(c.failed) > 0:
		return "**failed** in " + strings.Join(c.failed, ", ")
	case c.runs == 0:
		return "not run"
	default:
		return fmt.Sprintf("passed (%s; %d)", strings.Join(c.judgedIn, ", "), c.judged)
	}
}

// ReadResults reads a results file that the scenario command has written.
func ReadResults(path string) ([]scenario.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer file.Close()
	return history.ReadLines[scenario.Result](file)
}

const resultsHeader = `# What the runs show

Made by ` + "`make proof`" + ` from the results of scenario runs; do not edit. A cell names
the scenarios with their seeds and the number of requests or events that the
checker judged. "Not run" means that no run applied the promise to the failure.
Days played on the users' platform are in [DAYS.md](DAYS.md).
Run one again with ` + "`make scenario FILES=standin/scenarios/NAME.txtar SEED=N SIZE=SIZE`" + `.

`

// Write renders the results of all runs.
func Write(w io.Writer, results []scenario.Result) error {
	var b strings.Builder
	b.WriteString(resultsHeader)
	for _, size := range sizes(results) {
		writeDeployment(&b, size, results)
	}
	writeRuns(&b, results)
	_, err := io.WriteString(w, b.String())
	return err
}

func sizes(results []scenario.Result) []string {
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Size) {
			names = append(names, r.Size)
		}
	}
	slices.Sort(names)
	return names
}

func writeDeployment(b *strings.Builder, size string, results []scenario.Result) {
	fmt.Fprintf(b, "## Deployment %s\n\n| failure |", size)
	for _, p := range checker.Promises {
		fmt.Fprintf(b, " %s |", p)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(checker.Promises)) + "\n")
	for _, f := range scenario.Failures {
		fmt.Fprintf(b, "| %s |", f)
		for _, p := range checker.Promises {
			var c cell
			for _, r := range results {
				if r.Size == size && slices.Contains(r.Covers, f) {
					c.add(r, p)
				}
			}
			fmt.Fprintf(b, " %s |", c.format())
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

func writeRuns(b *strings.Builder, results []scenario.Result) {
	b.WriteString("## Runs\n\n| scenario | size | seed | verdict | requests | answered | not run | unknown |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		verdict := "passed"
		if !r.Passed {
			verdict = "**failed**: " + strings.ReplaceAll(r.Reason, "|", "/")
		}
		report := r.Report
		if report == nil {
			report = &checker.Report{}
		}
		fmt.Fprintf(b, "| %s | %s | %d | %s | %d | %d | %d | %d |\n", r.Scenario, r.Size, r.Seed, verdict,
			report.Requests, report.Answered, report.NotRun, report.Unknown)
	}
}
