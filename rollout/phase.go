package rollout

import "time"

const (
	// minTrialShare is the part of the time limit for which a version is under trial, because
	// some versions become bad later. maxTrialShare leaves time for the requests that run at
	// the other targets to end, and for the status to be written.
	minTrialShare = 0.6
	maxTrialShare = 0.8
	// minShiftShare is the part of the time limit for which the other targets are kept while
	// the new version serves all requests, because some versions are bad under load only.
	minShiftShare = 0.08
	// endShare of the time limit is left at the end of a rollout for a decider that fails,
	// between minEndMargin and maxEndMargin.
	endShare     = 0.12
	minEndMargin = 3 * time.Second
	maxEndMargin = 8 * time.Second
)

// Progress is what the next phase of a rollout depends on.
type Progress struct {
	Phase Phase
	// Elapsed is the time since the order, InPhase that since the phase began.
	Elapsed, InPhase, Duration time.Duration
	// Bad is set if the new version is known to be bad.
	Bad      bool
	Evidence Evidence
	// NewTargets and OldTargets count the targets of the new version and of the others.
	NewTargets, OldTargets int
	// OldRunning counts the requests that run at targets of other versions.
	OldRunning int
}

// Next returns the phase that follows now, which may be the present one.
func (p Progress) Next() Phase {
	if p.Phase.Ended() {
		return p.Phase
	}
	left := p.Duration - p.Elapsed
	last := left <= endMargin(p.Duration)
	switch {
	case p.Bad:
		return Reverted
	case p.Phase == Ordered:
		return Trial
	case p.Phase == Trial:
		return p.afterTrial(last)
	case last && p.NewTargets == 0:
		return Reverted
	case last, p.OldRunning == 0 && p.InPhase >= share(p.Duration, minShiftShare) && p.NewTargets > 0:
		return Completed
	}
	return p.Phase
}

// afterTrial returns the phase that follows the trial, or Trial.
func (p Progress) afterTrial(last bool) Phase {
	over := p.Elapsed >= share(p.Duration, maxTrialShare)
	switch {
	case p.Elapsed <= share(p.Duration, minTrialShare):
		return Trial
	case p.NewTargets > 0 && (p.Evidence == Sufficient || p.Evidence == Scarce && over || p.OldTargets == 0):
		return Shifting
	case over || last:
		return Reverted
	}
	return Trial
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func endMargin(d time.Duration) time.Duration {
	return min(max(share(d, endShare), minEndMargin), maxEndMargin)
}
