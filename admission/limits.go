package admission

import "time"

// MaxRanks is the number of tiers that an owner distinguishes. Less important
// tiers are treated as the last one.
const MaxRanks = 8

const (
	defaultQueueTimeout     = 30 * time.Second
	defaultMaxQueue         = 1024
	defaultPermitTimeout    = 2 * time.Second
	defaultFirstTokenGoal   = 810 * time.Millisecond
	defaultTokenTimeGoal    = 27 * time.Millisecond
	defaultPlainConcurrency = 32
	// hardMaxQueueFactor times the queue's limit is the hard limit on a group's
	// waiters, which holds whatever the order of tiers.
	hardMaxQueueFactor = 4
	// permitExpiryFactor times the expected duration of a request is the time
	// after which a permit that was not returned expires, but at least
	// minPermitExpiry.
	permitExpiryFactor = 4
	minPermitExpiry    = 60 * time.Second

	// A target is paused for initialFailureBackoff after a failed request. The
	// pause doubles with each consecutive failure, at most maxBackoffDoublings
	// times and up to maxFailureBackoff.
	initialFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff     = 10 * time.Second
	maxBackoffDoublings   = 6

	// LeaseDuration is the validity of a dispatch lease between sibling owners.
	LeaseDuration = 2 * time.Second
	// leaseRenewInterval is the interval between floor updates to one sibling
	// while leases are needed.
	leaseRenewInterval = 500 * time.Millisecond
	// SiblingTimeout is how long a sibling must fail to answer before dispatch no
	// longer requires its leases. At least minUnansweredUpdates updates in a row
	// must be unanswered by then.
	SiblingTimeout       = 3 * LeaseDuration
	minUnansweredUpdates = 3
	// floorUpdateTimeout bounds the exchange of one floor update.
	floorUpdateTimeout = time.Second
	// floorHoldTime is the minimum time from the last request to shed to the
	// first relaxation of the floor, and floorStepInterval is the minimum
	// interval between the steps, each of which admits one more rank.
	floorHoldTime     = time.Second
	floorStepInterval = 500 * time.Millisecond

	// throughputSmoothing is the weight of the previous estimate in the moving
	// average of a queue's throughput. An interval has at least the duration
	// throughputInterval and minThroughputGrants grants.
	throughputSmoothing = 0.7
	throughputInterval  = time.Second
	minThroughputGrants = 8

	// lowestTierWaitMargin multiplies the expected wait of a request of the
	// lowest tier, to allow for the error of the estimate.
	lowestTierWaitMargin = 1.25
	// higherTierWaitMargin is the same for the other tiers. Refusing such a
	// request requires shedding less important ones first, so it is queued even
	// if the estimate is slightly too long.
	higherTierWaitMargin = 0.7

	// shedLeadTime is how long before a deadline the owner requests a stricter
	// floor. It covers an exchange between regions.
	shedLeadTime = 300 * time.Millisecond

	// rateDriftInterval is the interval between the steps in which the rates of
	// an idle target approach the median of its group.
	rateDriftInterval = time.Second

	retryAfterShed = time.Second

	// tickInterval is the interval between calls of Owner.Tick.
	tickInterval = 50 * time.Millisecond
)
