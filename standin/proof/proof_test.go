package proof_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/proof"
	"github.com/primrosemoor/primrosemoor/standin/scenario"
)

func result(name string, seed uint64, violations ...checker.Violation) scenario.Result {
	return scenario.Result{
		Scenario: name,
		Size:     "drumlin",
		Seed:     seed,
		Covers:   []scenario.Failure{scenario.NodeKill},
		Report: &checker.Report{Verdicts: []checker.Verdict{
			{Promise: checker.DispatchedOnce, Judged: 40, Violations: violations},
		}},
	}
}

func TestCellsShowPassedFailedAndNotRun(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	is.NoErr(proof.Write(&page, []scenario.Result{result("a", 1)}))
	is.True(strings.Contains(page.String(), "| node-kill | passed (a:1; 40) | not run |"))
	is.True(strings.Contains(page.String(), "| owner-kill | not run |"))
	page.Reset()
	broken := result("b", 2, checker.Violation{Subject: "r1"})
	is.NoErr(proof.Write(&page, []scenario.Result{result("a", 1), broken}))
	is.True(strings.Contains(page.String(), "| node-kill | **failed** in b:2 |"))
}
