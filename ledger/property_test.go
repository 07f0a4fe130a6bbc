package ledger_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

// Default seed and number of the histories that every test run checks; make
// soak-ledger checks more histories from other seeds.
const (
	defaultSeed   = "1"
	defaultChecks = "2000"
)

// mutantHistories is the number of histories within which the mutant must be
// detected.
const mutantHistories = 500

func TestMain(m *testing.M) { rapidtest.Main(m, defaultSeed, defaultChecks) }

func TestNoIDIsClaimedTwice(t *testing.T) {
	histories, granted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := genPlan().Draw(rt, "plan")
		h := runHistory(t, p, false)
		histories++
		granted += h.granted
		if ids := h.doubleRuns(); len(ids) > 0 {
			rt.Fatalf("ids that ran more than once: %v", ids)
		}
	})
	t.Logf("%d histories, %d claims granted", histories, granted)
	if granted < histories/2 {
		t.Fatalf("only %d claims were granted in %d histories", granted, histories)
	}
}

func TestMutantWithoutVersionCheckIsDetected(t *testing.T) {
	generator := genPlan()
	for i := range mutantHistories {
		h := runHistory(t, generator.Example(i), true)
		if len(h.doubleRuns()) > 0 {
			t.Logf("caught by history %d", i)
			return
		}
	}
	t.Fatalf("%d histories did not catch the mutant", mutantHistories)
}
