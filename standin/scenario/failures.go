package scenario

import (
	"fmt"
	"slices"
)

// Failure names a kind of failure that scenarios inject.
type Failure string

// Kinds of failures, in the order of the table in docs/PROOF.md.
const (
	NodeKill          Failure = "node-kill"
	OwnerKill         Failure = "owner-kill"
	EntryKill         Failure = "entry-kill-resend"
	FreezeThaw        Failure = "freeze-thaw"
	RegionCut         Failure = "region-cut"
	OneWayCut         Failure = "one-way-cut"
	PlatformDown      Failure = "platform-down"
	PlatformSlow      Failure = "platform-slow"
	PlatformThrottled Failure = "platform-throttled"
	LostAnswers       Failure = "lost-answers"
	TwoOperators      Failure = "two-operators"
	EngineCrash       Failure = "engine-crash"
	Straggler         Failure = "straggler"
	TargetGone        Failure = "target-gone"
	PoisonResent      Failure = "poison-resent"
	Burst             Failure = "burst"
	TwoTogether       Failure = "two-together"
	SameTwice         Failure = "same-twice"
	PlannedChanges    Failure = "planned-change"
)

// Failures lists all kinds of failures in that order.
var Failures = []Failure{
	NodeKill, OwnerKill, EntryKill, FreezeThaw, RegionCut, OneWayCut,
	PlatformDown, PlatformSlow, PlatformThrottled, LostAnswers, TwoOperators,
	EngineCrash, Straggler, TargetGone, PoisonResent, Burst, TwoTogether,
	SameTwice, PlannedChanges,
}

// parseFailure returns the failure of that name.
func parseFailure(name string) (Failure, error) {
	failure := Failure(name)
	if !slices.Contains(Failures, failure) {
		return "", fmt.Errorf("unknown failure %q; known failures are %v", name, Failures)
	}
	return failure, nil
}
