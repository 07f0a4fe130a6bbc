package scenario

import (
	"fmt"
	"slices"
)

// Failure names a kind of failure that scenarios bring about.
type Failure string

// Failures, in the order of the table in docs/PROOF.md.
const (
	NodeKill       Failure = "node-kill"
	OwnerKill      Failure = "owner-kill"
	EntryKill      Failure = "entry-kill-resend"
	FreezeThaw     Failure = "freeze-thaw"
	RegionCut      Failure = "region-cut"
	OneWayCut      Failure = "one-way-cut"
	PlatformDown   Failure = "platform-down"
	PlatformSlow   Failure = "platform-slow"
	PlatformBusy   Failure = "platform-throttled"
	LostAnswers    Failure = "lost-answers"
	TwoOperators   Failure = "two-operators"
	EngineCrash    Failure = "engine-crash"
	Straggler      Failure = "straggler"
	TargetGone     Failure = "target-gone"
	PoisonResent   Failure = "poison-resent"
	Burst          Failure = "burst"
	TwoTogether    Failure = "two-together"
	SameTwice      Failure = "same-twice"
	PlannedChanges Failure = "planned-change"
)

// Failures lists all failures in order.
var Failures = []Failure{
	NodeKill, OwnerKill, EntryKill, FreezeThaw, RegionCut, OneWayCut,
	PlatformDown, PlatformSlow, PlatformBusy, LostAnswers, TwoOperators,
	EngineCrash, Straggler, TargetGone, PoisonResent, Burst, TwoTogether,
	SameTwice, PlannedChanges,
}

func parseFailure(text string) (Failure, error) {
	f := Failure(text)
	if !slices.Contains(Failures, f) {
		return "", fmt.Errorf("failure %q is not known; known are %v", text, Failures)
	}
	return f, nil
}
