package admission

import (
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Verdict says how a request's fingerprint is to be treated.
type Verdict uint8

// Verdicts on a fingerprint.
const (
	VerdictClear Verdict = iota
	// VerdictSuspect requests run alone on a target.
	VerdictSuspect
	// VerdictQuarantined requests are refused.
	VerdictQuarantined
)

// Screen knows fingerprints of requests that crash targets. Its methods are
// called from the owner's goroutine and must not block.
type Screen interface {
	// Check returns the verdict on a fingerprint, and the typed error to refuse
	// a quarantined one with.
	Check(now time.Time, fingerprint uint64) (Verdict, error)
	// Died notes that a target died while the fingerprints ran on it.
	Died(now time.Time, target string, fingerprints []uint64)
}

// screen refuses a quarantined request and marks a suspect one.
func (o *Owner) screen(now time.Time, w *Waiter) error {
	if o.options.Screen == nil || w.asked.GetFingerprint() == 0 {
		return nil
	}
	verdict, err := o.options.Screen.Check(now, w.asked.GetFingerprint())
	if verdict == VerdictQuarantined {
		return err
	}
	w.request.Alone = verdict == VerdictSuspect
	return nil
}

// screenResult reports a target's death with what ran on it.
func (o *Owner) screenResult(now time.Time, g *group, p *permit, r *schema.PermitReturn) {
	if o.options.Screen == nil || r.GetResult() != schema.PermitResult_PERMIT_RESULT_TARGET_FAILED {
		return
	}
	var running []uint64
	if p.print != 0 {
		running = append(running, p.print)
	}
	o.options.Screen.Died(now, p.target.info.Name, running)
}
