package admission

import "time"

// MaxRanks is the number of tiers that an owner distinguishes; lower ranks
// are treated as the last one.
const MaxRanks = 8

const (
	defaultWait             = 30 * time.Second
	defaultMaxQueue         = 1024
	defaultPermitTimeout    = 2 * time.Second
	defaultFirstTokenGoal   = 810 * time.Millisecond
	defaultTokenTimeGoal    = 27 * time.Millisecond
	defaultPlainConcurrency = 32
	// hardQueueFactor times the queue's bound is never exceeded.
	hardQueueFactor = 4
	// expiryFactor times the expected duration is how long a permit is held
	// for an entry that does not return it.
	expiryFactor = 4
	minExpiry    = 60 * time.Second

	firstFailurePause   = 250 * time.Millisecond
	maxFailurePause     = 10 * time.Second
	maxFailureDoublings = 6

	// LeaseDuration is how long a dispatch lease between sibling owners holds.
	LeaseDuration = 2 * time.Second
	// renewInterval separates floor updates to one sibling.
	renewInterval = 500 * time.Millisecond
	// SplitAfter is how long a sibling must fail to answer before its leases
	// are no longer asked for.
	SplitAfter       = 3 * LeaseDuration
	minSplitFailures = 3
	// floorTimeout bounds the exchange of one floor update.
	floorTimeout = time.Second
	// floorHold is how long a floor stays after the last pressure, and
	// floorStep separates the steps in which it is lowered.
	floorHold = time.Second
	floorStep = 500 * time.Millisecond

	// drainMemory is the share of the measured queue drain kept each second.
	drainMemory    = 0.7
	drainInterval  = time.Second
	minDrainGrants = 8

	// waitMargin allows for the error of expected waits in the queue.
	waitMargin = 1.25
	// pressMargin is the same where less important requests would have to be
	// shed first: a wait that may just do is tried.
	pressMargin = 0.7

	// pressAhead is how long before a deadline a floor is asked for; it covers
	// an exchange between regions.
	pressAhead = 300 * time.Millisecond

	// driftInterval separates the steps in which the rates of an idle target
	// approach those of its group.
	driftInterval = time.Second

	retryAfterShed = time.Second

	// tickInterval separates the owner's periodic checks.
	tickInterval = 50 * time.Millisecond
)
