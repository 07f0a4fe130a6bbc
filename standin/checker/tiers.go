package checker

import (
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
)

// propagationMargin is the upper bound of the time between a decision and its
// effect at a caller or a target: two network hops between regions, plus a margin
// for operating system scheduling.
const propagationMargin = 100 * time.Millisecond

// Problem types of shed requests.
const (
	problemOverloaded = "overloaded"
	problemDeadline   = "deadline"
)

// isShed reports whether the system shed the request. A request that waited until
// the deadline stated by its caller was not shed.
func isShed(a *attempt) bool {
	if !a.reportedNotRun() {
		return false
	}
	switch a.response.Problem {
	case problemOverloaded:
		return true
	case problemDeadline:
		return !reachedDeadline(a)
	default:
		return false
	}
}

// reachedDeadline reports whether the attempt lasted until the deadline stated by
// its caller.
func reachedDeadline(a *attempt) bool {
	allowed := time.Duration(a.request.DeadlineMillis) * time.Millisecond
	return allowed > 0 && time.Duration(a.received-a.sent) >= allowed
}

// checkTierOrder checks that, when a request was shed, no lower-tier request of
// the same service was waiting that was dispatched afterwards.
func checkTierOrder(r *run, v *verdict) {
	for _, a := range r.attempts {
		if !isShed(a) {
			continue
		}
		v.Judged++
		earliest := shedTime(r, a)
		for _, q := range r.requests {
			if lower := r.dispatchedAfterShed(q, a, earliest); lower != nil {
				v.addViolation(a.request.ID, "shed with rank %d while %s of rank %d waited and ran later",
					a.request.Rank, q.id, lower.Rank)
				break
			}
		}
	}
}

// shedTime returns the earliest time at which the request may have been shed.
func shedTime(r *run, a *attempt) int64 {
	if r.faultyDuring(a.request.Entry, a.sent, a.received) {
		return a.sent
	}
	return max(a.sent, a.received-int64(propagationMargin))
}

// dispatchedAfterShed returns the first attempt of the request if it is of a lower
// tier, was waiting when the other attempt was shed, and started afterwards;
// otherwise it returns nil. A request sent to a frozen entry node has not arrived
// and so is not waiting yet. Requests with several attempts are not considered.
func (r *run) dispatchedAfterShed(q *request, shed *attempt, earliest int64) *history.Request {
	lower := q.first()
	if lower.Service != shed.request.Service || lower.Rank <= shed.request.Rank || len(q.starts) == 0 {
		return nil
	}
	waited := q.attempts[0].sent+int64(propagationMargin) <= earliest
	startedLater := q.starts[0].StartUnixNanos > shed.received+int64(propagationMargin)
	if !waited || !startedLater || len(q.attempts) > 1 {
		return nil
	}
	sent := q.attempts[0].sent
	if r.frozen(lower.Entry, sent, sent+int64(propagationMargin)) {
		return nil
	}
	return &lower
}
