package admission

import (
	"time"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Verdict is the result of checking a request's fingerprint.
type Verdict uint8

// Verdicts on a fingerprint.
const (
	// VerdictClear means that the request is scheduled as usual.
	VerdictClear Verdict = iota
	// VerdictSuspect means that the request must run alone on its target.
	VerdictSuspect
	// VerdictQuarantined means that the request is refused.
	VerdictQuarantined
)

// FingerprintScreener tracks fingerprints of requests that crash targets. Its
// methods are called from the owner's goroutine and must not block.
type FingerprintScreener interface {
	// Check returns the verdict on a fingerprint and, for a quarantined one, the
	// typed error with which to refuse the request.
	Check(now time.Time, fingerprint uint64) (Verdict, error)
	// RecordTargetDeath records that a target died while the request ran on it,
	// alone or together with others.
	RecordTargetDeath(now time.Time, target string, fingerprint uint64, alone bool)
	// RecordSoloCompletion records that a request completed while it ran alone on
	// its target.
	RecordSoloCompletion(fingerprint uint64)
}

// checkFingerprint returns an error for a quarantined request and marks a
// suspect one to run alone.
func (o *Owner) checkFingerprint(now time.Time, w *Waiter) error {
	if o.options.FingerprintScreener == nil || w.permitRequest.GetFingerprint() == 0 {
		return nil
	}
	verdict, err := o.options.FingerprintScreener.Check(now, w.permitRequest.GetFingerprint())
	if verdict == VerdictQuarantined {
		return err
	}
	w.request.Exclusive = verdict == VerdictSuspect
	return nil
}

// reportFingerprintResult reports the death of the target, or the completion of
// a request that ran alone, to the FingerprintScreener.
func (o *Owner) reportFingerprintResult(now time.Time, p *permit, r *schema.PermitReturn) {
	if o.options.FingerprintScreener == nil || p.fingerprint == 0 {
		return
	}
	switch r.GetResult() {
	case schema.PermitResult_PERMIT_RESULT_TARGET_DIED:
		o.options.FingerprintScreener.RecordTargetDeath(now, p.target.info.Name, p.fingerprint, p.exclusive)
	case schema.PermitResult_PERMIT_RESULT_COMPLETED:
		if p.exclusive {
			o.options.FingerprintScreener.RecordSoloCompletion(p.fingerprint)
		}
	}
}

// reserveTarget reserves the target with the fewest requests in flight for a
// suspect request, which needs an idle target. A group has at most one reserved
// target at a time.
func (g *group) reserveTarget(w *Waiter) {
	best := -1
	for i, t := range g.targets {
		if t.reserved() {
			return
		}
		if g.scores[i].Reason != scheduling.ReasonNotIdle {
			continue
		}
		if best < 0 || t.inFlight < g.targets[best].inFlight {
			best = i
		}
	}
	if best >= 0 {
		g.targets[best].reservedFor = w
	}
}
