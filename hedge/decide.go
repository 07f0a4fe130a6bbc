// Package hedge decides when a request that may be repeated is sent a second time because its
// first target is slow. The load that it answers: some targets are slow now and then, for a
// part of their requests, and others have free slots meanwhile.
package hedge

import "time"

const (
	// fullInUse is the share of a service's slots in use up to which the whole limit may be
	// used, and maxInUse that from which no copy is sent. With random arrivals at 36 slots,
	// 0.3 % of the requests find no free slot at the first, and 2.9 % at the second
	// (Erlang C).
	fullInUse = 0.6
	maxInUse  = 0.7
)

// refusalPause is how long no target is asked for after a copy was refused one. When capacity
// is short most requests are slow, and the owner of the zone would be asked for a copy of each.
const refusalPause = 500 * time.Millisecond

// Reason says why no copy is sent.
type Reason string

// The reasons why no copy is sent.
const (
	// ReasonOff means that the settings allow no copies.
	ReasonOff Reason = "off"
	// ReasonShare means that the copies of the last requests have used up the limit.
	ReasonShare Reason = "max_share"
	// ReasonRetries means that the retry budget has no room beside the retries.
	ReasonRetries Reason = "retry_budget"
	// ReasonRefused means that a copy has lately found no free slot.
	ReasonRefused Reason = "no_free_slot"
)

// Usage is what a node has sent of a service within the window.
type Usage struct {
	// Requests counts those that were sent to a first target, Copies those that were sent a
	// second time.
	Requests, Copies float64
	// Refused is set if a copy has found no free slot within refusalPause.
	Refused bool
}

// Verdict is a decision on one copy.
type Verdict struct {
	Send bool
	// Reason is why none is sent; empty if one is.
	Reason Reason
	// MaxInUse is the share of the service's slots in use up to which it may be sent.
	MaxInUse float64
}

// Decide decides whether one more copy may be sent. The limit is maxShare of the requests while
// up to fullInUse of the slots are in use, and shrinks evenly to nothing at maxInUse. A node
// that does not choose the targets does not know how many slots are in use. The verdict
// therefore says up to which share the copy stays within the limit, and the node that chooses
// the target compares.
func Decide(u Usage, maxShare float64) Verdict {
	if maxShare <= 0 {
		return Verdict{Reason: ReasonOff}
	}
	if u.Refused {
		return Verdict{Reason: ReasonRefused}
	}
	allowed := maxShare * u.Requests
	if u.Copies+1 > allowed {
		return Verdict{Reason: ReasonShare}
	}
	used := (u.Copies + 1) / allowed
	return Verdict{Send: true, MaxInUse: maxInUse - used*(maxInUse-fullInUse)}
}
